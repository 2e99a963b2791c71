// Package baseline implements the dispatchers with which the testbed compares canvasroute: simple policies, and the
// reverse proxy of the standard library. Some of them violate a rule on purpose, to show that the testbed's checks
// detect the violation. The package is only used by the testbed.
package baseline

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"canvasroute/internal/daemon"
)

// The policies of baselines.
const (
	Random           = "random"
	RoundRobin       = "round-robin"
	LeastOutstanding = "least-outstanding" // the worker with the fewest attempts in flight
	ReverseProxy     = "reverse-proxy"     // httputil.ReverseProxy, used only to compare the cost per request
	NullServer       = "null-server"       // answers without a worker, used to measure the load generator
)

// Policies lists all policies.
var Policies = []string{Random, RoundRobin, LeastOutstanding, ReverseProxy, NullServer}

// The faults with which a baseline violates a rule.
const (
	FaultRepeatedAttempt  = "double-forward" // sends non-idempotent requests to a second worker
	FaultLostAnswer       = "lost-answer"    // closes some connections instead of sending an answer
	FaultIgnoredDrain     = "drain-ignored"  // sends to draining workers
	FaultOverloadedWarmup = "cold-push"      // sends all requests to the worker that started last
)

// Faults lists all faults.
var Faults = []string{FaultRepeatedAttempt, FaultLostAnswer, FaultIgnoredDrain, FaultOverloadedWarmup}

// Config selects a baseline.
type Config struct {
	Policy string // one of Policies
	Fault  string // one of Faults, or "" for none
}

const (
	drainTimeout          = 3 * time.Second // for requests in flight, after a signal to exit
	readHeaderTimeout     = 5 * time.Second // for the header of a client's request
	maxIdleConnsPerWorker = 512
	// idleTimeoutDivisor keeps the idle timeout of connections well below the workers' own idle timeout. Otherwise a
	// worker could close a connection at the same time as an attempt is sent on it.
	idleTimeoutDivisor = 4
)

// Main runs a baseline with the platform's configuration until it is stopped by a signal, and returns the exit code of
// the process.
func Main(config Config) int {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	settings, err := daemon.ReadConfig(os.Getenv)
	if err == nil {
		err = newDispatcher(config, settings, log).run()
	}
	if err != nil {
		log.Error().Err(err).Msg("exited with an error")
		return 1
	}
	return 0
}

// backend holds a baseline's state for a worker. It is protected by dispatcher.mu.
type backend struct {
	name      string
	address   string
	state     string    // state in the endpoint list; protocol.Gone if a complete list does not contain the worker
	startedAt time.Time // zero if the list does not give a start time
	inFlight  int       // number of attempts in flight
}

// dispatcher is a baseline dispatcher.
type dispatcher struct {
	config    Config
	settings  *daemon.Config
	client    *http.Client
	transport *http.Transport
	log       zerolog.Logger

	answered  atomic.Int64 // number of requests
	succeeded atomic.Int64 // number of requests

	mu              sync.Mutex
	version         int64 // version of the endpoint list
	backends        []*backend
	roundRobinPicks int // number of round-robin picks so far
}

func newDispatcher(config Config, settings *daemon.Config, log zerolog.Logger) *dispatcher {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerWorker,
		IdleConnTimeout:     settings.WorkerIdleTimeout / idleTimeoutDivisor,
		DisableCompression:  true,
		DialContext:         (&net.Dialer{Timeout: settings.Proxy.DialTimeout}).DialContext,
	}
	return &dispatcher{
		config:    config,
		settings:  settings,
		transport: transport,
		client:    &http.Client{Transport: transport},
		log:       log,
	}
}

// handler returns the handler for health checks and requests.
func (d *dispatcher) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/_health", d.serveHealth)
	switch d.config.Policy {
	case ReverseProxy:
		mux.Handle("/api", d.reverseProxy())
	case NullServer:
		mux.HandleFunc("POST /api", func(http.ResponseWriter, *http.Request) {})
	default:
		mux.HandleFunc("POST /api", d.serve)
	}
	return mux
}

// run serves until it receives SIGTERM or SIGINT, then drains and logs the counters.
func (d *dispatcher) run() error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(d.settings.Cores))))
	if d.settings.Proxy.InitialEndpoints != nil {
		d.updateEndpoints(d.settings.Proxy.InitialEndpoints)
	}
	server := &http.Server{Addr: d.settings.Listen, Handler: d.handler(), ReadHeaderTimeout: readHeaderTimeout}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	watchContext, cancelWatch := context.WithCancel(context.Background())
	var watch sync.WaitGroup
	watch.Go(func() { d.watchEndpoints(watchContext) })
	shutdownErr := make(chan error, 1)
	go func() {
		<-ctx.Done()
		timeout, cancel := context.WithTimeout(context.Background(), drainTimeout)
		defer cancel()
		shutdownErr <- server.Shutdown(timeout)
	}()
	err := server.ListenAndServe()
	if errors.Is(err, http.ErrServerClosed) {
		err = <-shutdownErr
	}
	cancelWatch()
	watch.Wait()
	d.logCounters()
	return err
}

// logCounters logs the counters under the same names as canvasroute, because package experiment reads them from the
// log.
func (d *dispatcher) logCounters() {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	d.log.Info().Str("why", "exit").Int64("taken", d.answered.Load()).Int64("succeeded", d.succeeded.Load()).
		Uint64("mallocs", memory.Mallocs).Uint64("alloc_bytes", memory.TotalAlloc).Msg("counters")
}
