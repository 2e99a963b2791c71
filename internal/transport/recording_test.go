package transport

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/peertest"
	"canvasroute/internal/protocol"
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
			assert.ErrorIs(t, conn.stream.recording.record(make([]byte, maxRecordedBytes+1)), errRecordingTooLong)
			assert.ErrorIs(t, conn.stream.recording.record([]byte("a")), errRecordingTooLong)
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

// Responses that never end must not use more memory than the limit for all of them, nor prevent short responses from
// being received.
func TestEndlessResponsesShareOneMemoryLimit(t *testing.T) {
	const limit = 64 << 10
	endless := peertest.StartServer(t, func(conn net.Conn, _ *http.Request) {
		io.WriteString(conn, peertest.ChunkedHead)
		line := peertest.Chunk(strings.Repeat("a", 1000))
		for {
			if _, err := io.WriteString(conn, line); err != nil {
				return
			}
		}
	})
	pool := NewPool(8, time.Minute, zerolog.Nop())
	pool.SetRecordingLimit(limit)
	request := []byte("GET / HTTP/1.1\r\n\r\n")
	read := func(conn *Conn) error {
		conn.StartRecording()
		assert.NoError(t, conn.Send(testTimeout, request))
		head, err := conn.ReadResponseHead()
		assert.NoError(t, err)
		body, err := protocol.ResponseBody(&head)
		assert.NoError(t, err)
		return conn.ReadPieces(&body, func([]byte) bool { return true })
	}
	var conns []*Conn
	for range 4 {
		conn := mustGet(t, pool, endless)
		err := read(conn)
		assert.ErrorIs(t, err, errRecordingTooLong)
		assert.Equal(t, Malformed, CloseReasonOf(err))
		_, err = conn.Recorded()
		assert.ErrorIs(t, err, ErrNotRecorded)
		assert.Less(t, conn.stream.bytesRead.Load(), int64(limit+unbudgetedRecordingBytes+readBufferBytes))
		conns = append(conns, conn)
	}
	assert.EqualValues(t, limit, pool.recordings.available.Load(), "an attempt that has failed keeps nothing")

	pool.SetRecordingLimit(0)
	short := mustGet(t, pool, peertest.StartServer(t, peertest.RespondWith(peertest.CompleteResponse("short"))))
	assert.NoError(t, read(short))
	_, err := short.Recorded()
	assert.NoError(t, err)
	for _, conn := range append(conns, short) {
		conn.StopRecording()
		conn.CloseFor(Stopping, nil)
	}
}

// A recording returns its share of the limit when it ends, and when the connection is rewound.
func TestRecordingReleasesItsMemory(t *testing.T) {
	const limit = 1 << 20
	pool := NewPool(1, time.Minute, zerolog.Nop())
	pool.SetRecordingLimit(limit)
	addr, _ := startWorker(t)
	conn := mustGet(t, pool, addr)
	for range 3 {
		conn.StartRecording()
		assert.NoError(t, conn.stream.recording.record(make([]byte, limit/2)))
		assert.Less(t, pool.recordings.available.Load(), int64(limit))
		assert.NoError(t, conn.Rewind())
		assert.EqualValues(t, limit, pool.recordings.available.Load())
		conn.stream.replay = nil
		conn.StopRecording()
	}
}
