// Package baseline has the dispatchers that the testbed compares canvasroute with: simple policies and the standard
// library's reverse proxy. Some violate a rule on purpose, to show that the checks find it. Only the testbed uses it.
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
	ReverseProxy     = "reverse-proxy"     // the standard library's, to compare cost only
	NullServer       = "null-server"       // answers without any worker, to measure the load generator
)

// Policies are all policies.
var Policies = []string{Random, RoundRobin, LeastOutstanding, ReverseProxy, NullServer}

// The faults by which a baseline violates a rule.
const (
	FaultRepeatedAttempt  = "double-forward" // sends non-idempotent requests to a second worker
	FaultLostAnswer       = "lost-answer"    // closes some connections instead of answering
	FaultIgnoredDrain     = "drain-ignored"  // sends to draining workers
	FaultOverloadedWarmup = "cold-push"      // sends everything to the worker that started last
)

// Faults are all faults.
var Faults = []string{FaultRepeatedAttempt, FaultLostAnswer, FaultIgnoredDrain, FaultOverloadedWarmup}

// Config selects a baseline.
type Config struct {
	Policy string // one of Policies
	Fault  string // one of Faults, or "" for none
}

const (
	drainTimeout          = 3 * time.Second // for open requests, after a signal to end
	readHeaderTimeout     = 5 * time.Second // for the head of a client's request
	maxIdleConnsPerWorker = 512
	// idleTimeoutDivisor keeps the idle timeout of connections well below that of the workers, so that no attempt
	// crosses the end of its connection.
	idleTimeoutDivisor = 4
)

// Main runs a baseline with the platform's configuration, and returns the exit code of the process.
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

// backend is a worker as a baseline knows it.
type backend struct {
	name      string
	address   string
	state     string    // of the endpoint list; protocol.Gone if it is not listed
	startedAt time.Time // zero: long ago
	inFlight  int       // attempts
}

// dispatcher is a baseline.
type dispatcher struct {
	config    Config
	settings  *daemon.Config
	client    *http.Client
	transport *http.Transport
	log       zerolog.Logger

	answered  atomic.Int64 // requests
	succeeded atomic.Int64 // requests

	mu         sync.Mutex
	version    int64 // of the endpoint list
	backends   []*backend
	roundRobin int // number of picks in turn so far
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

// handler returns the handler of the health check and of requests.
func (d *dispatcher) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/_health", d.health)
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

// run serves until SIGTERM or SIGINT, drains, and logs the counters.
func (d *dispatcher) run() error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(d.settings.Cores))))
	if d.settings.Proxy.InitialEndpoints != nil {
		d.updateEndpoints(d.settings.Proxy.InitialEndpoints)
	}
	server := &http.Server{Addr: d.settings.Listen, Handler: d.handler(), ReadHeaderTimeout: readHeaderTimeout}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	watching, endWatch := context.WithCancel(context.Background())
	var watch sync.WaitGroup
	watch.Go(func() { d.followEndpoints(watching) })
	drained := make(chan error, 1)
	go func() {
		<-ctx.Done()
		timeout, cancel := context.WithTimeout(context.Background(), drainTimeout)
		defer cancel()
		drained <- server.Shutdown(timeout)
	}()
	err := server.ListenAndServe()
	if errors.Is(err, http.ErrServerClosed) {
		err = <-drained
	}
	endWatch()
	watch.Wait()
	d.logCounters()
	return err
}

// logCounters logs the counters under the names of canvasroute's own, which package experiment reads.
func (d *dispatcher) logCounters() {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	d.log.Info().Str("why", "exit").Int64("taken", d.answered.Load()).Int64("succeeded", d.succeeded.Load()).
		Uint64("mallocs", memory.Mallocs).Uint64("alloc_bytes", memory.TotalAlloc).Msg("counters")
}
