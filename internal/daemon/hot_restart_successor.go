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

// errNoClientSocket is returned for a request that was handed over without its client's connection.
var errNoClientSocket = errors.New("migrated request: no client socket")

// socket returns a socket that the predecessor has handed over, nil if it has not.
func (h *hotRestart) socket(name string) *os.File {
	if h == nil || h.predecessor == nil {
		return nil
	}
	return h.predecessor.Sockets[name]
}

// snapshot returns the proxy.Snapshot that the predecessor has handed over, nil without a predecessor.
func (h *hotRestart) snapshot() json.RawMessage {
	if h == nil || h.predecessor == nil {
		return nil
	}
	return h.predecessor.Snapshot
}

// disconnect closes the link to the predecessor, which takes it for the end of this process.
func (h *hotRestart) disconnect() {
	if h != nil && h.predecessor != nil {
		h.predecessor.Link.Close()
	}
}

// followPredecessor notifies the predecessor that this process serves, and receives what it hands over until it has
// ended. By then this process has all of the resource limits.
func (h *hotRestart) followPredecessor(ctx context.Context) {
	link := h.predecessor.Link
	h.addSibling()
	h.setConnectionLimits(h.allConnections().half()) // until the predecessor's first update
	stop := h.sendUpdates(ctx, link, func() proxy.SiblingUpdate { return h.proxy.SiblingUpdate(balancer.Predecessor) })
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
	h.setConnectionLimits(h.allConnections())
	h.log.Info().AnErr("cause", err).Msg("predecessor ended")
}

// receivePredecessorUpdate counts what the predecessor has in flight, and takes the connections that it does not need.
func (h *hotRestart) receivePredecessorUpdate(text json.RawMessage) {
	update, ok := h.parseSiblingUpdate(text)
	if !ok {
		return
	}
	h.proxy.ReceiveSiblingUpdate(balancer.Predecessor, update)
	all := h.allConnections()
	h.setConnectionLimits(connectionShare{
		clients: all.clients - update.ClientConnections,
		workers: all.workers - update.WorkerConnections,
	})
}

// runForwardedCommand runs LEAVE or JOIN that the predecessor has received, as this process serves instead of it. Other
// than by adminHandler, the drain and its end are not persisted here, even with LB_FLEET.
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

// importRequest continues a request that the predecessor has handed over. sockets has the client's connection and, by the
// numbers of the attempts, those to workers. A request that cannot be continued is answered 502, as a worker may have
// executed an attempt.
func (h *hotRestart) importRequest(text json.RawMessage, sockets map[string]*os.File) {
	client, attempts := h.openConnections(sockets)
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

// badGateway is the answer to a request that cannot be continued.
func badGateway(context.Context) *protocol.Response {
	return &protocol.Response{Status: http.StatusBadGateway}
}

// openConnections returns the connections of a request's sockets: the client's, and those of the attempts by their
// numbers. One that cannot be opened is logged and left out; the client's is then nil. It closes the files.
func (h *hotRestart) openConnections(sockets map[string]*os.File) (client net.Conn, attempts map[int]net.Conn) {
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
