package transport

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// waitForState waits until the server's only connection is in a state.
func waitForState(t *testing.T, s *Server, want clientState) {
	t.Helper()
	assert.Eventually(t, func() bool {
		s.clients.mu.Lock()
		defer s.clients.mu.Unlock()
		for _, slot := range s.clients.slots {
			return slot.state == want
		}
		return false
	}, testTimeout, time.Millisecond)
}

func TestConnectionOverTheLimitIsRejected(t *testing.T) {
	s, handler, _ := startServer(t, 1)
	busy, _ := connect(t, s)
	io.WriteString(busy, "POST /wait HTTP/1.1\r\n\r\n")
	waitForState(t, s, stateServing)
	c, r := connect(t, s)
	assert.Equal(t, clientResponse{503, "", true}, roundTrip(t, c, r, echoRequest))
	busy.Close()
	<-handler.canceled //nolint:errcheck // only its end is waited for
}

func TestIdleConnectionIsEvicted(t *testing.T) {
	s, _, _ := startServer(t, 1)
	idle, idleReader := connect(t, s)
	roundTrip(t, idle, idleReader, echoRequest)
	c, r := connect(t, s)
	assert.Equal(t, 200, roundTrip(t, c, r, echoRequest).status)
	_, err := idleReader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

func TestConnectionWithAPartialRequestIsEvicted(t *testing.T) {
	s, _, _ := startServer(t, 1)
	slow, slowReader := connect(t, s)
	io.WriteString(slow, "POST /a")
	waitForState(t, s, stateReading)
	c, r := connect(t, s)
	assert.Equal(t, 200, roundTrip(t, c, r, echoRequest).status)
	assert.Equal(t, clientResponse{503, "", true}, readResponse(t, slowReader))
}

// Connections that were useful stay in a flood of silent ones, and a new client gets in.
func TestFloodOfSilentConnectionsKeepsNoClientOut(t *testing.T) {
	s, _, _ := startServer(t, 8)
	useful, usefulReader := connect(t, s)
	roundTrip(t, useful, usefulReader, echoRequest)
	for range 60 {
		connect(t, s)
	}
	began := time.Now()
	c, r := connect(t, s)
	assert.Equal(t, 200, roundTrip(t, c, r, echoRequest).status)
	assert.Less(t, time.Since(began), firstRequestTimeout/2)
	assert.Equal(t, 200, roundTrip(t, useful, usefulReader, echoRequest).status)
}
