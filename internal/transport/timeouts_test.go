package transport

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// timeoutTolerance in seconds is how far from its time a timeout may fire.
const timeoutTolerance = 0.5

// Clients that connect by hundreds, and send nothing or part of a request, are closed or rejected soon after they
// connected.
func TestFirstRequestTimeoutCountsFromConnecting(t *testing.T) {
	server, _, _ := startServer(t, 4)
	began := time.Now()
	_, silentReader := connect(t, server)
	partial, partialReader := connect(t, server)
	for range 3 {
		io.WriteString(partial, "POST /a")
		time.Sleep(firstRequestTimeout / 4) // more bytes don't extend the timeout
	}
	_, err := silentReader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, clientResponse{408, "", true}, readResponse(t, partialReader))
	assert.InDelta(t, firstRequestTimeout.Seconds(), time.Since(began).Seconds(), timeoutTolerance)
}

// A body is neither served before its last byte nor rejected though it came in time.
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

// A client whose requests were all rejected doesn't hold its slot as long as others do.
func TestConnectionWithoutAUsefulRequestHasAShortIdleTimeout(t *testing.T) {
	server, _, _ := startServer(t, 8)
	client, reader := connect(t, server)
	assert.Equal(t, clientResponse{404, "", false}, roundTrip(t, client, reader, "POST /none HTTP/1.1\r\n\r\n"))
	began := time.Now()
	_, err := reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.InDelta(t, firstRequestTimeout.Seconds(), time.Since(began).Seconds(), timeoutTolerance)
}
