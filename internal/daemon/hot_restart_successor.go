package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

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

// handlePredecessor notifies the predecessor that this process is serving, and handles its messages until it exits.
// Afterwards this process may use all of the resource limits.
func (h *hotRestart) handlePredecessor(ctx context.Context) {
	link := h.predecessor.Link
	h.addSibling()
	h.setConnectionLimits(h.fullConnectionShare().half()) // until the predecessor's first update
	stop := h.sendUpdates(ctx, link, func() proxy.SiblingUpdate { return h.proxy.NextSiblingUpdate(balancer.Predecessor) })
	defer stop()
	if err := link.SendServing(); err != nil {
		h.log.Warn().Err(err).Msg("predecessor not notified")
	}
	err := link.Receive(hotrestart.Handler{
		SiblingUpdate: h.receivePredecessorUpdate,
		Request:       h.importRequest,
		Command:       h.runForwardedCommand,
	})
	h.proxy.ForgetSibling(balancer.Predecessor)
	h.removeSibling()
	h.setConnectionLimits(h.fullConnectionShare())
	h.log.Info().AnErr("cause", err).Msg("predecessor ended")
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

// runForwardedCommand runs LEAVE or JOIN, which the predecessor forwards because this process serves in its place.
// Unlike adminHandler, it does not persist the drain or its end, even with LB_FLEET.
func (h *hotRestart) runForwardedCommand(command string) {
	h.log.Info().Str("call", command).Msg("operator command forwarded by predecessor")
	now := time.Now()
	if command == commandLeave {
		h.state.Drain(now)
		return
	}
	if err := h.state.Rejoin(now); err != nil {
		h.log.Warn().Err(err).Msg("forwarded operator command failed")
	}
}

// importRequest continues a request that the predecessor has handed over. sockets holds the client's connection, and
// the connections to workers under the numbers of their attempts. A request that cannot be continued gets status 502,
// because a worker may have executed an attempt. There is no response if the request cannot be parsed or the client's
// connection is missing.
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
		if client == nil || request.MigratedRequest == nil {
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
