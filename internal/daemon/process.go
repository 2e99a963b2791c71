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

// process holds the parts of a running dispatcher. start sets the fields in the order of their declaration. Until its
// step has run, a field has its zero value and must not be used.
//
// While the process runs, only the goroutine of handleSignals uses config: a reload replaces it with another Config,
// and the shutdown reads its timeouts. The other parts hold copies of the values that they need, and a reload updates
// them by method calls. The other fields do not change after start.
type process struct {
	config     *Config
	readConfig func() (*Config, error) // reads the configuration again
	signals    *signals
	log        zerolog.Logger

	limits       resourceLimits       // set by step 1 of start
	clock        func() balancer.Time // set by step 2, like shards and pool
	shards       *balancer.Shards
	pool         *transport.Pool
	restart      *hotRestart               // set by step 3; nil if there is no admin address
	node         *fleet.Node               // set by step 4; nil if LB_FLEET is not set
	datagrams    *transport.DatagramSocket // set by step 5; nil if gossip is disabled
	state        *lifecycle.State          // set by step 6, like proxy
	drain        *drainControl             // set by step 6, like proxy
	proxy        *proxy.Proxy
	listener     *net.TCPListener // set by step 7, like server
	server       *transport.Server
	adminHandler *adminHandler // set by step 8
	adminServer  *admin.Server // set by step 8; nil if there is no admin address
}

// start opens the sockets and creates the parts; run starts their goroutines. The order of the steps is fixed, because
// each one uses the results of earlier ones:
//
//  1. The resource limits apply to the pool, the server and the heap.
//  2. The balancer and the pool need the limits and the clock.
//  3. The predecessor hands over its state and sockets before the steps that use them.
//  4. The fleet node does not use its state folder and address while a predecessor does. Its stored endpoint list may
//     replace the configured list with which the proxy starts.
//  5. The gossip socket is inherited from the predecessor, or a new one. The proxy sends and receives on it.
//  6. The proxy handles the requests of the clients that connect to the listener.
//  7. The client listener is inherited from the predecessor, or a new one. It is the last part that the hot restart
//     needs.
//  8. The admin server runs commands that use all other parts. If its address is in use, the start fails and a
//     predecessor continues to serve, because it is notified of its successor only by run.
func (p *process) start() error {
	p.applyResourceLimits()
	p.buildBalancer()
	p.connectToPredecessor()
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

// applyResourceLimits derives the resource limits from the configuration and applies those of the Go runtime.
func (p *process) applyResourceLimits() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(p.config.Cores))))
	p.limits = p.config.resourceLimits()
	debug.SetMemoryLimit(p.limits.heapBytes)
}

// buildBalancer sets the clock and creates the balancer and the pool of worker connections. The clock starts at the
// current wall-clock time and then follows the monotonic clock, so that it advances even if the system clock is set
// back.
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
	p.pool.SetRecordingLimit(p.limits.recordingBytes)
}

// connectToPredecessor receives the state and the sockets of a process that serves under the same name and addresses,
// if there is one.
func (p *process) connectToPredecessor() {
	p.restart = newHotRestart(p.config, p.log)
	p.config.Proxy.PredecessorSnapshot = p.restart.predecessorSnapshot()
	p.config.Proxy.MigratesRequests = p.restart != nil
}

// disconnectPredecessor closes the link to the predecessor. A predecessor that was not notified of a serving successor
// continues to serve.
func (p *process) disconnectPredecessor() { p.restart.disconnectPredecessor() }

// openPeerSocket opens or inherits the gossip socket. It does nothing if gossip is disabled.
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

// listenOptions returns the options for opening a socket that the processes of a hot restart share under a name.
func (p *process) listenOptions(socketName string) transport.ListenOptions {
	return transport.ListenOptions{Inherited: p.restart.predecessorSocket(socketName), ReusePort: p.restart != nil}
}

// buildProxy creates the proxy, and attaches the parts whose state the fleet node restores.
func (p *process) buildProxy() {
	p.state = &lifecycle.State{}
	p.drain = &drainControl{state: p.state, restart: p.restart, node: p.node}
	p.proxy = proxy.New(p.config.Proxy, p.shards, p.pool, p.datagrams, p.state, p.log)
	if p.node != nil {
		attachNode(p.node, p.proxy, p.shards, p.state)
	}
}

// openClientListener opens or inherits the client listener and creates the server. The parts that a hot restart uses
// are then complete and get attached to it.
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

// openAdmin creates the handler of operators' commands, and opens the admin server if there is an admin address.
func (p *process) openAdmin() error {
	p.adminHandler = &adminHandler{proxy: p.proxy, drain: p.drain, node: p.node}
	if p.config.AdminListen == "" {
		return nil
	}
	var err error
	p.adminServer, err = admin.Listen(p.config.AdminListen, p.adminHandler, p.log)
	return err
}

// run runs each part in a goroutine until a signal stops the process or a part fails. Two contexts stop the parts in
// order: canceling acceptContext stops the server from accepting connections; canceling partsContext stops the other
// parts. partsContext is canceled when the server has closed its last connection, because requests in flight need the
// other parts until then. If a part fails, failureContext is canceled, handleSignals cancels acceptContext, and the
// process stops.
func (p *process) run() error {
	acceptContext, stopAccepting := context.WithCancel(context.Background())
	partsContext, stopWorking := context.WithCancel(context.Background())
	defer stopAccepting()
	defer stopWorking()
	g, failureContext := errgroup.WithContext(context.Background())
	g.Go(func() error {
		defer stopWorking()
		p.restart.awaitMayAccept(acceptContext)
		return p.server.Run(acceptContext)
	})
	g.Go(func() error { return p.proxy.Run(partsContext) })
	g.Go(func() error { return p.pool.Run(partsContext) })
	g.Go(func() error { return p.server.FollowLifecycle(partsContext) })
	if p.node != nil {
		g.Go(func() error { return p.node.Run(partsContext) })
	}
	if p.adminServer != nil {
		g.Go(func() error { return p.adminServer.Run(partsContext) })
		g.Go(func() error { return p.restart.run(partsContext) })
	}
	g.Go(func() error { return p.handleSignals(failureContext, partsContext, stopAccepting) })
	err := g.Wait() // the error of the first part that failed
	p.proxy.LogCounters("exit")
	return err
}
