package transport

import (
	"errors"
	"fmt"
	"time"

	"canvasroute/internal/protocol"
)

// maxRecordedBytes is the maximum size of the recording of one connection.
const maxRecordedBytes = 1 << 20

// unbudgetedRecordingBytes is the size up to which a recording needs no share of the budget for recordings, so that
// connections with long recordings don't prevent others from being recorded.
const unbudgetedRecordingBytes = 4 << 10

// defaultRecordingBytes is the budget for the recordings of a Pool without SetRecordingLimit.
const defaultRecordingBytes = 8 << 20

// ErrNotRecorded reports that a connection isn't being recorded, or that the recording has become too long.
var ErrNotRecorded = errors.New("no complete recording of the connection")

// errRecordingTooLong is returned by reads if the data can't be recorded: it exceeds maxRecordedBytes, or the budget for
// the recordings of all connections.
var errRecordingTooLong = fmt.Errorf("%w: response exceeds the memory for responses in flight", protocol.ErrTooLarge)

// readRecorder records the data read on a connection, so that this process or its successor can read it again.
type readRecorder struct {
	data       []byte
	budget     *byteBudget // shared with other connections
	reserved   int64       // bytes reserved in budget
	overflowed bool        // data was discarded because it could not be recorded
}

// record appends the data of one read. It returns errRecordingTooLong if there is no memory for the data.
func (r *readRecorder) record(p []byte) error {
	size := len(r.data) + len(p)
	if r.overflowed || size > maxRecordedBytes || size > cap(r.data) && !r.grow(size) {
		r.overflowed = true
		r.discard()
		return errRecordingTooLong
	}
	r.data = append(r.data, p...)
	return nil
}

// grow increases the capacity to at least size bytes. It reports whether the budget allows that.
func (r *readRecorder) grow(size int) bool {
	capacity := max(size, min(2*cap(r.data), maxRecordedBytes))
	required := max(int64(capacity-unbudgetedRecordingBytes), 0) - r.reserved
	if required > 0 && !r.budget.reserve(required) {
		return false
	}
	r.reserved += max(required, 0)
	grown := make([]byte, len(r.data), capacity)
	copy(grown, r.data)
	r.data = grown
	return true
}

// discard discards the recording and releases its share of the budget.
func (r *readRecorder) discard() {
	r.data = nil
	r.budget.release(r.reserved)
	r.reserved = 0
}

// StartRecording starts to record the data read on the connection, which must be from a Pool. A read fails with
// protocol.ErrTooLarge if the recording would exceed the pool's limit for all recordings, or that for each.
func (c *Conn) StartRecording() { c.stream.recording = &readRecorder{budget: c.recordingBudget} }

// StopRecording ends and discards the recording.
func (c *Conn) StopRecording() {
	if c.stream.recording != nil {
		c.stream.recording.discard()
		c.stream.recording = nil
	}
}

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
	c.StopRecording()
	c.stream.replay = recorded
	c.StartRecording()
	c.setReadDeadline(time.Time{})
	return nil
}

// StopReading makes the current read and all later reads fail with a timeout, until Rewind is called or another read
// deadline is set.
func (c *Conn) StopReading() { c.setReadDeadline(pastDeadline) }
