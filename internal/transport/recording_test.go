package transport

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestRewoundConnectionReadsItsRecordingAgain(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	conn, peer, _ := connPair(t)
	conn.StartRecording()
	io.WriteString(peer, text)
	head, err := conn.ReadResponseHead()
	assert.NoError(t, err)
	assert.Equal(t, 200, head.Status)
	recorded, err := conn.Recorded()
	assert.NoError(t, err)
	assert.Equal(t, text, string(recorded))

	conn.StopReading()
	assert.NoError(t, conn.Rewind())
	head, err = conn.ReadResponseHead()
	assert.NoError(t, err)
	assert.Equal(t, 200, head.Status)
	recorded, err = conn.Recorded()
	assert.NoError(t, err)
	assert.Equal(t, text, string(recorded), "the rewind starts a new recording")
}

func TestRecordingIncludesDataStillToBeReplayed(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	conn, peer, _ := connPair(t)
	conn.StartRecording()
	io.WriteString(peer, text)
	_, err := conn.ReadResponseHead()
	assert.NoError(t, err)
	assert.NoError(t, conn.Rewind())
	recorded, err := conn.Recorded()
	assert.NoError(t, err)
	assert.Equal(t, text, string(recorded))
}

func TestConnectionWithoutACompleteRecordingCannotBeRewound(t *testing.T) {
	for _, tt := range []struct {
		name   string
		record func(conn *Conn)
	}{
		{"never started", func(*Conn) {}},
		{"stopped", func(conn *Conn) { conn.StartRecording(); conn.StopRecording() }},
		{"overflowed", func(conn *Conn) {
			conn.StartRecording()
			conn.stream.recording.record(make([]byte, maxRecordedBytes+1))
			conn.stream.recording.record([]byte("a"))
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			conn, _, _ := connPair(t)
			tt.record(conn)
			_, err := conn.Recorded()
			assert.ErrorIs(t, err, ErrNotRecorded)
			assert.ErrorIs(t, conn.Rewind(), ErrNotRecorded)
		})
	}
}

func TestStopReadingEndsARead(t *testing.T) {
	conn, _, _ := connPair(t)
	time.AfterFunc(10*time.Millisecond, conn.StopReading)
	_, err := conn.ReadResponseHead()
	assert.Equal(t, TimedOut, CloseReasonOf(err))
}
