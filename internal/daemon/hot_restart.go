package daemon

import (
	"context"
	"encoding/json"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"canvasroute/internal/fleet"
	"canvasroute/internal/hotrestart"
	"canvasroute/internal/lifecycle"
	"canvasroute/internal/proxy"
	"canvasroute/internal/transport"
)

// siblingUpdateInterval is how often the two processes of a hot restart send each other their requests in flight and
// connections.
const siblingUpdateInterval = 50 * time.Millisecond

// hotRestart is this process's part in a hot restart: as the successor of a process that serves already
// (hot_restart_successor.go), and later as the predecessor of another (hot_restart_predecessor.go). Both processes share
// the listener's queue and the socket for datagrams, count each other's requests in flight, and keep within the resource
// limits together (hot_restart_limits.go).
//
// Without an address for operators there is no hot restart: the methods that other files call take a nil *hotRestart
// for a process without predecessor and successor.
type hotRestart struct {
	rendezvous  hotrestart.Rendezvous
	predecessor *hotrestart.Handover // nil without a predecessor
	log         zerolog.Logger

	// Set by attach.
	limits    resourceLimits
	state     *lifecycle.State
	proxy     *proxy.Proxy
	server    *transport.Server
	pool      *transport.Pool
	listener  syscall.Conn
	datagrams *transport.Datagrams // nil without gossip
	node      *fleet.Node          // nil without LB_FLEET

	exporting sync.Mutex // held while the requests in flight are gone through

	mu        sync.Mutex
	successor *hotrestart.Link // to the successor that serves, nil without one
	siblings  int              // processes that share the memory limit with this one
}

// newHotRestart connects to the process that serves under the same name and addresses, if there is one, and receives its
// sockets and state. It returns nil without an address for operators. The rest is set by attach.
func newHotRestart(c *Config, log zerolog.Logger) *hotRestart {
	if c.AdminListen == "" {
		return nil
	}
	h := &hotRestart{rendezvous: hotrestart.RendezvousFor(os.TempDir(), c.Name, c.Listen, c.PeerListen), log: log}
	predecessor, err := hotrestart.Connect(h.rendezvous)
	if err != nil {
		log.Warn().Err(err).Msg("predecessor unreachable, starting without its state")
	}
	if predecessor != nil {
		h.predecessor = predecessor
		log.Info().Int("sockets", len(predecessor.Sockets)).Int("bytes", len(predecessor.Snapshot)).
			Msg("predecessor connected")
	}
	return h
}

// attach gives the hot restart the parts of the process that it shares.
func (h *hotRestart) attach(p *process) {
	h.limits = p.limits
	h.state = p.state
	h.proxy = p.proxy
	h.server = p.server
	h.pool = p.pool
	h.listener = p.listener
	h.datagrams = p.datagrams
	h.node = p.node
}

// run accepts successors, and goes on beside the predecessor until it has ended. It returns when ctx ends.
func (h *hotRestart) run(ctx context.Context) error {
	listener := hotrestart.Listener{
		Rendezvous: h.rendezvous,
		Sockets:    h.sharedSockets,
		Snapshot:   func() any { return h.proxy.Snapshot() },
		Serve:      h.serveSuccessor,
		IsStopping: h.isStopping,
		Log:        h.log,
	}
	var g errgroup.Group
	g.Go(func() error { return listener.Run(ctx) })
	if h.predecessor != nil {
		g.Go(func() error {
			h.followPredecessor(ctx)
			return nil
		})
	}
	return g.Wait()
}

func (h *hotRestart) isStopping() bool { return h.state.PhaseAt(time.Now()).IsStopping() }

// sharedSockets are the sockets that a successor gets.
func (h *hotRestart) sharedSockets() []hotrestart.Socket {
	sockets := []hotrestart.Socket{{Name: hotrestart.ClientSocket, Conn: h.listener}}
	if h.datagrams != nil {
		sockets = append(sockets, hotrestart.Socket{Name: hotrestart.PeerSocket, Conn: h.datagrams.Socket()})
	}
	return sockets
}

// sendUpdates starts sending updates to the sibling. It goes on until stop is called or ctx ends, which also closes the
// link. stop waits for its goroutine.
func (h *hotRestart) sendUpdates(ctx context.Context, link *hotrestart.Link, update func() proxy.SiblingUpdate) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer link.Close()
		ticker := time.NewTicker(siblingUpdateInterval)
		defer ticker.Stop()
		for {
			if err := link.SendSiblingUpdate(update()); err != nil {
				return // the link is broken: the receiving side logs why
			}
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// parseSiblingUpdate reads an update of the sibling. One that is malformed is logged and otherwise ignored.
func (h *hotRestart) parseSiblingUpdate(text json.RawMessage) (update proxy.SiblingUpdate, ok bool) {
	if err := json.Unmarshal(text, &update); err != nil {
		h.log.Warn().Err(err).Msg("malformed sibling update")
		return update, false
	}
	return update, true
}
