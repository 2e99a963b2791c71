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

// siblingUpdateInterval is the time between two updates that a process sends to its sibling, the other process of a hot
// restart.
const siblingUpdateInterval = 50 * time.Millisecond

// hotRestart is this process's side of a hot restart, in which a second process of the same dispatcher takes over. A
// process starts as the successor of a serving process (hot_restart_successor.go) and may later become the predecessor
// of another one (hot_restart_predecessor.go). The steps, in order:
//
//  1. On startup the successor connects to the predecessor. It receives the client listener, the gossip socket, and a
//     snapshot of the state that the proxy has learned. From then on both processes can accept from the same queue of
//     connections; the predecessor continues to serve.
//  2. When its parts are running, the successor asks for the IDs of the open requests. The predecessor sends them, and
//     from then on claims the ID of each request from the successor before it serves the request. Then the successor
//     accepts connections, and notifies the predecessor that it is serving. The predecessor then stops
//     accepting connections, stops gossip, and releases the state folder and the address of the fleet node
//     (handOffToSuccessor). Open connections stay with the predecessor.
//  3. Each process sends the other an update every siblingUpdateInterval: its attempts and requests in flight, its
//     recent sends, and the number of connections that it needs. With the updates both processes together stay within
//     the resource limits (hot_restart_limits.go), and each rejects a request whose ID is in flight at the other.
//  4. LEAVE and JOIN run in the successor, and the predecessor learns of them (drainControl).
//  5. After SIGTERM the predecessor hands over each request in flight, with the connections of its client and its
//     attempts (exportRequests), one after the other. Until its turn a request is watched and may be answered by the
//     predecessor; the successor cancels it if its client has left meanwhile. Requests that could not be moved yet are
//     tried again at intervals.
//  6. When the predecessor has exited, the successor gets all of the resource limits. If the successor exits first, the
//     predecessor resumes serving (handleSuccessorExit), unless it is stopping.
//
// Hot restarts require an admin address: newHotRestart returns nil without one. Except for attach and run, the methods
// that other types call accept a nil *hotRestart and then behave as if there were no predecessor and no successor.
type hotRestart struct {
	controlSocket hotrestart.ControlSocket
	predecessor   *hotrestart.Handover // nil if there is none
	mayAccept     chan struct{}        // closed when a process with a predecessor may accept connections
	log           zerolog.Logger

	// Set by attach.
	limits    resourceLimits
	state     *lifecycle.State
	drain     *drainControl
	proxy     *proxy.Proxy
	server    *transport.Server
	pool      *transport.Pool
	listener  syscall.Conn
	datagrams *transport.DatagramSocket // nil if gossip is disabled
	node      *fleet.Node               // nil if LB_FLEET is not set

	stopping chan struct{} // closed when this process starts to stop, see startExport

	mu           sync.Mutex
	successor    *hotrestart.Link // link to the serving successor, nil if there is none
	siblingCount int              // number of other processes that share the memory limit with this one
}

// newHotRestart connects to the process that serves under the same name and addresses, if there is one, and receives
// its sockets and snapshot. If that fails, this process starts without them. newHotRestart returns nil if there is no
// admin address.
func newHotRestart(c *Config, log zerolog.Logger) *hotRestart {
	if c.AdminListen == "" {
		return nil
	}
	h := &hotRestart{
		controlSocket: hotrestart.NewControlSocket(os.TempDir(), c.Name, c.Listen, c.PeerListen),
		mayAccept:     make(chan struct{}),
		stopping:      make(chan struct{}),
		log:           log,
	}
	predecessor, err := hotrestart.Connect(h.controlSocket)
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

// attach sets the parts of the process that the hot restart uses. It must be called before run.
func (h *hotRestart) attach(p *process) {
	h.limits = p.limits
	h.state = p.state
	h.drain = p.drain
	h.proxy = p.proxy
	h.server = p.server
	h.pool = p.pool
	h.listener = p.listener
	h.datagrams = p.datagrams
	h.node = p.node
}

// run accepts successors and, if there is a predecessor, handles its messages until it exits. run returns when ctx is
// done.
func (h *hotRestart) run(ctx context.Context) error {
	listener := hotrestart.Listener{
		ControlSocket:   h.controlSocket,
		Sockets:         h.sharedSockets,
		Snapshot:        h.snapshot,
		HandleSuccessor: h.handleSuccessor,
		IsStopping:      h.isStopping,
		Log:             h.log,
	}
	var g errgroup.Group
	g.Go(func() error { return listener.Run(ctx) })
	if h.predecessor != nil {
		g.Go(func() error {
			h.handlePredecessor(ctx)
			return nil
		})
	}
	return g.Wait()
}

// snapshot returns the state of the process to send to a successor.
func (h *hotRestart) snapshot() any {
	snapshot := h.proxy.Snapshot()
	h.drain.successorConnected(snapshot.Drained)
	return snapshot
}

func (h *hotRestart) isStopping() bool { return h.state.PhaseAt(time.Now()).IsStopping() }

// sharedSockets returns the sockets to send to a successor.
func (h *hotRestart) sharedSockets() []hotrestart.Socket {
	sockets := []hotrestart.Socket{{Name: hotrestart.ClientSocket, Conn: h.listener}}
	if h.datagrams != nil {
		sockets = append(sockets, hotrestart.Socket{Name: hotrestart.PeerSocket, Conn: h.datagrams.Socket()})
	}
	return sockets
}

// sendUpdates starts a goroutine that sends updates to the sibling until stop is called, ctx is done, or sending fails.
// stop waits for the goroutine. After a failure, handleFailure is called. The link stays open, because messages that the
// sibling has sent may not have been received yet.
func (h *hotRestart) sendUpdates(ctx context.Context, link *hotrestart.Link, update func() proxy.SiblingUpdate,
	handleFailure func(),
) (stop func()) {
	return h.runInBackground(ctx, func(ctx context.Context) {
		ticker := time.NewTicker(siblingUpdateInterval)
		defer ticker.Stop()
		for {
			if err := link.SendSiblingUpdate(update()); err != nil {
				handleFailure() // the sibling has exited or reads nothing: the receiving goroutine logs the cause
				return
			}
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	})
}

// runInBackground calls a function in a goroutine, with a context that is done when stop is called. stop waits until the
// function returns.
func (h *hotRestart) runInBackground(ctx context.Context, run func(context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// parseSiblingUpdate parses an update from the sibling. It logs a malformed update and returns false.
func (h *hotRestart) parseSiblingUpdate(text json.RawMessage) (update proxy.SiblingUpdate, ok bool) {
	if err := json.Unmarshal(text, &update); err != nil {
		h.log.Warn().Err(err).Msg("malformed sibling update")
		return update, false
	}
	return update, true
}
