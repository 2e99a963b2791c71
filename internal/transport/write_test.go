package transport

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestSendOnReusedSendsTheWholeMessage(t *testing.T) {
	conn, peer, _ := connPair(t)
	assert.NoError(t, conn.SendOnReused(time.Second, []byte(echoRequest)))
	received := make([]byte, len(echoRequest))
	_, err := io.ReadFull(peer, received)
	assert.NoError(t, err)
	assert.Equal(t, echoRequest, string(received))
	assert.True(t, conn.Reused())
	assert.True(t, conn.NothingReceived())
}

// A late second response to the previous message, or a close, is received just before the last byte of a message is
// sent.
func TestDataBeforeAMessagesLastByteIsUnsolicited(t *testing.T) {
	for _, tt := range []struct {
		name       string
		peerAction func(peer *net.TCPConn) error
	}{
		{"late second response", func(peer *net.TCPConn) error {
			_, err := io.WriteString(peer, "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
			return err
		}},
		{"half-close", (*net.TCPConn).CloseWrite},
	} {
		t.Run(tt.name, func(t *testing.T) {
			conn, peer, _ := connPair(t)
			received := make(chan error, 1)
			conn.testHooks.beforeLastByte = func() {
				part := make([]byte, len(echoRequest)-1)
				_, err := io.ReadFull(peer, part)
				received <- err
				assert.NoError(t, tt.peerAction(peer))
				assert.Eventually(t, conn.readable, testTimeout, time.Millisecond)
			}
			assert.ErrorIs(t, conn.SendOnReused(time.Second, []byte(echoRequest)), ErrUnsolicitedData)
			assert.NoError(t, <-received)
			conn.CloseFor(Malformed, nil)
			rest, _ := io.ReadAll(peer)
			assert.Empty(t, rest, "the last byte of the message is not sent")
		})
	}
}
