package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"syscall"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/hotrestart"
	"canvasroute/internal/proxy"
)

// receiveAfterFailure is the time in which messages of a successor are received to which nothing can be sent. If it has
// exited, all its messages have arrived.
const receiveAfterFailure = time.Second

// handleSuccessor exchanges updates with a successor that has received the sockets and the snapshot, until one of the
// two processes exits. If the successor exits, or does not read the updates, this process resumes serving.
func (h *hotRestart) handleSuccessor(ctx context.Context, link *hotrestart.Link) {
	defer link.Close()
	defer context.AfterFunc(ctx, link.Close)()
	h.addSibling()
	share := h.openConnectionShare().midpoint(h.fullConnectionShare())
	stop := h.sendUpdates(ctx, link, func() proxy.SiblingUpdate {
		if h.servingSuccessor() != nil {
			share = share.shrinkTo(h.openConnectionShare())
		}
		h.setConnectionLimits(share)
		update := h.proxy.NextSiblingUpdate(balancer.Successor)
		update.ClientConnections = share.clients
		update.WorkerConnections = share.workers
		return update
	}, func() { link.EndReceiveAfter(receiveAfterFailure) })
	defer stop()
	defer h.runInBackground(ctx, func(ctx context.Context) { h.exportRequests(ctx, link) })()
	err := link.Receive(hotrestart.Handler{
		Serving: func() { h.handOffToSuccessor(link) },
		SiblingUpdate: func(text json.RawMessage) {
			if update, ok := h.parseSiblingUpdate(text); ok {
				h.proxy.ReceiveSiblingUpdate(balancer.Successor, update)
			}
		},
		Command: func(command hotrestart.Command) { h.drain.applyFromSuccessor(command.Name) },
		SyncIDs: func() []string { return h.proxy.StartClaimingIDs(claimFrom(link)) },
	})
	h.handleSuccessorExit()
	h.log.Info().AnErr("cause", err).Stringer("phase", h.state.PhaseAt(time.Now())).Msg("successor ended")
}

// claimFrom returns a function that claims request IDs from the successor. If the successor has exited, this process
// decides alone again.
func claimFrom(link *hotrestart.Link) proxy.ClaimID {
	return func(id string) (granted bool, err error) {
		granted, err = link.ClaimRequestID(id)
		if errors.Is(err, hotrestart.ErrLinkEnded) {
			return true, nil
		}
		return granted, err
	}
}

// handOffToSuccessor stops accepting connections and yields the other shared resources after a successor has started to
// serve. If an operator has changed the drain since the successor received the snapshot, the successor is notified.
func (h *hotRestart) handOffToSuccessor(link *hotrestart.Link) {
	command, err := h.drain.handOff()
	if err != nil {
		h.log.Warn().Err(err).Msg("successor serves, but this process cannot hand off")
		return
	}
	h.mu.Lock()
	h.successor = link
	h.mu.Unlock()
	if command != "" {
		if err := link.SendCommand(command); err != nil { // the link is broken, so this process resumes
			h.log.Warn().Err(err).Str("call", command).Msg("successor not notified")
		}
	}
	h.yieldResources()
	h.log.Info().Msg("successor serves")
}

// handleSuccessorExit resumes serving after the successor has exited. A process that is stopping yields the shared
// resources instead, because it does not need them any more.
func (h *hotRestart) handleSuccessorExit() {
	h.proxy.ForgetSibling(balancer.Successor)
	h.removeSibling()
	h.setConnectionLimits(h.fullConnectionShare())
	h.mu.Lock()
	h.successor = nil
	h.mu.Unlock()
	h.drain.successorExited()
	if h.isStopping() {
		h.yieldResources()
	} else {
		h.reclaimResources()
	}
}

// yieldResources stops gossip and releases the state folder and the address of the fleet node, so that a successor can
// use the gossip socket, the folder and the address.
func (h *hotRestart) yieldResources() {
	h.proxy.YieldDatagrams()
	if h.node != nil {
		h.node.YieldResources()
	}
}

// reclaimResources reverts yieldResources.
func (h *hotRestart) reclaimResources() {
	h.proxy.ReclaimDatagrams()
	if h.node != nil {
		h.node.ReclaimResources()
	}
}

// servingSuccessor returns the link to the serving successor, or nil if there is none.
func (h *hotRestart) servingSuccessor() *hotrestart.Link {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.successor
}

// startExport lets the requests in flight be handed over, because this process is stopping. It returns false if there is
// no serving successor now.
func (h *hotRestart) startExport() bool {
	if h == nil {
		return false
	}
	close(h.stopping)
	return h.servingSuccessor() != nil
}

// exportRequests hands over the requests in flight to a successor, once it is serving and this process is stopping. It
// retries at intervals for requests that cannot be moved yet. It returns when ctx is done, or when nothing can be sent to
// the successor any more: the other requests stay in this process.
func (h *hotRestart) exportRequests(ctx context.Context, link *hotrestart.Link) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	migrator := func(request *proxy.MigratedRequest, client syscall.Conn, attempts map[int]syscall.Conn) error {
		err := link.SendRequest(request, requestSockets(client, attempts))
		if err != nil && !link.CanSend() {
			cancel()
		}
		return err
	}
	select {
	case <-h.stopping:
	case <-ctx.Done():
		return
	}
	ticker := time.NewTicker(siblingUpdateInterval)
	defer ticker.Stop()
	for {
		if h.servingSuccessor() == link {
			h.proxy.ExportAll(ctx, migrator)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// requestSockets returns the sockets of a request, as Link.SendRequest expects them.
func requestSockets(client syscall.Conn, attempts map[int]syscall.Conn) []hotrestart.Socket {
	sockets := []hotrestart.Socket{{Name: hotrestart.ClientSocket, Conn: client}}
	for n, conn := range attempts {
		sockets = append(sockets, hotrestart.Socket{Name: strconv.Itoa(n), Conn: conn})
	}
	return sockets
}

// errSuccessorEnded is returned for a command that a successor should have run, if it has exited.
var errSuccessorEnded = errors.New("the successor has ended")

// callSuccessor runs an operator's command in the serving successor, and returns its error or that of the call.
func (h *hotRestart) callSuccessor(command string) error {
	link := h.servingSuccessor()
	if link == nil {
		return errSuccessorEnded
	}
	return link.RunCommand(command)
}
