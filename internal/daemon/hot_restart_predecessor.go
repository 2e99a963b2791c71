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

// serveSuccessor runs beside a successor, which has received sockets and snapshot, until one of the two has ended. If the
// successor ends, this process takes back what it has left to it.
func (h *hotRestart) serveSuccessor(ctx context.Context, link *hotrestart.Link) {
	h.addSibling()
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

// handOffTo leaves accepting connections and the sockets for datagrams to a successor that serves.
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

// takeBack takes back what was left to a successor that has ended. A process that is stopping yields the sockets instead,
// as it has no more use for them.
func (h *hotRestart) takeBack() {
	h.proxy.ForgetSibling(balancer.Successor)
	h.removeSibling()
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

// yieldSockets leaves gossip, and the folder and address of the fleet's node, to a successor.
func (h *hotRestart) yieldSockets() {
	h.proxy.YieldDatagrams()
	if h.node != nil {
		h.node.YieldResources()
	}
}

// reclaimSockets takes back what yieldSockets has left to a successor.
func (h *hotRestart) reclaimSockets() {
	h.proxy.ReclaimDatagrams()
	if h.node != nil {
		h.node.ReclaimResources()
	}
}

// servingSuccessor returns the link to a successor that serves, nil without one.
func (h *hotRestart) servingSuccessor() *hotrestart.Link {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.successor
}

// exportRequests hands over the requests in flight that can be moved now to the successor that serves. It reports whether
// there is such a successor.
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

// forwardCommand sends an operator's command to the successor that serves. Without one it reports that it has not been
// forwarded, and this process has to run it.
func (h *hotRestart) forwardCommand(command string) (forwarded bool, err error) {
	link := h.servingSuccessor()
	if link == nil {
		return false, nil
	}
	return true, link.SendCommand(command)
}
