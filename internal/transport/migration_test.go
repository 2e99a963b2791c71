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

	"canvasroute/internal/protocol"
)

// detachingHandler detaches the connection of each request to /migrate.
type detachingHandler struct {
	echoHandler
	detached chan []byte // receives the pipelined data of each
}

func (d *detachingHandler) Serve(ctx context.Context, head *protocol.Head, body []byte, received time.Time,
) *protocol.Response {
	if head.Path() != "/migrate" {
		return d.echoHandler.Serve(ctx, head, body, received)
	}
	client, err := Detach(ctx)
	if err != nil {
		return &protocol.Response{Status: 500}
	}
	d.detached <- client.Pipelined
	return protocol.Migrated
}

func TestDetachedConnectionGivesItsPipelinedData(t *testing.T) {
	handler := &detachingHandler{detached: make(chan []byte, 1)}
	s := newTestServer(listenLoopback(t), 4, handler)
	stop, ended := runServer(s)
	c, _ := connect(t, s)
	io.WriteString(c, "POST /migrate HTTP/1.1\r\nContent-Length: 0\r\n\r\n"+echoRequest)
	assert.Equal(t, echoRequest, string(receive(t, handler.detached)))
	assert.Eventually(t, func() bool { return s.OpenConnections() == 0 }, testTimeout, time.Millisecond)
	stop()
	assert.NoError(t, receive(t, ended))
}

func TestContextOfNoRequestCannotBeDetached(t *testing.T) {
	_, err := Detach(context.Background())
	assert.ErrorIs(t, err, ErrNoSocket)
}

func TestImportedClientGetsItsResponseAndIsServedOn(t *testing.T) {
	s, _, _ := startServer(t, 4)
	c, peer, _ := connPair(t)
	s.Import(MigratedClient{Conn: c.nc, Pipelined: []byte(echoRequest), AcceptsInterim: true},
		func(context.Context) *protocol.Response {
			return &protocol.Response{Status: 200, Body: []byte("migrated")}
		})
	assert.NoError(t, peer.SetReadDeadline(time.Now().Add(testTimeout)))
	r := bufio.NewReader(peer)
	assert.Equal(t, clientResponse{200, "migrated", false}, readResponse(t, r))
	assert.Equal(t, clientResponse{200, "ab", false}, readResponse(t, r))
	assert.Equal(t, 1, s.OpenConnections())
}

func TestImportedClientThatAnnouncedItsLastRequestIsClosed(t *testing.T) {
	s, _, _ := startServer(t, 4)
	c, peer, _ := connPair(t)
	s.Import(MigratedClient{Conn: c.nc, CloseRequested: true, AcceptsInterim: true},
		func(context.Context) *protocol.Response { return &protocol.Response{Status: 200} })
	assert.NoError(t, peer.SetReadDeadline(time.Now().Add(testTimeout)))
	r := bufio.NewReader(peer)
	assert.Equal(t, clientResponse{200, "", true}, readResponse(t, r))
	_, err := r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Eventually(t, func() bool { return s.OpenConnections() == 0 }, testTimeout, time.Millisecond)
}

func TestImportedConnectionTakesASlotWhereOneIsFree(t *testing.T) {
	addr, _ := startWorker(t)
	p := NewPool(1, time.Minute, zerolog.Nop())
	imported := make([]*Conn, 2)
	for n := range imported {
		nc, err := net.Dial("tcp", addr)
		assert.NoError(t, err)
		imported[n] = p.Import(nc, addr, []byte("received"))
		assert.True(t, imported[n].Reused())
		assert.Equal(t, 1, p.OpenConnections())
	}
	imported[1].CloseFor(Stopping, nil)
	assert.Equal(t, 1, p.OpenConnections(), "it had no slot")
	imported[0].CloseFor(Stopping, nil)
	assert.Equal(t, 0, p.OpenConnections())
}
