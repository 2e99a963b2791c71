package transport

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A deadline may have passed before it is set, as what came before took longer than the whole timeout.
func TestNegativeTimeoutIsADeadlineThatHasPassed(t *testing.T) {
	c, _, _ := connPair(t)
	c.SetReadTimeout(-time.Second)
	_, err := c.ReadResponseHead()
	assert.Equal(t, TooSlow, CloseReasonOf(err))
}

func TestInterruptEndsARead(t *testing.T) {
	c, _, _ := connPair(t)
	time.AfterFunc(10*time.Millisecond, c.Interrupt)
	_, err := c.ReadResponseHead()
	assert.Equal(t, TooSlow, CloseReasonOf(err))
}

func TestInterruptOutlastsLaterDeadlines(t *testing.T) {
	c, peer, _ := connPair(t)
	c.Interrupt()
	assert.Error(t, c.Send(time.Hour, []byte(echoRequest)))
	assert.Error(t, c.SendOnReused(time.Hour, []byte(echoRequest)))
	c.SetReadTimeout(time.Hour)
	_, err := c.ReadResponseHead()
	assert.Equal(t, TooSlow, CloseReasonOf(err))
	c.StartRecording()
	assert.NoError(t, c.Rewind())
	_, err = c.ReadResponseHead()
	assert.Equal(t, TooSlow, CloseReasonOf(err), "a rewind doesn't undo it either")
	c.CloseFor(AttemptCanceled, nil)
	got, _ := io.ReadAll(peer)
	assert.Empty(t, got, "nothing was sent after it")
}
