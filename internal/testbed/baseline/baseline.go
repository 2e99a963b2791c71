// Package baseline has the dispatchers that the testbed compares canvasroute with: simple policies, the standard library's
// reverse proxy, and dispatchers that violate a rule on purpose, to show that the checks find it. Only the testbed uses
// it.
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

// Policies are the baselines, and null-server, which measures the load generator.
var Policies = []string{"random", "round-robin", "least-outstanding", "reverse-proxy", "null-server"}

// Faults are the ways in which a baseline can be made to violate a rule.
var Faults = []string{"double-forward", "lost-answer", "drain-ignored", "cold-push"}

// Config selects a baseline: one of Policies, and one of Faults or "".
type Config struct{ Policy, Fault string }

// drainTimeout is how long open requests may take after a signal to end.
const drainTimeout = 3 * time.Second

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
	name, address string
	state         string
	startedAt     time.Time
	inFlight      int
}

// dispatcher is a baseline.
type dispatcher struct {
	config    Config
	settings  *daemon.Config
	client    *http.Client
	transport *http.Transport
	log       zerolog.Logger

	mu         sync.Mutex
	version    int64 // of the endpoint list
	backends   []*backend
	roundRobin int

	answered, succeeded atomic.Int64
}

func newDispatcher(config Config, settings *daemon.Config, log zerolog.Logger) *dispatcher {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 512, IdleConnTimeout: settings.WorkerIdleTimeout / 4, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: settings.Proxy.DialTimeout}).DialContext,
	}
	return &dispatcher{
		config: config, settings: settings, transport: transport, client: &http.Client{Transport: transport}, log: log,
	}
}

func (d *dispatcher) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/_health", d.health)
	switch d.config.Policy {
	case "reverse-proxy":
		mux.Handle("/api", d.reverseProxy())
	case "null-server": // answers without any worker, so that the load generator is the bottleneck
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
	server := &http.Server{Addr: d.settings.Listen, Handler: d.handler(), ReadHeaderTimeout: 5 * time.Second}
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
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	d.log.Info().Str("why", "exit").Int64("taken", d.answered.Load()).Int64("succeeded", d.succeeded.Load()).
		Uint64("mallocs", m.Mallocs).Uint64("alloc_bytes", m.TotalAlloc).Msg("counters")
}
