// Package baseline has the dispatchers that the testbed compares with: plain policies as baselines, the standard
// library's reverse proxy, and dispatchers that are broken on purpose, one for each rule, to show that the
// ledger catches them. None of it is used outside the testbed.
package baseline

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"canvasroute/internal/balancer"
	"canvasroute/internal/daemon"
	"canvasroute/internal/protocol"
	"canvasroute/internal/proxy"
)

// Policies are the baselines, and what takes the place of a dispatcher to measure the testbed itself.
var Policies = []string{"random", "round-robin", "least-outstanding", "reverse-proxy", "null-server"}

// Faults are the ways in which a dispatcher can be broken.
var Faults = []string{"double-forward", "lost-answer", "drain-ignored", "cold-push"}

// Config say what a rival is.
type Config struct{ Policy, Fault string }

// Bounds.
const (
	maxAttempts        = 4
	drainTimeout       = 3 * time.Second
	answerMargin       = 30 * time.Millisecond // the client's time is up, an answer leaves
	lostAnswerInterval = 20                    // answers, of one that is lost
	retryAfterSeconds  = "0.5"
)

// Main runs a rival on the platform's configuration, and returns the code that the process exits with.
func Main(t Config) int {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	p, err := daemon.ReadConfig(os.Getenv)
	if err == nil {
		err = run(t, p, log)
	}
	if err != nil {
		log.Error().Err(err).Msg("ended by a fault")
		return 1
	}
	return 0
}

// backend is a worker as a rival knows it.
type backend struct {
	name, address string
	state         string
	startedAt     time.Time
	inFlight      int
}

type dispatcher struct {
	config    Config
	settings  *daemon.Config
	client    *http.Client
	transport *http.Transport
	log       zerolog.Logger

	mu         sync.Mutex
	version    int64
	backends   []*backend
	roundRobin int

	answered, succeeded atomic.Int64
}

func run(t Config, p *daemon.Config, log zerolog.Logger) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(p.Cores))))
	transport := &http.Transport{
		MaxIdleConnsPerHost: 512, IdleConnTimeout: p.WorkerIdleTimeout / 4, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: p.Proxy.DialTimeout}).DialContext,
	}
	r := &dispatcher{
		config: t, settings: p, transport: transport, client: &http.Client{Transport: transport},
		log: log,
	}
	if p.Proxy.InitialEndpoints != nil {
		r.updateEndpoints(p.Proxy.InitialEndpoints)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/_health", r.health)
	switch t.Policy {
	case "reverse-proxy":
		mux.Handle("/api", r.reverseProxy())
	case "null-server": // it answers at once, without any worker: what then limits is the load generator
		mux.HandleFunc("POST /api", func(http.ResponseWriter, *http.Request) {})
	default:
		mux.HandleFunc("POST /api", r.serve)
	}
	server := &http.Server{Addr: p.Listen, Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	watching, end := context.WithCancel(context.Background())
	var watch sync.WaitGroup
	watch.Go(func() { r.followEndpoints(watching) })
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
	end()
	watch.Wait()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	log.Info().Str("why", "exit").Int64("taken", r.answered.Load()).Int64("succeeded", r.succeeded.Load()).
		Uint64("mallocs", m.Mallocs).Uint64("alloc_bytes", m.TotalAlloc).Msg("counters")
	return err
}

func (r *dispatcher) health(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.ContainsFunc(r.backends, func(b *backend) bool { return b.state == protocol.Ready }) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// followEndpoints watches the list until ctx ends.
func (r *dispatcher) followEndpoints(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.watch(ctx); err != nil && ctx.Err() == nil {
			r.log.Warn().Err(err).Msg("list watch lost")
		}
		select {
		case <-time.After(500 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func (r *dispatcher) watch(ctx context.Context) error {
	r.mu.Lock()
	target := "http://" + r.settings.Proxy.Discovery + protocol.WatchTarget(r.version)
	r.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	a, err := r.client.Do(request)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("list: status %d", a.StatusCode)
	}
	lines := bufio.NewScanner(a.Body)
	lines.Buffer(nil, 8<<20)
	for lines.Scan() {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		l, err := protocol.ParseEndpointList(lines.Bytes())
		if err != nil {
			return err
		}
		r.updateEndpoints(&l)
	}
	return lines.Err()
}

func (r *dispatcher) updateEndpoints(l *protocol.EndpointList) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = l.Version
	seen := map[string]bool{}
	for _, e := range l.Endpoints {
		seen[e.ID] = true
		n := slices.IndexFunc(r.backends, func(b *backend) bool { return b.name == e.ID })
		if n < 0 {
			n = len(r.backends)
			r.backends = append(r.backends, &backend{name: e.ID})
		}
		b := r.backends[n]
		if e.Address != "" {
			b.address = e.Address
		}
		b.state = e.State
		if e.StartedAtMillis > 0 {
			b.startedAt = time.UnixMilli(int64(e.StartedAtMillis))
		}
	}
	for _, b := range r.backends {
		if l.Complete && !seen[b.name] {
			b.state = protocol.Gone
		}
	}
}

// pick picks a worker that is not among the tried ones, by the policy, and counts it as out.
func (r *dispatcher) pick(tried []*backend) *backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	var eligible []*backend
	for _, b := range r.backends {
		if r.eligible(b) && !slices.Contains(tried, b) {
			eligible = append(eligible, b)
		}
	}
	if len(eligible) == 0 {
		return nil
	}
	picked := eligible[0]
	switch {
	case r.config.Fault == "cold-push": // all to the one that has just started
		for _, b := range eligible {
			if b.startedAt.After(picked.startedAt) {
				picked = b
			}
		}
	case r.config.Policy == "random":
		picked = eligible[rand.IntN(len(eligible))]
	case r.config.Policy == "least-outstanding":
		r.roundRobin++ // ties go round
		for k := range eligible {
			if b := eligible[(r.roundRobin+k)%len(eligible)]; b.inFlight < picked.inFlight || k == 0 {
				picked = b
			}
		}
	default:
		r.roundRobin++
		picked = eligible[r.roundRobin%len(eligible)]
	}
	picked.inFlight++
	return picked
}

// eligible tells whether work may go to a worker. One fault takes drains for nothing.
func (r *dispatcher) eligible(b *backend) bool {
	return b.state == protocol.Ready || r.config.Fault == "drain-ignored" && b.state != ""
}

// serve carries one invocation through, by rules of thumb that keep the four rules where no fault is asked
// for.
func (r *dispatcher) serve(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, protocol.MaxBodyBytes))
	if err != nil {
		return
	}
	operation := slices.IndexFunc(r.settings.Proxy.Operations,
		func(o proxy.Operation) bool { return o.Name == request.Header.Get("Req-Kind") })
	if operation < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout, err := strconv.ParseFloat(request.Header.Get("Req-Deadline"), 64)
	if err != nil {
		timeout = r.settings.Proxy.Operations[operation].DefaultTimeout.Seconds()
	}
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(timeout*float64(time.Second))-answerMargin)
	defer cancel()
	idempotency := r.settings.Balancer.Operations[operation].Idempotency
	status, result := r.dispatch(ctx, request, body, idempotency)
	n := r.answered.Add(1)
	if r.config.Fault == "lost-answer" && n%lostAnswerInterval == 0 {
		panic(http.ErrAbortHandler)
	}
	if status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	if status == http.StatusOK {
		r.succeeded.Add(1)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(result)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, result)
}

func (r *dispatcher) dispatch(ctx context.Context, request *http.Request, body []byte, idempotency balancer.Idempotency) (int,
	string,
) {
	var tried []*backend
	possiblyExecuted := false
	for range maxAttempts {
		b := r.pick(tried)
		if b == nil {
			break
		}
		tried = append(tried, b)
		outcome, result := r.attempt(ctx, b, request, body)
		if r.config.Fault == "double-forward" && idempotency == balancer.NonIdempotent {
			if other := r.pick(tried); other != nil {
				r.attempt(ctx, other, request, body)
			}
		}
		switch outcome {
		case balancer.Succeeded:
			return http.StatusOK, result
		case balancer.Overloaded, balancer.NoConnection: // it never ran
			continue
		}
		possiblyExecuted = true
		if idempotency != balancer.Idempotent || ctx.Err() != nil {
			break
		}
	}
	if possiblyExecuted && idempotency != balancer.Idempotent {
		return http.StatusBadGateway, ""
	}
	return http.StatusTooManyRequests, ""
}

func (r *dispatcher) attempt(ctx context.Context, b *backend, request *http.Request, body []byte) (balancer.Outcome,
	string,
) {
	defer func() {
		r.mu.Lock()
		b.inFlight--
		r.mu.Unlock()
	}()
	r.mu.Lock()
	target := "http://" + b.address + "/api"
	r.mu.Unlock()
	outbound, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return balancer.NoConnection, ""
	}
	outbound.GetBody = nil // nothing is sent again below these rules
	for _, name := range []string{"Req-Id", "Req-Deadline", "Idempotency-Key", "Content-Type"} {
		if v := request.Header.Get(name); v != "" {
			outbound.Header.Set(name, v)
		}
	}
	a, err := r.client.Do(outbound)
	var dial *net.OpError
	switch {
	case errors.As(err, &dial) && dial.Op == "dial":
		return balancer.NoConnection, ""
	case err != nil:
		return balancer.ConnectionReset, ""
	}
	defer a.Body.Close()
	if a.StatusCode == http.StatusServiceUnavailable && a.Header.Get("Srv-Declined") == "1" {
		return balancer.Overloaded, ""
	}
	lines := bufio.NewScanner(a.Body)
	lines.Buffer(nil, protocol.MaxLineBytes)
	for lines.Scan() {
		l, err := protocol.ParseLine(lines.Bytes())
		if err != nil || l.ID != request.Header.Get("Req-Id") {
			return balancer.WorkerError, ""
		}
		switch l.State {
		case protocol.Done:
			lines.Scan() // the end of the chunks, so that the connection can be used again
			return balancer.Succeeded, l.Result
		case protocol.ReturnedUnstarted:
			return balancer.Overloaded, ""
		case protocol.Failed, protocol.Lost:
			return balancer.WorkerError, ""
		}
	}
	return balancer.ConnectionReset, ""
}
