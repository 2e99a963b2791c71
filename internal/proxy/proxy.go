// Package proxy forwards requests from clients to workers and returns the responses.
//
// A Proxy admits requests, sends the attempts that the balancer decides on, and reads the workers' responses. During a
// hot restart it migrates requests in flight to a sibling process. After a request is submitted to the balancer, the
// balancer makes all decisions on worker selection, retries, rejection and cancellation; the Proxy executes them and
// reports events to the balancer. Other packages parse the endpoint list (discovery), exchange load with peers (gossip)
// and accept connections (transport).
//
// The lifecycle of a request is in request.go, that of an attempt in attempt.go, and the responses to clients are in
// responses.go.
package proxy

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"canvasroute/internal/admission"
	"canvasroute/internal/balancer"
	"canvasroute/internal/discovery"
	"canvasroute/internal/gossip"
	"canvasroute/internal/lifecycle"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// Operation configures the operation that requests refer to by Name.
type Operation struct {
	Name           string
	DefaultTimeout time.Duration       // timeout of a request that does not set one
	RequiresKey    bool                // workers deduplicate by idempotency key; requests without a key are malformed
	DedupScope     balancer.DedupScope // the group of workers that deduplicates requests
	DedupWindow    time.Duration       // how long the group stores a key
}

// Config configures a Proxy. Reconfigure may change Operations, Tenants, DialTimeout and UnavailableRetryAfter
// later.
type Config struct {
	Operations            []Operation
	Tenants               []string                       // initial names, indexed by tenant ID; empty for a single tenant
	Zones                 []string                       // names, indexed by zone number
	Kinds                 []string                       // kinds of workers, indexed by kind number
	ReportFields          []string                       // fields of the workers' load reports that the balancer uses
	DialTimeout           time.Duration                  // timeout for connecting to a worker
	UnavailableRetryAfter time.Duration                  // Retry-After of 503 responses outside recovery, 0 to omit it
	DiscoveryAddress      string                         // host and port of the discovery service
	ListsPushed           bool                           // see discovery.Config.Pushed
	Peers                 []netip.AddrPort               // all dispatchers by position, including this one
	Position              int                            // index of this dispatcher in Peers
	InitialEndpoints      *protocol.EndpointList         // endpoint list at startup, nil if there is none
	PredecessorSnapshot   json.RawMessage                // JSON of a Snapshot, nil if there is no predecessor
	MigratesRequests      bool                           // requests in flight may be exported to a sibling process
	FromUnix              func(ms float64) balancer.Time // converts Unix time in milliseconds to the balancer's time
	Recovery              Recovery                       // nil if recovery is disabled
}

// Proxy serves requests by sending attempts to workers. Its methods are safe for concurrent use, except Snapshot, and
// calls of NextSiblingUpdate for the same recipient.
type Proxy struct {
	config    Config
	balancer  *balancer.Shards
	pool      *transport.Pool
	endpoints *discovery.Table
	discovery *discovery.Watcher
	gossip    *gossip.Exchange
	admission *admission.Controller
	lifecycle *lifecycle.State
	log       zerolog.Logger

	settings   atomic.Pointer[settings] // replaced as a whole by applySettings
	counters   counters
	operations operationCounters
	requestIDs requestIDs
	inFlight   sync.Map       // set of *inFlightRequest; empty unless Config.MigratesRequests is set
	background errgroup.Group // attempts and probes; the functions return no errors

	// sendsReportedAt is the time up to which sent work has been reported to each sibling process.
	sendsReportedAt [balancer.SiblingRoles]balancer.Time

	hooks testHooks
}

// testHooks are functions that tests set to run code between two steps. Each may be nil.
type testHooks struct {
	beforeApplySettings func() // runs when the balancer has new settings but the Proxy still has the previous ones
	beforeSend          func() // runs when an attempt has a connection and has not been sent
}

// New returns a Proxy. It passes the initial endpoints to the balancer: those of the predecessor's snapshot if there is
// one, otherwise Config.InitialEndpoints. datagrams is nil if dispatchers do not exchange load.
func New(c Config, shards *balancer.Shards, pool *transport.Pool, datagrams *transport.DatagramSocket,
	state *lifecycle.State, log zerolog.Logger,
) *Proxy {
	p := &Proxy{
		config:    c,
		balancer:  shards,
		pool:      pool,
		endpoints: discovery.NewTable(c.Zones, c.Kinds, c.FromUnix, log),
		admission: admission.New(float64(shards.Count())), // one shard for each core that the process uses
		lifecycle: state,
		log:       log,
	}
	p.discovery = discovery.NewWatcher(p.watcherConfig(), p.endpoints, shards, pool, log)
	p.applySettings(c, initialIDs(c))
	isSuccessor := p.seedEndpoints()
	p.gossip = gossip.New(gossip.Config{Peers: c.Peers, Position: c.Position, IsSuccessor: isSuccessor},
		shards, p.endpoints, datagrams)
	return p
}

func (p *Proxy) watcherConfig() discovery.Config {
	c := discovery.Config{
		Address:     p.config.DiscoveryAddress,
		Pushed:      p.config.ListsPushed,
		DialTimeout: func() time.Duration { return p.settings.Load().dialTimeout },
	}
	if p.config.Recovery != nil {
		c.Observer = p.config.Recovery
	}
	return c
}

// seedEndpoints applies the initial endpoints, and reports whether they are from a predecessor's snapshot.
func (p *Proxy) seedEndpoints() (isSuccessor bool) {
	isSuccessor, err := p.restoreFromPredecessor(p.config.PredecessorSnapshot)
	if err != nil {
		p.log.Warn().Err(err).Msg("snapshot not restored")
	}
	if p.config.InitialEndpoints != nil && !isSuccessor {
		p.discovery.ApplyInitialList(p.config.InitialEndpoints, nil)
	}
	return isSuccessor
}

// initialIDs returns the IDs of operations and tenants at startup: their positions in c, as in the balancer.
func initialIDs(c Config) balancer.AssignedIDs {
	ids := balancer.AssignedIDs{}
	for n := range c.Operations {
		ids.Operations = append(ids.Operations, balancer.OperationID(n))
	}
	for n := range c.Tenants {
		ids.Tenants = append(ids.Tenants, balancer.TenantID(n))
	}
	return ids
}

// Run runs discovery, gossip, probes and the balancer until ctx ends. ctx must not end before all clients have received
// their responses. Run then cancels the attempts that are still in flight and waits for them.
func (p *Proxy) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for shard := range p.balancer.Count() {
		g.Go(func() error { return p.balancer.Run(ctx, shard) })
	}
	g.Go(func() error { return p.gossip.Run(ctx) })
	g.Go(func() error { return p.sampleQueueingDelay(ctx) })
	g.Go(func() error { return p.discovery.Run(ctx) })
	g.Go(func() error { return p.probeWorkers(ctx) })
	err := g.Wait()
	p.balancer.CancelAll()
	_ = p.background.Wait() // always nil: attempts report their errors to the balancer
	return err
}

// SetStopTimeout limits the time for responses when this process stops. Requests that would not complete in time are
// rejected, because a request that is interrupted during execution cannot always be retried. Clients should retry after
// a long delay: this process still receives connections for some time, and other dispatchers may be restarted next.
func (p *Proxy) SetStopTimeout(timeout time.Duration) {
	p.balancer.StopAfter(balancer.DurationOf(timeout))
}

// SetDiscoveryAddress changes the address of the discovery service and polls the new address immediately.
func (p *Proxy) SetDiscoveryAddress(address string) { p.discovery.SetAddress(address) }

// YieldDatagrams hands gossip over to the sibling process during a hot restart.
func (p *Proxy) YieldDatagrams() { p.gossip.Yield() }

// ReclaimDatagrams takes gossip back from the sibling process.
func (p *Proxy) ReclaimDatagrams() { p.gossip.Reclaim() }
