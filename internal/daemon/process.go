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

// process holds the parts of a running dispatcher. start fills the fields in the order in which they stand here. Before
// its step a field has its zero value, and no step may use it.
//
// While the process runs, the goroutine of handleSignals alone owns config: a reload replaces it with another Config, and
// the shutdown reads its timeouts there. The other parts have copies of what they need, and are notified of a reload by
// calls. The other fields do not change any more.
type process struct {
	config     *Config
	readConfig func() (*Config, error) // reads the configuration again
	signals    *signals
	log        zerolog.Logger

	limits       resourceLimits       // from step 1 of start
	clock        func() balancer.Time // from step 2, as shards and pool
	shards       *balancer.Shards
	pool         *transport.Pool
	restart      *hotRestart               // from step 3; nil without an admin address
	node         *fleet.Node               // from step 4; nil without LB_FLEET
	datagrams    *transport.DatagramSocket // from step 5; nil without gossip
	state        *lifecycle.State          // from step 6, as proxy
	proxy        *proxy.Proxy
	listener     *net.TCPListener // from step 7, as server
	server       *transport.Server
	adminHandler *adminHandler // from step 8
	adminServer  *admin.Server // from step 8; nil without an admin address
}

// start opens the sockets and builds the parts. Nothing runs yet when it returns. Each step uses what earlier ones have
// built, so their order is fixed:
//
//  1. The limits on resources bound the pool, the server and the heap.
//  2. The balancer and the pool need the limits and the clock.
//  3. The predecessor hands over its state and sockets before the steps that use them.
//  4. The fleet's node leaves the folder and its address to a predecessor at first. The endpoint list that the node has
//     stored may replace the configured one, with which the proxy starts.
//  5. The socket for gossip is the predecessor's, or a new one. The proxy sends and receives on it.
//  6. The proxy answers the clients that connect to the listener.
//  7. The listener for clients is the predecessor's, or a new one. With it the hot restart has all parts that it needs.
//  8. The admin server runs commands on all of them. If its address is in use, the start fails and a predecessor serves
//     as before: only run notifies it of a successor.
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

// applyResourceLimits derives the limits from the configuration, and sets those of the Go runtime.
func (p *process) applyResourceLimits() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(p.config.Cores))))
	p.limits = p.config.resourceLimits()
	debug.SetMemoryLimit(p.limits.heapBytes)
}

// buildBalancer sets the clock, and builds the balancer and the pool of connections to workers. The clock starts at the
// time of day and follows the monotonic clock, so that it advances even if the machine's clock is set back.
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

// connectPredecessor receives state and sockets from a process with the same name and addresses, if one serves.
func (p *process) connectPredecessor() {
	p.restart = newHotRestart(p.config, p.log)
	p.config.Proxy.PredecessorSnapshot = p.restart.snapshot()
	p.config.Proxy.MigratesRequests = p.restart != nil
}

// disconnect closes the link to the predecessor. One that was not notified that this process serves continues alone.
func (p *process) disconnect() { p.restart.disconnect() }

// openPeerSocket opens or inherits the socket for gossip, where there is gossip.
func (p *process) openPeerSocket() error {
	if !p.config.Balancer.Gossip.Enabled {
		return nil
	}
	addr, err := netip.ParseAddrPort(p.config.PeerListen)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	p.datagrams, err = transport.ListenDatagrams(addr, p.listenOptions(hotrestart.PeerSocket))
	return err
}

// listenOptions returns how to open a socket that the processes of a hot restart share, by its name there.
func (p *process) listenOptions(socketName string) transport.ListenOptions {
	return transport.ListenOptions{Inherited: p.restart.socket(socketName), ReusePort: p.restart != nil}
}

// buildProxy builds the proxy, and gives the node the parts whose state it restores.
func (p *process) buildProxy() {
	p.state = &lifecycle.State{}
	p.proxy = proxy.New(p.config.Proxy, p.shards, p.pool, p.datagrams, p.state, p.log)
	if p.node != nil {
		attachNode(p.node, p.proxy, p.shards, p.state)
	}
}

// openClientListener opens or inherits the listener for clients. With it the parts that a hot restart shares are
// complete.
func (p *process) openClientListener() error {
	listener, err := transport.ListenClients(p.config.Listen, p.listenOptions(hotrestart.ClientSocket))
	if err != nil {
		return err
	}
	p.listener = listener
	p.server = transport.NewServer(listener, p.limits.clientConnections, p.limits.bodyBytes, p.proxy, p.state, p.log)
	if p.restart != nil {
		p.server.MarkListenerShared()
		p.restart.attach(p)
	}
	return nil
}

// openAdmin opens the admin server, where there is an admin address.
func (p *process) openAdmin() error {
	p.adminHandler = &adminHandler{proxy: p.proxy, state: p.state, restart: p.restart, node: p.node}
	if p.config.AdminListen == "" {
		return nil
	}
	var err error
	p.adminServer, err = admin.Listen(p.config.AdminListen, p.adminHandler, p.log)
	return err
}

// run runs the parts until a signal ends the process or one of them fails. Each part has a goroutine. Two contexts end
// them in order: accepting ends the server's accepting of connections; working ends the other parts. The server cancels
// working itself when its last connection is closed, as until then requests in flight need the other parts. A part that
// fails ends accepting, by way of handleSignals, and with it the process.
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
	err := g.Wait() // the first part's error
	p.proxy.LogCounters("exit")
	return err
}
