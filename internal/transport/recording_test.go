package transport

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestRewoundConnectionReadsItsRecordingAgain(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	c, peer, _ := connPair(t)
	c.StartRecording()
	io.WriteString(peer, text)
	head, err := c.ReadResponseHead()
	assert.NoError(t, err)
	assert.Equal(t, 200, head.Status)
	recorded, err := c.Recorded()
	assert.NoError(t, err)
	assert.Equal(t, text, string(recorded))

	c.StopReading()
	assert.NoError(t, c.Rewind())
	head, err = c.ReadResponseHead()
	assert.NoError(t, err)
	assert.Equal(t, 200, head.Status)
	recorded, err = c.Recorded()
	assert.NoError(t, err)
	assert.Equal(t, text, string(recorded), "the recording starts anew")
}

func TestRecordingIncludesWhatIsStillToBeReplayed(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	c, peer, _ := connPair(t)
	c.StartRecording()
	io.WriteString(peer, text)
	_, err := c.ReadResponseHead()
	assert.NoError(t, err)
	assert.NoError(t, c.Rewind())
	recorded, err := c.Recorded()
	assert.NoError(t, err)
	assert.Equal(t, text, string(recorded))
}

func TestConnectionWithoutACompleteRecordingCannotBeRewound(t *testing.T) {
	for _, tt := range []struct {
		name   string
		record func(c *Conn)
	}{
		{"never started", func(*Conn) {}},
		{"stopped", func(c *Conn) { c.StartRecording(); c.StopRecording() }},
		{"overflowed", func(c *Conn) {
			c.StartRecording()
			c.stream.recorder.record(make([]byte, maxRecordedBytes+1))
			c.stream.recorder.record([]byte("a"))
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, _, _ := connPair(t)
			tt.record(c)
			_, err := c.Recorded()
			assert.ErrorIs(t, err, ErrNotRecorded)
			assert.ErrorIs(t, c.Rewind(), ErrNotRecorded)
		})
	}
}

func TestStopReadingEndsARead(t *testing.T) {
	c, _, _ := connPair(t)
	time.AfterFunc(10*time.Millisecond, c.StopReading)
	_, err := c.ReadResponseHead()
	assert.Equal(t, TooSlow, CloseReasonOf(err))
}
