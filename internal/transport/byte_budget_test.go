package transport

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/protocol"
)

// assertAvailable waits until the byte budget has want bytes available.
func assertAvailable(t *testing.T, server *Server, want int64) {
	t.Helper()
	assert.Eventually(t, func() bool { return server.bodyBudget.available.Load() == want }, testTimeout, time.Millisecond)
}

// Without a shared budget, bodies announced on many connections could exceed the memory limit together.
func TestBodiesInMemoryStayWithinTheByteBudget(t *testing.T) {
	server, _, _ := startServer(t, 8)
	server.bodyBudget.available.Store(protocol.MaxBodyBytes)
	large, largeReader := connect(t, server)
	io.WriteString(large, "POST /api HTTP/1.1\r\nContent-Length: 65536\r\n\r\n")
	assertAvailable(t, server, 0)
	client, reader := connect(t, server)
	assert.Equal(t, clientResponse{503, "", true}, roundTrip(t, client, reader, echoRequest))
	body := strings.Repeat("a", protocol.MaxBodyBytes)
	assert.Equal(t, clientResponse{200, body, false}, roundTrip(t, large, largeReader, body))
	assertAvailable(t, server, protocol.MaxBodyBytes)
}

// A chunked body reserves the maximum length while it is read. Unless the excess is released once the length is known,
// other requests are rejected while this one is served.
func TestChunkedBodyIsBudgetedByItsLengthOnceComplete(t *testing.T) {
	server, handler, _ := startServer(t, 8)
	server.bodyBudget.available.Store(protocol.MaxBodyBytes + 2)
	client, _ := connect(t, server)
	io.WriteString(client, "POST /wait HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
	assertAvailable(t, server, protocol.MaxBodyBytes)
	client.Close()
	<-handler.canceled //nolint:errcheck // only its end is waited for
	assertAvailable(t, server, protocol.MaxBodyBytes+2)
}
