package transport

import (
	"context"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/protocol"
)

func TestResponseThatArrivesByteByByteIsRead(t *testing.T) {
	conn, peer, _ := connPair(t)
	go func() {
		text := "HTTP/1.1 103 Early\r\n\r\n" +
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
		for n := range len(text) {
			io.WriteString(peer, text[n:n+1])
		}
	}()
	conn.SetReadTimeout(testTimeout)
	head, err := conn.ReadResponseHead()
	assert.NoError(t, err)
	assert.Equal(t, 200, head.Status)
	body, err := protocol.ResponseBody(&head)
	assert.NoError(t, err)
	content, err := conn.ReadBody(body, 10)
	assert.NoError(t, err)
	assert.Equal(t, "abc", string(content))
}

func TestBodyOverTheLimitIsTooLarge(t *testing.T) {
	conn, peer, _ := connPair(t)
	go io.WriteString(peer,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n4\r\nabcd\r\n0\r\n\r\n")
	conn.SetReadTimeout(testTimeout)
	head, err := conn.ReadResponseHead()
	assert.NoError(t, err)
	body, err := protocol.ResponseBody(&head)
	assert.NoError(t, err)
	_, err = conn.ReadBody(body, 6)
	assert.ErrorIs(t, err, protocol.ErrTooLarge)
}

func TestCloseWithinAMessageIsDistinguishedFromCloseBetweenMessages(t *testing.T) {
	for _, tt := range []struct {
		name, received string
		want           error
	}{
		{"between messages", "", io.EOF},
		{"within a head", "HTTP/1.1 20", ErrTruncated},
	} {
		t.Run(tt.name, func(t *testing.T) {
			conn, peer, _ := connPair(t)
			io.WriteString(peer, tt.received)
			peer.Close()
			_, err := conn.ReadResponseHead()
			assert.ErrorIs(t, err, tt.want)
		})
	}
}

func TestCloseReasonOfErrors(t *testing.T) {
	for _, tt := range []struct {
		err  error
		want CloseReason
	}{
		{io.EOF, PeerClosed},
		{ErrTruncated, PeerAborted},
		{protocol.ErrMalformed, Malformed},
		{context.DeadlineExceeded, TimedOut},
	} {
		t.Run(tt.err.Error(), func(t *testing.T) {
			assert.Equal(t, tt.want, CloseReasonOf(tt.err))
		})
	}
}
