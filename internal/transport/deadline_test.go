package transport

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The timeout may be used up by preceding steps before the deadline is set. SetReadTimeout then gets a negative
// duration.
func TestNegativeReadTimeoutExpiresImmediately(t *testing.T) {
	conn, _, _ := connPair(t)
	conn.SetReadTimeout(-time.Second)
	_, err := conn.ReadResponseHead()
	assert.Equal(t, TimedOut, CloseReasonOf(err))
}

func TestInterruptEndsARead(t *testing.T) {
	conn, _, _ := connPair(t)
	time.AfterFunc(10*time.Millisecond, conn.Interrupt)
	_, err := conn.ReadResponseHead()
	assert.Equal(t, TimedOut, CloseReasonOf(err))
}

func TestLaterDeadlineDoesNotUndoInterrupt(t *testing.T) {
	conn, peer, _ := connPair(t)
	conn.Interrupt()
	assert.Error(t, conn.Send(time.Hour, []byte(echoRequest)))
	assert.Error(t, conn.SendOnReused(time.Hour, []byte(echoRequest)))
	conn.SetReadTimeout(time.Hour)
	_, err := conn.ReadResponseHead()
	assert.Equal(t, TimedOut, CloseReasonOf(err))
	conn.StartRecording()
	assert.NoError(t, conn.Rewind())
	_, err = conn.ReadResponseHead()
	assert.Equal(t, TimedOut, CloseReasonOf(err), "a rewind does not undo the interrupt")
	conn.CloseFor(AttemptCanceled, nil)
	got, _ := io.ReadAll(peer)
	assert.Empty(t, got, "no data is sent after the interrupt")
}
