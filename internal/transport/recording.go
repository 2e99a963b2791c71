package transport

import (
	"errors"
	"time"
)

// maxRecordedBytes limits the recording of one connection.
const maxRecordedBytes = 1 << 20

// ErrNotRecorded reports a connection that isn't recorded, or on which more than maxRecordedBytes was read.
var ErrNotRecorded = errors.New("more data than can be recorded")

// readRecorder keeps the bytes that are read on a connection, so that this process or its successor can read them again.
type readRecorder struct {
	data       []byte
	overflowed bool // more than maxRecordedBytes was read; data was dropped
}

// record adds the bytes of one read.
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

// StartRecording starts to record what is read.
func (c *Conn) StartRecording() { c.stream.recording = &readRecorder{} }

// StopRecording ends the recording and drops it.
func (c *Conn) StopRecording() { c.stream.recording = nil }

// Recorded returns all that was read since StartRecording, and what is still to be replayed after it. The caller owns the
// connection. The error is ErrNotRecorded.
func (c *Conn) Recorded() ([]byte, error) {
	recording := c.stream.recording
	if recording == nil || recording.overflowed {
		return nil, ErrNotRecorded
	}
	data := recording.data
	return append(data[:len(data):len(data)], c.stream.replay...), nil
}

// Rewind makes the next read start at the start of the recording again, and removes the read deadline. A new recording
// begins. The error is ErrNotRecorded.
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

// StopReading makes the read that is under way and all later ones fail with a timeout, until Rewind.
func (c *Conn) StopReading() { c.setReadDeadline(pastDeadline) }
