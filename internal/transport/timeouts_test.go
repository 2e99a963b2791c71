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
	s, _, _ := startServer(t, 4)
	began := time.Now()
	_, silentReader := connect(t, s)
	partial, partialReader := connect(t, s)
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
	s, _, _ := startServer(t, 4)
	inTime, inTimeReader := connect(t, s)
	never, neverReader := connect(t, s)
	for _, c := range []net.Conn{inTime, never} {
		io.WriteString(c, strings.TrimSuffix(echoRequest, "b"))
	}
	time.Sleep(firstRequestTimeout - 100*time.Millisecond)
	response := roundTrip(t, inTime, inTimeReader, "b")
	assert.Equal(t, []any{200, "ab"}, []any{response.status, response.body})
	assert.Equal(t, clientResponse{408, "", true}, readResponse(t, neverReader))
}

// A client whose requests were all rejected doesn't hold its slot as long as others do.
func TestConnectionWithoutAUsefulRequestHasAShortIdleTimeout(t *testing.T) {
	s, _, _ := startServer(t, 8)
	c, r := connect(t, s)
	assert.Equal(t, clientResponse{404, "", false}, roundTrip(t, c, r, "POST /none HTTP/1.1\r\n\r\n"))
	began := time.Now()
	_, err := r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.InDelta(t, firstRequestTimeout.Seconds(), time.Since(began).Seconds(), timeoutTolerance)
}
