// Package proxy carries a request from its client to workers and back.
//
// A Proxy admits requests, sends the attempts that the balancer decides on, and reads the workers' responses. During a
// hot restart it migrates requests in flight to a sibling process. It chooses no worker and decides on no retry,
// rejection or cancellation: it follows the balancer's decisions, and reports events to the balancer. It does not parse
// the endpoint list (package discovery), exchange load with peers (package gossip) or accept connections (package
// transport).
//
// The life of a request stands in request.go, that of an attempt in attempt.go, and the answers in responses.go.
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

// Operation configures one operation, by the name that requests give.
type Operation struct {
	Name           string
	DefaultTimeout time.Duration       // of a request that gives none
	RequiresKey    bool                // workers drop repeats by an idempotency key; requests without one are malformed
	DedupScope     balancer.DedupScope // the group of workers that drops repeats
	DedupWindow    time.Duration       // how long the group remembers a key
}

// Config configures a Proxy. Operations, Tenants, DialTimeout and MaxRetryAfter may change later (Reconfigure).
type Config struct {
	Operations          []Operation
	Tenants             []string                       // names by their numbers at the start; empty for a single tenant
	Zones               []string                       // names by their numbers
	Kinds               []string                       // kinds of workers, by their numbers
	ReportFields        []string                       // the fields of workers' load reports that the balancer reads
	DialTimeout         time.Duration                  // of a connection to a worker
	MaxRetryAfter       time.Duration                  // advice with a 503, 0 for none
	DiscoveryAddress    string                         // host and port of the discovery service
	Peers               []netip.AddrPort               // all dispatchers by their positions, with this one
	Position            int                            // of this dispatcher in Peers
	InitialEndpoints    *protocol.EndpointList         // known at the start, nil for none
	PredecessorSnapshot json.RawMessage                // a Snapshot, nil without a predecessor
	MigratesRequests    bool                           // requests in flight may be exported to a sibling process
	FromUnix            func(ms float64) balancer.Time // converts Unix time in milliseconds
	Recovery            Recovery                       // nil where it is disabled
}

// Proxy answers requests by sending attempts to workers. Its methods may be called concurrently, except SiblingUpdate
// and Snapshot.
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

	settings   atomic.Pointer[settings] // replaced as a whole
	counters   counters
	operations operationCounters
	requestIDs requestIDs
	inFlight   sync.Map       // set of *inFlightRequest; empty where requests are not migrated
	background errgroup.Group // attempts and probes; each reports its errors itself

	// sendsReportedAt is the time up to which the sibling process knows the work that was sent.
	sendsReportedAt balancer.Time

	hooks testHooks
}

// testHooks are set by tests to run between two steps.
type testHooks struct {
	beforeSettings func() // the balancer has new settings, and the names of requests have the previous ones
	beforeSend     func() // an attempt has its connection and is not sent
}

// New returns a Proxy. It gives the balancer the endpoints that are known at the start: those of the predecessor or
// else the initial ones. datagrams is nil where dispatchers do not exchange load.
func New(c Config, shards *balancer.Shards, pool *transport.Pool, datagrams *transport.Datagrams,
	state *lifecycle.State, log zerolog.Logger,
) *Proxy {
	p := &Proxy{
		config:    c,
		balancer:  shards,
		pool:      pool,
		endpoints: discovery.NewTable(c.Zones, c.Kinds, c.FromUnix, log),
		admission: admission.New(float64(shards.Count())),
		lifecycle: state,
		log:       log,
	}
	p.discovery = discovery.NewWatcher(p.watcherConfig(), p.endpoints, shards, pool, log)
	p.applySettings(c, initialIDs(c))
	successor := p.seedEndpoints()
	p.gossip = gossip.New(gossip.Config{Peers: c.Peers, Position: c.Position, IsSuccessor: successor},
		shards, p.endpoints, datagrams)
	return p
}

func (p *Proxy) watcherConfig() discovery.Config {
	c := discovery.Config{
		Address:     p.config.DiscoveryAddress,
		DialTimeout: func() time.Duration { return p.settings.Load().dialTimeout },
	}
	if p.config.Recovery != nil {
		c.Observer = p.config.Recovery
	}
	return c
}

// seedEndpoints applies the endpoints that are known at the start, and reports whether they are a predecessor's.
func (p *Proxy) seedEndpoints() (successor bool) {
	successor, err := p.restoreFromPredecessor(p.config.PredecessorSnapshot)
	if err != nil {
		p.log.Warn().Err(err).Msg("snapshot not restored")
	}
	if p.config.InitialEndpoints != nil && !successor {
		p.discovery.Seed(p.config.InitialEndpoints, nil)
	}
	return successor
}

// initialIDs numbers operations and tenants by their positions, as the balancer does at its start.
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

// Run runs discovery, gossip, probes and the balancer until ctx ends, which must be after all clients have their
// answers. It then cancels the attempts that are still in flight and waits for them.
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
	_ = p.background.Wait() // attempts report their errors to the balancer and return none
	return err
}

// StopWithin bounds the time for answers, as this process stops. Requests that would not be done by then are rejected:
// one that is cut off after it was begun cannot always be sent again. Their clients should retry late, as connections
// still arrive here for a while, and dispatchers may be restarted in turn.
func (p *Proxy) StopWithin(within time.Duration) { p.balancer.StopAfter(balancer.DurationOf(within)) }

// SetDiscoveryAddress changes the address of the discovery service. The new one is polled at once.
func (p *Proxy) SetDiscoveryAddress(address string) { p.discovery.SetAddress(address) }

// YieldDatagrams leaves gossip to the sibling process during a hot restart.
func (p *Proxy) YieldDatagrams() { p.gossip.Yield() }

// ReclaimDatagrams takes gossip back from the sibling process.
func (p *Proxy) ReclaimDatagrams() { p.gossip.Reclaim() }
