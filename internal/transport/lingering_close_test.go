package transport

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/peertest"
	"canvasroute/internal/protocol"
)

// lastRequest is a gatedRequest with the header Connection: close.
var lastRequest = strings.Replace(gatedRequest, "\r\n", "\r\nConnection: close\r\n", 1)

func TestResponseIsNotResetByABodyThatIsTooLarge(t *testing.T) {
	for _, tt := range []struct {
		path   string
		status int
	}{
		{"/api", 413},
		{"/none", 404},
	} {
		t.Run(tt.path, func(t *testing.T) {
			server, _, _ := startServer(t, 4)
			client, reader := connect(t, server)
			body := strings.Repeat("a", 100000)
			go io.WriteString(client, "POST "+tt.path+" HTTP/1.1\r\nContent-Length: 100000\r\n\r\n"+body)
			time.Sleep(20 * time.Millisecond)
			assert.Equal(t, tt.status, readResponse(t, reader).status)
		})
	}
}

func TestResponseIsNotResetByPipelinedRequests(t *testing.T) {
	server, handler, _, _ := startGatedServer(t)
	client, reader := connect(t, server)
	io.WriteString(client, lastRequest+strings.Repeat(echoRequest, 500))
	served := peertest.Receive(t, handler.requested)
	assert.Eventually(t, served.hasUnreadData, testTimeout, time.Millisecond)
	body := bytes.Repeat([]byte("r"), 256<<10)
	handler.release <- &protocol.Response{Status: 200, Body: body}
	assert.Eventually(t, func() bool { return served.stream.bytesWritten.Load() > int64(len(body)) }, testTimeout,
		time.Millisecond) // the whole response was written, and the connection is about to be closed
	assert.Len(t, readResponse(t, reader).body, len(body))
}

// Data received after the half-close must be discarded, because a request served then could not get a response.
func TestRequestAfterTheHalfCloseIsNotServed(t *testing.T) {
	server, handler, _, _ := startGatedServer(t)
	client, reader := connect(t, server)
	text := lastRequest + gatedRequest[:1]
	io.WriteString(client, text)
	served := peertest.Receive(t, handler.requested)
	assert.Eventually(t, func() bool { return served.stream.bytesRead.Load() == int64(len(text)) }, testTimeout,
		time.Millisecond)
	handler.release <- &protocol.Response{Status: 200}
	assert.Equal(t, clientResponse{200, "", true}, readResponse(t, reader))
	_, err := reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF, "the server half-closed the connection")
	io.WriteString(client, gatedRequest[1:])
	assert.Eventually(t, func() bool { return server.OpenConnections() == 0 }, testTimeout, time.Millisecond)
	assert.Empty(t, handler.requested)
}
