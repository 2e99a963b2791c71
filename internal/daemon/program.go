package daemon

import (
	"context"
	"fmt"
	"math"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"canvasroute/internal/balancer"
	"canvasroute/internal/hotrestart"
	"canvasroute/internal/lifecycle"
	"canvasroute/internal/proxy"
	"canvasroute/internal/transport"
)

// Bounds on the end.
const (
	acceptFor    = 500 * time.Millisecond // clients go on coming for a while
	longestDrain = 3 * time.Second        // or the longest client timeout: no sooner are we killed,
	drainMore    = 450 * time.Millisecond // and not within 700 ms after it
	cutMore      = 100 * time.Millisecond // after the last answer is due, for clients to take it
)

// Main runs a dispatcher and returns the code that the process exits with.
func Main() int {
	// Before anything else: a signal that nobody takes would kill the process.
	heard := listen()
	defer heard.stop()
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	p, err := ReadConfig(os.Getenv)
	if err != nil {
		log.Error().Err(err).Msg("bad configuration")
		return 2
	}
	anew := func() (*Config, error) { return ReloadConfig(os.Getenv) }
	if err := Run(p, anew, heard, log.With().Str("name", p.Name).Logger()); err != nil {
		log.Error().Err(err).Msg("ended by a fault")
		return 1
	}
	return 0
}

// Run serves until it is told to end, and then answers all that it has taken. anew reads the configuration
// again.
func Run(p *Config, anew func() (*Config, error), heard *signals, log zerolog.Logger) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(p.Cores))))
	room := p.room()
	debug.SetMemoryLimit(room.heap)

	start := time.Now()
	base := balancer.Time(start.UnixMicro() / 100)
	clock := func() balancer.Time { return base + balancer.Time(time.Since(start)/(time.Second/balancer.Second)) }
	p.Proxy.FromUnix = func(ms float64) balancer.Time { return balancer.Time(ms * 10) }
	facade := balancer.NewShards(p.Balancer, p.instances(), p.Seed, clock,
		func(line string) { log.Warn().Msg(line) })

	pool := transport.NewPool(room.workers, p.WorkerIdleTimeout, log)
	both := meet(p, log)
	defer both.close()
	p.Proxy.PredecessorSnapshot, p.Proxy.MigratesRequests = both.legacy(), both != nil
	node, err := p.node(clock, both.legacy() != nil, log)
	if err != nil {
		return err
	}
	datagrams, err := peerSocket(p, both)
	if err != nil {
		return err
	}
	state := &lifecycle.State{}
	router := proxy.New(p.Proxy, facade, pool, datagrams, state, log)
	if node != nil {
		bringBack(node, router, facade, state)
	}
	ln, err := transport.ListenClients(p.Listen, both.socket(hotrestart.ClientSocket), both != nil)
	if err != nil {
		return err
	}
	server := transport.NewServer(ln, room.clients, room.bodies, router, state, log)
	if both != nil {
		server.ShareListener()
		both.room, both.state, both.router, both.server = room, state, router, server
		both.pool, both.listener, both.datagrams = pool, ln, datagrams
		both.node = node
	}
	desk := &adminHandler{router: router, drain: state, handover: both, node: node, log: log}
	door, err := desk.open(p.AdminListen)
	if err != nil {
		return err
	}
	log.Info().Str("listen", p.Listen).Int("clients", room.clients).Int("workers", room.workers).Msg("started")

	// Lifetimes: accepting ends first, then the connections of clients, then what forwards need.
	accepting, stopAccepting := context.WithCancel(context.Background())
	working, stopWorking := context.WithCancel(context.Background())
	defer stopAccepting()
	defer stopWorking()
	g, failed := errgroup.WithContext(context.Background())
	g.Go(func() error {
		defer stopWorking()
		return server.Run(accepting)
	})
	g.Go(func() error { return router.Run(working) })
	g.Go(func() error { return pool.Run(working) })
	g.Go(func() error { return server.TakeOver(working) })
	if node != nil {
		g.Go(func() error { return node.Run(working) })
	}
	if door != nil {
		g.Go(func() error { return door.Run(working) })
		g.Go(func() error { return both.run(working) })
	}
	g.Go(func() error {
		return attend(heard, failed, working, p, anew, desk, router, server, stopAccepting, log)
	})
	err = g.Wait()
	router.LogCounters("exit")
	return err
}

func peerSocket(p *Config, both *handover) (*transport.Datagrams, error) {
	if !p.Balancer.Gossip {
		return nil, nil
	}
	addr, err := netip.ParseAddrPort(p.PeerListen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return transport.ListenDatagrams(addr, both.socket(hotrestart.PeerSocket), both != nil)
}

// attend answers signals: counters on SIGUSR1, the configuration anew on SIGHUP, and the drain on SIGTERM or
// SIGINT.
func attend(heard *signals, failed, working context.Context, p *Config, anew func() (*Config, error),
	desk *adminHandler, router *proxy.Proxy, server *transport.Server, stopAccepting func(),
	log zerolog.Logger,
) error {
	for {
		select {
		case <-working.Done():
			return nil
		case <-failed.Done():
			stopAccepting()
			return nil
		case <-heard.count:
			router.LogCounters("asked")
		case <-heard.reload:
			p = reload(p, anew, desk, router, log)
		case s := <-heard.end:
			log.Info().Str("signal", s.String()).Msg("draining")
			within := min(p.MaxClientTimeout, longestDrain) + drainMore
			desk.drain.Stop(time.Now())
			server.CloseAllAfter(within + cutMore)
			// What a successor goes on with is not bound by this process's end; what then is left is.
			relieved := desk.handover.handAll()
			if !relieved {
				router.StopWithin(within)
			}
			select {
			case <-time.After(acceptFor):
			case <-failed.Done():
			}
			if relieved {
				router.StopWithin(within - acceptFor)
			}
			stopAccepting()
			return nil
		}
	}
}
