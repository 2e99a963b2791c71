package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"canvasroute/internal/balancer"
	"canvasroute/internal/fleet"
	"canvasroute/internal/hotrestart"
	"canvasroute/internal/lifecycle"
	"canvasroute/internal/protocol"
	"canvasroute/internal/proxy"
	"canvasroute/internal/transport"
)

// tellEvery is how often the two processes of an upgrade tell each other what is out.
const tellEvery = 50 * time.Millisecond

// handover is what a process does while another one of the same dispatcher is there: the one before it, or
// the one after it. Both share one listener's queue and one socket for datagrams, count what the other has
// out as theirs, and keep within the limits together.
type handover struct {
	place     hotrestart.Rendezvous
	heir      *hotrestart.Successor // from the process before, nil where there is none
	room      room
	state     *lifecycle.State
	router    *proxy.Proxy
	server    *transport.Server
	pool      *transport.Pool
	listener  syscall.Conn
	datagrams *transport.Datagrams
	node      *fleet.Node // nil where it is off
	log       zerolog.Logger

	handing   sync.Mutex // one goes through what is open at a time
	mu        sync.Mutex
	successor *hotrestart.Link // one that serves
	twins     int              // processes that the limits are shared with
}

// meet looks for the process before this one. Without operators' door there is no upgrade: nothing is looked
// for.
func meet(p *Config, log zerolog.Logger) *handover {
	if p.AdminListen == "" {
		return nil
	}
	h := &handover{place: hotrestart.RendezvousFor(os.TempDir(), p.Name, p.Listen, p.PeerListen), log: log}
	var err error
	if h.heir, err = hotrestart.Connect(h.place); err != nil {
		log.Warn().Err(err).Msg("nothing is handed over: starting beside whoever is there")
	}
	if h.heir != nil {
		log.Info().Int("sockets", len(h.heir.Sockets)).Int("bytes", len(h.heir.Snapshot)).Msg("predecessor met")
	}
	return h
}

// socket is one that was handed over, nil where it was not.
func (h *handover) socket(name string) *os.File {
	if h == nil || h.heir == nil {
		return nil
	}
	return h.heir.Sockets[name]
}

func (h *handover) legacy() json.RawMessage {
	if h == nil || h.heir == nil {
		return nil
	}
	return h.heir.Snapshot
}

// close ends the link to the predecessor, which goes on alone if this process has never served.
func (h *handover) close() {
	if h != nil && h.heir != nil {
		h.heir.Link.Close()
	}
}

// run waits for a successor, and meanwhile sees the predecessor off.
func (h *handover) run(ctx context.Context) error {
	host := hotrestart.Listener{
		Rendezvous: h.place, Log: h.log, Sockets: h.sockets, Serve: h.relieve,
		Snapshot:   func() any { return h.router.Snapshot() },
		IsStopping: func() bool { return h.state.PhaseAt(time.Now()).IsStopping() },
	}
	var both errgroup.Group
	both.Go(func() error { return host.Run(ctx) })
	if h.heir != nil {
		both.Go(func() error {
			h.follow(ctx)
			return nil
		})
	}
	return both.Wait()
}

func (h *handover) sockets() []hotrestart.Socket {
	all := []hotrestart.Socket{{Name: hotrestart.ClientSocket, Conn: h.listener}}
	if h.datagrams != nil {
		all = append(all, hotrestart.Socket{Name: hotrestart.PeerSocket, Conn: h.datagrams.Socket()})
	}
	return all
}

// follow goes on beside the predecessor until it has ended.
func (h *handover) follow(ctx context.Context) {
	l := h.heir.Link
	h.share(1)
	h.bound(h.room.clients/2, h.room.workers/2) // until it tells what it has
	stop := h.tell(ctx, l, func() proxy.SiblingUpdate { return h.router.SiblingUpdate(balancer.Predecessor) })
	defer stop()
	if err := l.SendServing(); err != nil {
		h.log.Warn().Err(err).Msg("predecessor cannot be told")
	}
	err := l.Receive(hotrestart.Handler{
		SiblingUpdate: func(b json.RawMessage) {
			if t, ok := h.twin(b); ok {
				h.router.ReceiveSiblingUpdate(balancer.Predecessor, t)
				h.bound(h.room.clients-t.ClientConnections, h.room.workers-t.WorkerConnections)
			}
		},
		Request: h.adopt,
		Command: func(call string) {
			h.log.Info().Str("call", call).Msg("operator, by way of the predecessor")
			now := time.Now()
			if call == callLeave {
				h.state.Drain(now)
			} else if err := h.state.Rejoin(now); err != nil {
				h.log.Warn().Err(err).Msg("call")
			}
		},
	})
	h.router.SiblingGone(balancer.Predecessor)
	h.share(-1)
	h.bound(h.room.clients, h.room.workers)
	h.log.Info().AnErr("cause", err).Msg("predecessor has ended")
}

// relieve goes on beside a successor until one of the two has ended. If it is the successor, this process
// takes clients again, unless it ends itself.
func (h *handover) relieve(ctx context.Context, l *hotrestart.Link) {
	h.share(1)
	clients, workers := h.server.OpenConnections(), h.pool.OpenConnections()
	clients, workers = (clients+h.room.clients)/2, (workers+h.room.workers)/2 // half of what is free
	stop := h.tell(ctx, l, func() proxy.SiblingUpdate {
		if h.state.PhaseAt(time.Now()).IsStopping() {
			h.handAll()
		}
		if h.serving() != nil {
			clients, workers = min(clients, h.server.OpenConnections()), min(workers, h.pool.OpenConnections()+1)
		}
		h.bound(clients, workers)
		t := h.router.SiblingUpdate(balancer.Successor)
		t.ClientConnections, t.WorkerConnections = clients, workers
		return t
	})
	defer stop()
	err := l.Receive(hotrestart.Handler{
		Serving: func() { h.serves(l) },
		SiblingUpdate: func(b json.RawMessage) {
			if t, ok := h.twin(b); ok {
				h.router.ReceiveSiblingUpdate(balancer.Successor, t)
			}
		},
	})
	h.router.SiblingGone(balancer.Successor)
	h.share(-1)
	h.bound(h.room.clients, h.room.workers)
	h.mu.Lock()
	h.successor = nil
	h.mu.Unlock()
	h.state.TakeBack(time.Now())
	h.router.YieldDatagrams(h.state.PhaseAt(time.Now()).IsStopping())
	if h.node != nil {
		h.node.YieldSocket(h.state.PhaseAt(time.Now()).IsStopping())
	}
	h.log.Info().AnErr("cause", err).Stringer("phase", h.state.PhaseAt(time.Now())).Msg("successor has ended")
}

func (h *handover) serves(l *hotrestart.Link) {
	if err := h.state.HandOff(time.Now()); err != nil {
		h.log.Warn().Err(err).Msg("successor serves")
		return
	}
	h.router.YieldDatagrams(true)
	if h.node != nil {
		h.node.YieldSocket(true)
	}
	h.mu.Lock()
	h.successor = l
	h.mu.Unlock()
	h.log.Info().Msg("successor serves, and accepts from now on")
}

// tell sends what is out here until ctx ends, which also ends the link.
func (h *handover) tell(ctx context.Context, l *hotrestart.Link, twin func() proxy.SiblingUpdate) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer l.Close()
		ticker := time.NewTicker(tellEvery)
		defer ticker.Stop()
		for {
			if err := l.SendSiblingUpdate(twin()); err != nil {
				return
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

func (h *handover) twin(b json.RawMessage) (t proxy.SiblingUpdate, ok bool) {
	if err := json.Unmarshal(b, &t); err != nil {
		h.log.Warn().Err(err).Msg("twin")
		return t, false
	}
	return t, true
}

// bound keeps this process to a part of the connections that both may have.
func (h *handover) bound(clients, workers int) {
	h.server.SetLimit(max(clients, 1))
	h.pool.SetLimit(max(workers, 1))
}

// share keeps this process to its part of the memory.
func (h *handover) share(by int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.twins += by
	debug.SetMemoryLimit(h.room.heap / int64(1+h.twins))
}

// handAll hands what is under way to the successor that serves, as far as it can be just now. It returns
// false where there is none.
func (h *handover) handAll() bool {
	l := h.serving()
	if l == nil {
		return false
	}
	h.handing.Lock()
	defer h.handing.Unlock()
	h.router.ExportAll(func(open *proxy.MigratedRequest, client syscall.Conn, forwards map[int]syscall.Conn) error {
		sockets := []hotrestart.Socket{{Name: hotrestart.ClientSocket, Conn: client}}
		for n, c := range forwards {
			sockets = append(sockets, hotrestart.Socket{Name: strconv.Itoa(n), Conn: c})
		}
		return l.SendRequest(open, sockets)
	})
	return true
}

// adopt goes on with an invocation that the predecessor has handed over.
func (h *handover) adopt(b json.RawMessage, files map[string]*os.File) {
	var client net.Conn
	forwards := map[int]net.Conn{}
	for name, f := range files {
		c, err := net.FileConn(f)
		f.Close()
		if err != nil {
			h.log.Warn().Err(err).Str("socket", name).Msg("handed over")
			continue
		}
		if n, err := strconv.Atoi(name); err == nil {
			forwards[n] = c
		} else {
			client = c
		}
	}
	open, finish, err := h.router.Import(b, forwards)
	if err == nil && client == nil {
		err = errors.New("an invocation handed over: without its client")
	}
	if err != nil {
		h.log.Warn().Err(err).Msg("handed over")
		for _, c := range forwards {
			c.Close()
		}
		if client == nil || open == nil {
			return
		}
		finish = func(context.Context) *protocol.Response { return &protocol.Response{Status: 502} } // it may have run
	}
	h.server.Import(transport.MigratedClient{
		Conn:           client,
		Pipelined:      open.Pipelined,
		CloseRequested: open.CloseRequested,
		AcceptsInterim: open.AcceptsInterim,
	}, finish)
}

func (h *handover) serving() *hotrestart.Link {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.successor
}

// pass hands an operator's call on to the successor, if one serves.
func (h *handover) pass(call string) (passed bool, err error) {
	l := h.serving()
	if l == nil {
		return false, nil
	}
	return true, l.SendCommand(call)
}
