package transport

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// timeoutTolerance is the maximum deviation of a measured timeout, in seconds.
const timeoutTolerance = 0.5

// If the timeout restarted with every byte, clients that open hundreds of connections and send nothing or partial
// requests could occupy the connection slots.
func TestFirstRequestTimeoutCountsFromConnecting(t *testing.T) {
	server, _, _ := startServer(t, 4)
	began := time.Now()
	_, silentReader := connect(t, server)
	partial, partialReader := connect(t, server)
	for range 3 {
		io.WriteString(partial, "POST /a")
		time.Sleep(firstRequestTimeout / 4) // more bytes must not extend the timeout
	}
	_, err := silentReader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, clientResponse{408, "", true}, readResponse(t, partialReader))
	assert.InDelta(t, firstRequestTimeout.Seconds(), time.Since(began).Seconds(), timeoutTolerance)
}

// A request must not be served before the last byte of its body, and not be rejected if the body completes in time.
func TestBodyThatCompletesBeforeTheTimeoutIsServed(t *testing.T) {
	server, _, _ := startServer(t, 4)
	inTime, inTimeReader := connect(t, server)
	never, neverReader := connect(t, server)
	for _, conn := range []net.Conn{inTime, never} {
		io.WriteString(conn, strings.TrimSuffix(echoRequest, "b"))
	}
	time.Sleep(firstRequestTimeout - 100*time.Millisecond)
	response := roundTrip(t, inTime, inTimeReader, "b")
	assert.Equal(t, []any{200, "ab"}, []any{response.status, response.body})
	assert.Equal(t, clientResponse{408, "", true}, readResponse(t, neverReader))
}

// A client whose requests were all rejected must not occupy its slot for the regular idle timeout.
func TestConnectionWithoutAnAcceptedRequestHasAShortIdleTimeout(t *testing.T) {
	server, _, _ := startServer(t, 8)
	client, reader := connect(t, server)
	assert.Equal(t, clientResponse{404, "", false}, roundTrip(t, client, reader, "POST /none HTTP/1.1\r\n\r\n"))
	began := time.Now()
	_, err := reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.InDelta(t, firstRequestTimeout.Seconds(), time.Since(began).Seconds(), timeoutTolerance)
}
