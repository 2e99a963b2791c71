package transport

import (
	"errors"
	"time"
)

// maxRecordedBytes is the maximum size of the recording of one connection.
const maxRecordedBytes = 1 << 20

// ErrNotRecorded reports that a connection isn't being recorded, or that more than maxRecordedBytes were read.
var ErrNotRecorded = errors.New("no complete recording of the connection")

// readRecorder records the data read on a connection, so that this process or its successor can read it again.
type readRecorder struct {
	data       []byte
	overflowed bool // more than maxRecordedBytes were read, and data was discarded
}

// record appends the data of one read.
func (r *readRecorder) record(p []byte) {
	if len(r.data)+len(p) > maxRecordedBytes {
		r.overflowed = true
	}
	if r.overflowed {
		r.data = nil
		return
	}
	r.data = append(r.data, p...)
}

// StartRecording starts to record the data read on the connection.
func (c *Conn) StartRecording() { c.stream.recording = &readRecorder{} }

// StopRecording ends and discards the recording.
func (c *Conn) StopRecording() { c.stream.recording = nil }

// Recorded returns the data read since StartRecording, followed by the data that has not been replayed yet. The caller
// must own the connection. The only error is ErrNotRecorded.
func (c *Conn) Recorded() ([]byte, error) {
	recording := c.stream.recording
	if recording == nil || recording.overflowed {
		return nil, ErrNotRecorded
	}
	data := recording.data
	return append(data[:len(data):len(data)], c.stream.replay...), nil
}

// Rewind makes the next read start at the beginning of the recording, and removes the read deadline. It starts a new
// recording. The only error is ErrNotRecorded.
func (c *Conn) Rewind() error {
	recorded, err := c.Recorded()
	if err != nil {
		return err
	}
	c.readBuf.Discard(c.readBuf.Len())
	c.stream.replay = recorded
	c.stream.recording = &readRecorder{}
	c.setReadDeadline(time.Time{})
	return nil
}

// StopReading makes the current read and all later reads fail with a timeout, until Rewind is called or another read
// deadline is set.
func (c *Conn) StopReading() { c.setReadDeadline(pastDeadline) }
