package daemon

import (
	"context"
	"encoding/json"
	"strconv"
	"syscall"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/hotrestart"
	"canvasroute/internal/proxy"
)

// serveSuccessor goes on beside a successor until one of the two has ended. If it is the successor, this process accepts
// connections again, unless it is stopping.
func (h *hotRestart) serveSuccessor(ctx context.Context, link *hotrestart.Link) {
	h.addSiblings(1)
	share := h.openConnectionShare().halfway(h.allConnections())
	stop := h.sendUpdates(ctx, link, func() proxy.SiblingUpdate {
		if h.isStopping() {
			h.exportRequests()
		}
		if h.servingSuccessor() != nil {
			share = share.shrinkTo(h.openConnectionShare())
		}
		h.setConnectionLimits(share)
		update := h.proxy.SiblingUpdate(balancer.Successor)
		update.ClientConnections = share.clients
		update.WorkerConnections = share.workers
		return update
	})
	defer stop()
	err := link.Receive(hotrestart.Handler{
		Serving: func() { h.handOffTo(link) },
		SiblingUpdate: func(text json.RawMessage) {
			if update, ok := h.parseSiblingUpdate(text); ok {
				h.proxy.ReceiveSiblingUpdate(balancer.Successor, update)
			}
		},
	})
	h.takeBack()
	h.log.Info().AnErr("cause", err).Stringer("phase", h.state.PhaseAt(time.Now())).Msg("successor ended")
}

// handOffTo leaves accepting, datagrams and the fleet's messages to a successor that serves.
func (h *hotRestart) handOffTo(link *hotrestart.Link) {
	if err := h.state.HandOff(time.Now()); err != nil {
		h.log.Warn().Err(err).Msg("successor serves, but this process cannot hand off")
		return
	}
	h.yieldSockets()
	h.mu.Lock()
	h.successor = link
	h.mu.Unlock()
	h.log.Info().Msg("successor serves")
}

// takeBack takes back all that was left to a successor which has ended. A process that is stopping leaves the sockets
// alone.
func (h *hotRestart) takeBack() {
	h.proxy.ForgetSibling(balancer.Successor)
	h.addSiblings(-1)
	h.setConnectionLimits(h.allConnections())
	h.mu.Lock()
	h.successor = nil
	h.mu.Unlock()
	h.state.TakeBack(time.Now())
	if h.isStopping() {
		h.yieldSockets()
	} else {
		h.reclaimSockets()
	}
}

// yieldSockets leaves the sockets for datagrams to a successor.
func (h *hotRestart) yieldSockets() {
	h.proxy.YieldDatagrams()
	if h.node != nil {
		h.node.YieldSocket()
	}
}

// reclaimSockets takes the sockets for datagrams back.
func (h *hotRestart) reclaimSockets() {
	h.proxy.ReclaimDatagrams()
	if h.node != nil {
		h.node.ReclaimSocket()
	}
}

// servingSuccessor is the link to a successor that serves, nil without one.
func (h *hotRestart) servingSuccessor() *hotrestart.Link {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.successor
}

// exportRequests hands over the requests in flight to the successor that serves, as far as that is possible at the
// moment. It returns false without such a successor.
func (h *hotRestart) exportRequests() bool {
	link := h.servingSuccessor()
	if link == nil {
		return false
	}
	h.exporting.Lock()
	defer h.exporting.Unlock()
	h.proxy.ExportAll(func(request *proxy.MigratedRequest, client syscall.Conn, attempts map[int]syscall.Conn) error {
		sockets := []hotrestart.Socket{{Name: hotrestart.ClientSocket, Conn: client}}
		for n, conn := range attempts {
			sockets = append(sockets, hotrestart.Socket{Name: strconv.Itoa(n), Conn: conn})
		}
		return link.SendRequest(request, sockets)
	})
	return true
}

// forwardCommand passes an operator's command on to the successor that serves. It returns false without one.
func (h *hotRestart) forwardCommand(command string) (forwarded bool, err error) {
	link := h.servingSuccessor()
	if link == nil {
		return false, nil
	}
	return true, link.SendCommand(command)
}
