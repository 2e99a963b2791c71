package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/peertest"
	"canvasroute/internal/protocol"
)

// detachingHandler detaches the connection of each request to /migrate.
type detachingHandler struct {
	echoHandler
	detached chan []byte // receives the pipelined data of each detached connection
}

func (d *detachingHandler) Serve(ctx context.Context, head *protocol.Head, body []byte, receivedAt time.Time,
) *protocol.Response {
	if head.Path() != "/migrate" {
		return d.echoHandler.Serve(ctx, head, body, receivedAt)
	}
	client, err := Detach(ctx)
	if err != nil {
		return &protocol.Response{Status: 500}
	}
	d.detached <- client.Pipelined
	return protocol.Migrated
}

func TestDetachReturnsPipelinedData(t *testing.T) {
	handler := &detachingHandler{detached: make(chan []byte, 1)}
	server := newTestServer(listenLoopback(t), 4, handler)
	stop, ended := runServer(server)
	client, _ := connect(t, server)
	io.WriteString(client, "POST /migrate HTTP/1.1\r\nContent-Length: 0\r\n\r\n"+echoRequest)
	assert.Equal(t, echoRequest, string(peertest.Receive(t, handler.detached)))
	assert.Eventually(t, func() bool { return server.OpenConnections() == 0 }, testTimeout, time.Millisecond)
	stop()
	assert.NoError(t, peertest.Receive(t, ended))
}

func TestDetachFailsWithoutAClientConnection(t *testing.T) {
	_, err := Detach(context.Background())
	assert.ErrorIs(t, err, ErrNoSocket)
}

func TestImportedClientGetsItsResponseAndCanSendMoreRequests(t *testing.T) {
	server, _, _ := startServer(t, 4)
	conn, peer, _ := connPair(t)
	server.Import(MigratedClient{Conn: conn.nc, Pipelined: []byte(echoRequest), AcceptsInterim: true},
		func(context.Context) *protocol.Response {
			return &protocol.Response{Status: 200, Body: []byte("migrated")}
		})
	assert.NoError(t, peer.SetReadDeadline(time.Now().Add(testTimeout)))
	reader := bufio.NewReader(peer)
	assert.Equal(t, clientResponse{200, "migrated", false}, readResponse(t, reader))
	assert.Equal(t, clientResponse{200, "ab", false}, readResponse(t, reader))
	assert.Equal(t, 1, server.OpenConnections())
}

func TestImportedClientThatAnnouncedItsLastRequestIsClosed(t *testing.T) {
	server, _, _ := startServer(t, 4)
	conn, peer, _ := connPair(t)
	server.Import(MigratedClient{Conn: conn.nc, CloseRequested: true, AcceptsInterim: true},
		func(context.Context) *protocol.Response { return &protocol.Response{Status: 200} })
	assert.NoError(t, peer.SetReadDeadline(time.Now().Add(testTimeout)))
	reader := bufio.NewReader(peer)
	assert.Equal(t, clientResponse{200, "", true}, readResponse(t, reader))
	_, err := reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Eventually(t, func() bool { return server.OpenConnections() == 0 }, testTimeout, time.Millisecond)
}

// importedAfterReset returns a connection made from a socket after a reset from the peer was received on it. Such a
// socket has no remote address any more.
func importedAfterReset(t *testing.T) net.Conn {
	t.Helper()
	conn, peer, _ := connPair(t)
	socket := conn.nc.(*net.TCPConn)
	assert.NoError(t, peer.SetLinger(0))
	assert.NoError(t, peer.Close())
	isReset := func() bool {
		state, _ := tcpState(socket)
		return state == tcpClosed
	}
	assert.Eventually(t, isReset, testTimeout, time.Millisecond)
	file, err := socket.File()
	assert.NoError(t, err)
	defer file.Close()
	imported, err := net.FileConn(file)
	assert.NoError(t, err)
	return imported
}

// A client that resets its connection during a hot restart must not end the successor (panic on a nil remote address).
func TestImportedClientThatHasResetItsConnectionIsReleased(t *testing.T) {
	server, _, _ := startServer(t, 4)
	canceled := make(chan error, 1)
	server.Import(MigratedClient{Conn: importedAfterReset(t), AcceptsInterim: true},
		func(ctx context.Context) *protocol.Response {
			<-ctx.Done()
			canceled <- context.Cause(ctx)
			return nil
		})
	assert.ErrorIs(t, peertest.Receive(t, canceled), errClientClosed)
	assert.Eventually(t, func() bool { return server.OpenConnections() == 0 }, testTimeout, time.Millisecond)
}

// A client may close its connection while no process watches it, because its request waits in the link of a hot restart.
// The request must not be sent to a worker, so its context must be canceled when it is continued.
func TestRequestOfAClientThatClosedBeforeTheImportIsCanceled(t *testing.T) {
	server, _, _ := startServer(t, 4)
	conn, peer, _ := connPair(t)
	io.WriteString(peer, "x") // the request, which the predecessor has read
	_, err := conn.nc.Read(make([]byte, 1))
	assert.NoError(t, err)
	assert.NoError(t, peer.Close())
	time.Sleep(2 * queuedThreshold)
	causes := make(chan error, 1)
	server.Import(MigratedClient{Conn: conn.nc, AcceptsInterim: true}, func(ctx context.Context) *protocol.Response {
		causes <- context.Cause(ctx)
		return nil
	})
	assert.ErrorIs(t, peertest.Receive(t, causes), errClientClosed)
	assert.Eventually(t, func() bool { return server.OpenConnections() == 0 }, testTimeout, time.Millisecond)
}

// A client that resets its connection while it waits in the listener's queue must not end the process either.
func TestConnectionResetBeforeAcceptIsReleased(t *testing.T) {
	server := newTestServer(listenLoopback(t), 4, newEchoHandler())
	client, _ := connect(t, server)
	assert.NoError(t, client.(*net.TCPConn).SetLinger(0))
	assert.NoError(t, client.Close())
	stop, ended := runServer(server)
	next, reader := connect(t, server)
	assert.Equal(t, 200, roundTrip(t, next, reader, echoRequest).status)
	next.Close()
	assert.Eventually(t, func() bool { return server.OpenConnections() == 0 }, testTimeout, time.Millisecond)
	stop()
	assert.NoError(t, peertest.Receive(t, ended))
}

// A worker that resets its connection during a hot restart must not end the successor.
func TestImportedWorkerConnectionThatWasResetFails(t *testing.T) {
	pool := NewPool(1, time.Minute, zerolog.Nop())
	conn := pool.Import(importedAfterReset(t), "w", nil)
	_, err := conn.ReadResponseHead()
	assert.Error(t, err)
	conn.CloseFor(CloseReasonOf(err), err)
	assert.Equal(t, 0, pool.OpenConnections())
}

func TestImportedConnectionTakesASlotIfOneIsFree(t *testing.T) {
	addr, _ := startWorker(t)
	pool := NewPool(1, time.Minute, zerolog.Nop())
	imported := make([]*Conn, 2)
	for n := range imported {
		nc, err := net.Dial("tcp", addr)
		assert.NoError(t, err)
		imported[n] = pool.Import(nc, addr, []byte("received"))
		assert.True(t, imported[n].Reused())
		assert.Equal(t, 1, pool.OpenConnections())
	}
	imported[1].CloseFor(Stopping, nil)
	assert.Equal(t, 1, pool.OpenConnections(), "the second import had no slot")
	imported[0].CloseFor(Stopping, nil)
	assert.Equal(t, 0, pool.OpenConnections())
}
