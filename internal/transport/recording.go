package transport

import (
	"errors"
	"time"
)

// maxRecordedBytes is how much of what is read on a connection can be recorded.
const maxRecordedBytes = 1 << 20

// ErrNotRecorded reports a connection that isn't recorded, or on which more came than can be recorded.
var ErrNotRecorded = errors.New("more data than can be recorded")

// recorder keeps what is read on a connection, so that this process or its successor can read it again.
type recorder struct {
	data       []byte
	overflowed bool // more came than maxRecordedBytes; data was dropped
}

func (r *recorder) record(p []byte) {
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
func (c *Conn) StartRecording() { c.stream.recorder = &recorder{} }

// StopRecording ends the recording and drops it.
func (c *Conn) StopRecording() { c.stream.recorder = nil }

// Recorded returns all that has been read since StartRecording, and what is still to be replayed after it. Nobody may
// read meanwhile. The error is ErrNotRecorded where not all of it is there.
func (c *Conn) Recorded() ([]byte, error) {
	recorder := c.stream.recorder
	if recorder == nil || recorder.overflowed {
		return nil, ErrNotRecorded
	}
	data := recorder.data
	return append(data[:len(data):len(data)], c.stream.replay...), nil
}

// Rewind makes the next read start over at the start of the recording, and removes the read deadline. The recording
// starts anew. Its error is that of Recorded.
func (c *Conn) Rewind() error {
	recorded, err := c.Recorded()
	if err != nil {
		return err
	}
	c.readBuf.Discard(c.readBuf.Len())
	c.stream.replay = recorded
	c.stream.recorder = &recorder{}
	c.setReadDeadline(time.Time{})
	return nil
}

// StopReading makes a read that is under way fail with a timeout, and all others until Rewind.
func (c *Conn) StopReading() { c.setReadDeadline(pastDeadline) }
