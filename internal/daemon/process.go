package daemon

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/netip"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"canvasroute/internal/admin"
	"canvasroute/internal/balancer"
	"canvasroute/internal/fleet"
	"canvasroute/internal/hotrestart"
	"canvasroute/internal/lifecycle"
	"canvasroute/internal/proxy"
	"canvasroute/internal/transport"
)

// process holds the parts of a running dispatcher. start fills the fields in the order in which they stand here. While
// the process runs, config belongs to the goroutine of handleSignals; the other fields do not change.
type process struct {
	config     *Config
	readConfig func() (*Config, error) // reads the configuration again
	signals    *signals
	log        zerolog.Logger

	limits       resourceLimits
	clock        func() balancer.Time
	shards       *balancer.Shards
	pool         *transport.Pool
	restart      *hotRestart          // nil without an address for operators
	node         *fleet.Node          // nil without LB_FLEET
	datagrams    *transport.Datagrams // nil without gossip
	state        *lifecycle.State
	proxy        *proxy.Proxy
	listener     *net.TCPListener
	server       *transport.Server
	adminHandler *adminHandler
	adminServer  *admin.Server // nil without an address for operators
}

// start opens the sockets and builds the parts. Nothing runs yet when it returns.
func (p *process) start() error {
	p.applyResourceLimits()
	p.buildBalancer()
	p.connectPredecessor()
	if err := p.openNode(); err != nil {
		return err
	}
	if err := p.openPeerSocket(); err != nil {
		return err
	}
	p.buildProxy()
	if err := p.openClientListener(); err != nil {
		return err
	}
	if err := p.openAdmin(); err != nil {
		return err
	}
	p.log.Info().Str("listen", p.config.Listen).Int("clients", p.limits.clientConnections).
		Int("workers", p.limits.workerConnections).Msg("started")
	return nil
}

func (p *process) applyResourceLimits() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(p.config.Cores))))
	p.limits = p.config.resourceLimits()
	debug.SetMemoryLimit(p.limits.heapBytes)
}

// buildBalancer sets the clock, and builds the balancer and the pool of connections to workers. The clock begins at the
// time of day and goes on by the monotonic clock, so that a clock that is set back does not stop the balancer's.
func (p *process) buildBalancer() {
	const (
		microsPerTick = int64(balancer.Tick / time.Microsecond)
		ticksPerMilli = float64(time.Millisecond / balancer.Tick)
	)
	start := time.Now()
	base := balancer.Time(start.UnixMicro() / microsPerTick)
	p.clock = func() balancer.Time { return base.Add(balancer.DurationOf(time.Since(start))) }
	p.config.Proxy.FromUnix = func(milliseconds float64) balancer.Time {
		return balancer.Time(milliseconds * ticksPerMilli)
	}
	p.shards = balancer.NewShards(p.config.Balancer, p.config.shardCount(), p.config.Seed, p.clock,
		func(event balancer.Event) { logBalancerEvent(p.log, event) })
	p.pool = transport.NewPool(p.limits.workerConnections, p.config.WorkerIdleTimeout, p.log)
}

// connectPredecessor takes over from a process that serves under the same name and addresses, if there is one.
func (p *process) connectPredecessor() {
	p.restart = newHotRestart(p.config, p.log)
	p.config.Proxy.PredecessorSnapshot = p.restart.snapshot()
	p.config.Proxy.MigratesRequests = p.restart != nil
}

// disconnect closes the connection to the predecessor, which goes on alone if this process has never served.
func (p *process) disconnect() { p.restart.disconnect() }

func (p *process) openPeerSocket() error {
	if !p.config.Balancer.Gossip {
		return nil
	}
	addr, err := netip.ParseAddrPort(p.config.PeerListen)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	p.datagrams, err = transport.ListenDatagrams(addr, p.listenOptions(hotrestart.PeerSocket))
	return err
}

// listenOptions says how one of the sockets is opened that a predecessor hands over and a successor takes over.
func (p *process) listenOptions(socketName string) transport.ListenOptions {
	return transport.ListenOptions{Inherited: p.restart.socket(socketName), ReusePort: p.restart != nil}
}

func (p *process) buildProxy() {
	p.state = &lifecycle.State{}
	p.proxy = proxy.New(p.config.Proxy, p.shards, p.pool, p.datagrams, p.state, p.log)
	if p.node != nil {
		attachNode(p.node, p.proxy, p.shards, p.state)
	}
}

func (p *process) openClientListener() error {
	listener, err := transport.ListenClients(p.config.Listen, p.listenOptions(hotrestart.ClientSocket))
	if err != nil {
		return err
	}
	p.listener = listener
	p.server = transport.NewServer(listener, p.limits.clientConnections, p.limits.bodyBytes, p.proxy, p.state, p.log)
	if p.restart != nil {
		p.server.ShareListener()
		p.restart.attach(p)
	}
	return nil
}

func (p *process) openAdmin() error {
	p.adminHandler = &adminHandler{proxy: p.proxy, state: p.state, restart: p.restart, node: p.node}
	if p.config.AdminListen == "" {
		return nil
	}
	var err error
	p.adminServer, err = admin.Listen(p.config.AdminListen, p.adminHandler, p.log)
	return err
}

// run runs the parts until a signal ends the process or one of them fails. Accepting ends first, then the connections
// of clients, then what requests in flight need.
func (p *process) run() error {
	accepting, stopAccepting := context.WithCancel(context.Background())
	working, stopWorking := context.WithCancel(context.Background())
	defer stopAccepting()
	defer stopWorking()
	g, failed := errgroup.WithContext(context.Background())
	g.Go(func() error {
		defer stopWorking()
		return p.server.Run(accepting)
	})
	g.Go(func() error { return p.proxy.Run(working) })
	g.Go(func() error { return p.pool.Run(working) })
	g.Go(func() error { return p.server.FollowLifecycle(working) })
	if p.node != nil {
		g.Go(func() error { return p.node.Run(working) })
	}
	if p.adminServer != nil {
		g.Go(func() error { return p.adminServer.Run(working) })
		g.Go(func() error { return p.restart.run(working) })
	}
	g.Go(func() error { return p.handleSignals(failed, working, stopAccepting) })
	err := g.Wait()
	p.proxy.LogCounters("exit")
	return err
}
