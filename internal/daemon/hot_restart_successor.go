package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"

	"canvasroute/internal/balancer"
	"canvasroute/internal/hotrestart"
	"canvasroute/internal/protocol"
	"canvasroute/internal/proxy"
	"canvasroute/internal/transport"
)

// errNoClientSocket is logged for a request that was handed over without its client's connection.
var errNoClientSocket = errors.New("migrated request: no client socket")

// predecessorSocket returns the socket that the predecessor has handed over under a name, or nil if there is none.
func (h *hotRestart) predecessorSocket(name string) *os.File {
	if h == nil || h.predecessor == nil {
		return nil
	}
	return h.predecessor.Sockets[name]
}

// predecessorSnapshot returns the encoded proxy.Snapshot that the predecessor has handed over, or nil if there is no
// predecessor.
func (h *hotRestart) predecessorSnapshot() json.RawMessage {
	if h == nil || h.predecessor == nil {
		return nil
	}
	return h.predecessor.Snapshot
}

// disconnectPredecessor closes the link to the predecessor, which the predecessor handles as the exit of this process.
func (h *hotRestart) disconnectPredecessor() {
	if h != nil && h.predecessor != nil {
		h.predecessor.Link.Close()
	}
}

// handlePredecessor synchronizes the request IDs with the predecessor, notifies it that this process is serving, and
// handles its messages until it exits. Afterwards this process may use all of the resource limits.
func (h *hotRestart) handlePredecessor(ctx context.Context) {
	link := h.predecessor.Link
	defer link.Close()
	defer context.AfterFunc(ctx, link.Close)()
	h.addSibling()
	h.setConnectionLimits(h.fullConnectionShare().half()) // until the predecessor's first update
	stop := h.sendUpdates(ctx, link, func() proxy.SiblingUpdate { return h.proxy.NextSiblingUpdate(balancer.Predecessor) },
		func() {}) // a predecessor that does not read may still hand over requests
	defer stop()
	commands := make(chan hotrestart.Command, maxPendingCommands)
	defer close(commands)
	go h.runForwardedCommands(link, commands)
	go h.startServing(link)
	err := link.Receive(hotrestart.Handler{
		SiblingUpdate: h.receivePredecessorUpdate,
		Request:       h.importRequest,
		Claim:         h.proxy.GrantID,
		Command: func(command hotrestart.Command) {
			select {
			case commands <- command:
			default: // the predecessor reports to the operator that the command was not confirmed
				h.log.Warn().Str("call", command.Name).Err(errTooManyCommands).Msg("forwarded operator command failed")
			}
		},
	})
	h.proxy.ForgetSibling(balancer.Predecessor)
	h.removeSibling()
	h.setConnectionLimits(h.fullConnectionShare())
	h.log.Info().AnErr("cause", err).Msg("predecessor ended")
}

// startServing lets this process accept connections, as soon as the IDs of the predecessor's requests are known, and
// notifies the predecessor. If the predecessor does not send the IDs, because it has exited or is an earlier release,
// this process serves without them.
func (h *hotRestart) startServing(link *hotrestart.Link) {
	if err := link.SyncRequestIDs(h.proxy.AddSiblingIDs); err != nil {
		h.log.Warn().Err(err).Msg("request IDs of the predecessor not known")
	}
	close(h.mayAccept)
	if err := link.SendServing(); err != nil {
		h.log.Warn().Err(err).Msg("predecessor not notified")
	}
}

// awaitMayAccept waits until this process may accept connections, or ctx ends.
func (h *hotRestart) awaitMayAccept(ctx context.Context) {
	if h == nil || h.predecessor == nil {
		return
	}
	select {
	case <-h.mayAccept:
	case <-ctx.Done():
	}
}

// receivePredecessorUpdate applies an update from the predecessor, and sets this process's connection limits to the
// connections that the predecessor does not need.
func (h *hotRestart) receivePredecessorUpdate(text json.RawMessage) {
	update, ok := h.parseSiblingUpdate(text)
	if !ok {
		return
	}
	h.proxy.ReceiveSiblingUpdate(balancer.Predecessor, update)
	all := h.fullConnectionShare()
	h.setConnectionLimits(connectionShare{
		clients: all.clients - update.ClientConnections,
		workers: all.workers - update.WorkerConnections,
	})
}

// maxPendingCommands is how many forwarded commands may wait. The predecessor forwards one at a time.
const maxPendingCommands = 8

// errTooManyCommands is logged for a forwarded command that is dropped.
var errTooManyCommands = errors.New("too many forwarded commands")

// runForwardedCommands runs the LEAVE and JOIN commands that the predecessor forwards because this process serves in its
// place, and reports their results. It has a goroutine of its own, because a command may wait for the disk, and the
// requests that the predecessor hands over must not wait for it.
func (h *hotRestart) runForwardedCommands(link *hotrestart.Link, commands <-chan hotrestart.Command) {
	for command := range commands {
		h.log.Info().Str("call", command.Name).Msg("operator command forwarded by predecessor")
		err := h.drain.run(command.Name)
		if err != nil {
			h.log.Warn().Err(err).Msg("forwarded operator command failed")
		}
		if err := link.SendResult(command, err); err != nil {
			h.log.Warn().Err(err).Msg("predecessor not notified")
		}
	}
}

// notifyPredecessor tells a predecessor that this process has run an operator's command. The predecessor resumes with
// the same drain if this process exits first. An error means that the predecessor has exited.
func (h *hotRestart) notifyPredecessor(command string) {
	if h == nil || h.predecessor == nil {
		return
	}
	if err := h.predecessor.Link.SendCommand(command); err != nil {
		h.log.Debug().Err(err).Msg("predecessor not notified")
	}
}

// importRequest continues a request that the predecessor has handed over. sockets holds the client's connection, and
// the connections to workers under the numbers of their attempts. A request that cannot be continued gets status 502,
// because a worker may have executed an attempt. If the request cannot be parsed, the client's connection is closed without
// a response.
func (h *hotRestart) importRequest(text json.RawMessage, sockets map[string]*os.File) {
	client, attempts := h.importConnections(sockets)
	request, err := h.proxy.Import(text, attempts)
	if err == nil && client == nil {
		err = errNoClientSocket
	}
	if err != nil {
		h.log.Warn().Err(err).Msg("request not imported")
		for _, conn := range attempts {
			conn.Close()
		}
		if client == nil {
			return
		}
		if request.MigratedRequest == nil {
			client.Close()
			return
		}
		request.Finish = badGateway
	}
	migrated := transport.MigratedClient{
		Conn:           client,
		Pipelined:      request.Pipelined,
		CloseRequested: request.CloseRequested,
		AcceptsInterim: request.AcceptsInterim,
	}
	h.server.Import(migrated, request.Finish)
}

// badGateway returns the response to a request that cannot be continued.
func badGateway(context.Context) *protocol.Response {
	return &protocol.Response{Status: http.StatusBadGateway}
}

// importConnections converts the sockets of a request to connections: the client's, and those of the attempts by their
// numbers. A socket that cannot be converted is logged and skipped; if it is the client's, client is nil.
// importConnections closes the files.
func (h *hotRestart) importConnections(sockets map[string]*os.File) (client net.Conn, attempts map[int]net.Conn) {
	attempts = map[int]net.Conn{}
	for name, file := range sockets {
		conn, err := net.FileConn(file)
		file.Close()
		if err != nil {
			h.log.Warn().Err(err).Str("socket", name).Msg("socket not imported")
			continue
		}
		if n, err := strconv.Atoi(name); err == nil {
			attempts[n] = conn
		} else {
			client = conn
		}
	}
	return client, attempts
}
