package transport

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestServerServesRequestsInOrder(t *testing.T) {
	server, _, _ := startServer(t, 4)
	client, reader := connect(t, server)
	for _, request := range []string{
		echoRequest,
		"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		echoRequest,
	} {
		assert.Equal(t, clientResponse{200, "ab", false}, roundTrip(t, client, reader, request))
	}
	response := roundTrip(t, client, reader, "POST /none HTTP/1.1\r\nContent-Length: 2\r\n\r\nab")
	assert.Equal(t, clientResponse{404, "", false}, response)
	response = roundTrip(t, client, reader, "POST /api HTTP/1.1\r\nConnection: close\r\n\r\n")
	assert.True(t, response.closes)
}

func TestServerRejectsMalformedRequests(t *testing.T) {
	for _, tt := range []struct {
		name, request string
		status        int
	}{
		{"no request line", "NONSENSE\r\n\r\n", 400},
		{"malformed content length", "POST /api HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400},
		{"malformed chunk size", "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		{"large body", "POST /api HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 413},
		{"large body to an unknown path", "POST /none HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 404},
		{"large head", "POST /api HTTP/1.1\r\nA: " + strings.Repeat("a", 9000) + "\r\n\r\n", 431},
	} {
		t.Run(tt.name, func(t *testing.T) {
			server, _, _ := startServer(t, 4)
			client, reader := connect(t, server)
			assert.Equal(t, clientResponse{tt.status, "", true}, roundTrip(t, client, reader, tt.request))
		})
	}
}

func TestServerSendsContinue(t *testing.T) {
	server, _, _ := startServer(t, 4)
	client, reader := connect(t, server)
	io.WriteString(client, "POST /api HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	line, err := reader.ReadString('\n')
	assert.NoError(t, err)
	assert.Contains(t, line, "100 Continue")
	_, err = reader.ReadString('\n')
	assert.NoError(t, err)
	response := roundTrip(t, client, reader, "ab")
	assert.Equal(t, clientResponse{200, "ab", false}, response)
}

// A client that expects a 100 (Continue) withholds its body until then, so the server must not wait for the body.
func TestServerRejectsWithoutWaitingForAWithheldBody(t *testing.T) {
	server, _, _ := startServer(t, 4)
	client, reader := connect(t, server)
	response := roundTrip(t, client, reader, "POST /none HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	assert.Equal(t, clientResponse{404, "", true}, response)
}

func TestClientCloseCancelsItsRequest(t *testing.T) {
	server, handler, _ := startServer(t, 4)
	client, _ := connect(t, server)
	io.WriteString(client, "POST /wait HTTP/1.1\r\nContent-Length: 2\r\n\r\nab")
	client.Close()
	assert.ErrorIs(t, <-handler.canceled, errClientClosed)
}

// A client that has half-closed its connection sends no more data, but still waits for its response.
func TestHalfClosedClientGetsItsResponse(t *testing.T) {
	server, handler, _ := startServer(t, 4)
	handler.delay = 100 * time.Millisecond
	client, reader := connect(t, server)
	io.WriteString(client, "POST /later HTTP/1.1\r\nContent-Length: 2\r\n\r\nab")
	assert.NoError(t, client.(*net.TCPConn).CloseWrite())
	response := readFinalResponse(t, reader)
	assert.Equal(t, []any{200, "ab"}, []any{response.status, response.body})
}

// Interim responses must not be sent to an HTTP/1.0 client, so a half-close can't be distinguished from a close.
func TestHalfCloseByAnHTTP10ClientCancelsItsRequest(t *testing.T) {
	server, handler, _ := startServer(t, 4)
	client, _ := connect(t, server)
	io.WriteString(client, "POST /wait HTTP/1.0\r\nContent-Length: 2\r\n\r\nab")
	assert.NoError(t, client.(*net.TCPConn).CloseWrite())
	assert.ErrorIs(t, <-handler.canceled, errClientClosed)
}

// A client that sends requests without waiting for responses must leave processor time to others, so its requests are
// served at a limited rate.
func TestPipelinedRequestsAreServedAtALimitedRate(t *testing.T) {
	const requests = 400 // less than maxUnreadBytes in all, so that nothing else slows them down
	server, _, _ := startServer(t, 4)
	client, reader := connect(t, server)
	startedAt := time.Now()
	_, err := io.WriteString(client, strings.Repeat(echoRequest, requests))
	assert.NoError(t, err)
	for range requests {
		assert.Equal(t, clientResponse{200, "ab", false}, readResponse(t, reader))
	}
	const pausedShare = 0.95 // the first request, and one at the end of the read buffer, may not be paused
	assert.GreaterOrEqual(t, float64(time.Since(startedAt)), pausedShare*float64(requests*pipelinePause))
}
