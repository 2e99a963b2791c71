package transport

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// waitForState waits until the server's only connection is in state want.
func waitForState(t *testing.T, server *Server, want clientState) {
	t.Helper()
	assert.Eventually(t, func() bool {
		server.clients.mu.Lock()
		defer server.clients.mu.Unlock()
		for _, slot := range server.clients.slots {
			return slot.state == want
		}
		return false
	}, testTimeout, time.Millisecond)
}

func TestConnectionOverTheLimitIsRejected(t *testing.T) {
	server, handler, _ := startServer(t, 1)
	busy, _ := connect(t, server)
	io.WriteString(busy, "POST /wait HTTP/1.1\r\n\r\n")
	waitForState(t, server, stateServing)
	client, reader := connect(t, server)
	assert.Equal(t, clientResponse{503, "", true}, roundTrip(t, client, reader, echoRequest))
	busy.Close()
	<-handler.canceled //nolint:errcheck // only its end is waited for
}

func TestIdleConnectionIsEvicted(t *testing.T) {
	server, _, _ := startServer(t, 1)
	idle, idleReader := connect(t, server)
	assert.Equal(t, 200, roundTrip(t, idle, idleReader, echoRequest).status)
	waitForState(t, server, stateIdle) // the client may have its response before the server changes the state
	client, reader := connect(t, server)
	assert.Equal(t, 200, roundTrip(t, client, reader, echoRequest).status)
	_, err := idleReader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

func TestConnectionWithAPartialRequestIsEvicted(t *testing.T) {
	server, _, _ := startServer(t, 1)
	slow, slowReader := connect(t, server)
	io.WriteString(slow, "POST /a")
	waitForState(t, server, stateReading)
	client, reader := connect(t, server)
	assert.Equal(t, 200, roundTrip(t, client, reader, echoRequest).status)
	assert.Equal(t, clientResponse{503, "", true}, readResponse(t, slowReader))
}

// A flood of silent connections must neither evict a useful connection nor block a new client.
func TestFloodOfSilentConnectionsDoesNotBlockClients(t *testing.T) {
	server, _, _ := startServer(t, 8)
	useful, usefulReader := connect(t, server)
	roundTrip(t, useful, usefulReader, echoRequest)
	for range 60 {
		connect(t, server)
	}
	began := time.Now()
	client, reader := connect(t, server)
	assert.Equal(t, 200, roundTrip(t, client, reader, echoRequest).status)
	assert.Less(t, time.Since(began), firstRequestTimeout/2)
	assert.Equal(t, 200, roundTrip(t, useful, usefulReader, echoRequest).status)
}
