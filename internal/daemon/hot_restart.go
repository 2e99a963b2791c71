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

// siblingUpdateInterval is the time between two updates that a process of a hot restart sends to the other, its sibling.
const siblingUpdateInterval = 50 * time.Millisecond

// hotRestart is this process's part in a hot restart, in which a second process of the same dispatcher takes over. A
// process is first the successor of one that serves (hot_restart_successor.go), and later the predecessor of another
// (hot_restart_predecessor.go). What is handed over, in order:
//
//  1. At its start the successor connects to the predecessor. It receives the listener for clients, the socket for
//     gossip, and the snapshot of what the proxy has learnt. Both may then accept from one queue of connections; the
//     predecessor serves as before.
//  2. When its parts run, the successor notifies the predecessor that it serves. The predecessor then leaves accepting,
//     gossip, and the folder and address of the fleet's node to it (handOffTo). Open connections stay.
//  3. Each sends the other an update every siblingUpdateInterval: requests in flight, recent sends, and the connections
//     that it needs. So both keep within the resource limits together (hot_restart_limits.go), and each rejects a request
//     whose ID is in flight at the other.
//  4. LEAVE and JOIN that reach the predecessor are forwarded to the successor.
//  5. After SIGTERM the predecessor hands over each request in flight, with the connections of its client and attempts
//     (exportRequests). It tries at once, and with each update again for those that could not be moved yet.
//  6. When the predecessor has ended, the successor has all of the resource limits. If the successor ends first, the
//     predecessor takes back what it left (takeBack), unless it is stopping.
//
// Without an admin address there is no hot restart: the methods that other files call accept a nil *hotRestart, for a
// process without predecessor and successor.
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
	datagrams *transport.DatagramSocket // nil without gossip
	node      *fleet.Node               // nil without LB_FLEET

	exporting sync.Mutex // serializes passes over the requests in flight

	mu        sync.Mutex
	successor *hotrestart.Link // to the successor that serves, nil without one
	siblings  int              // processes that share the memory limit with this one
}

// newHotRestart connects to the process that serves under the same name and addresses, if there is one, and receives its
// sockets and snapshot. If that fails, this process starts without them. It returns nil without an admin address.
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

// attach gives the hot restart the parts of the process that it shares. It has to be called before run.
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

// run waits for successors, and follows the predecessor until that one has ended. It returns when ctx ends.
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

// sharedSockets returns the sockets that a successor receives.
func (h *hotRestart) sharedSockets() []hotrestart.Socket {
	sockets := []hotrestart.Socket{{Name: hotrestart.ClientSocket, Conn: h.listener}}
	if h.datagrams != nil {
		sockets = append(sockets, hotrestart.Socket{Name: hotrestart.PeerSocket, Conn: h.datagrams.Socket()})
	}
	return sockets
}

// sendUpdates starts a goroutine that sends updates to the sibling until stop is called or ctx ends. At its end it closes
// the link. stop waits for it.
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

// parseSiblingUpdate parses an update of the sibling. One that is malformed is logged and otherwise ignored.
func (h *hotRestart) parseSiblingUpdate(text json.RawMessage) (update proxy.SiblingUpdate, ok bool) {
	if err := json.Unmarshal(text, &update); err != nil {
		h.log.Warn().Err(err).Msg("malformed sibling update")
		return update, false
	}
	return update, true
}
