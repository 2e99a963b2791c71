package transport

import "io"

// RingBuffer is a ring buffer of bytes with a fixed capacity.
type RingBuffer struct {
	buf    []byte
	start  int // index in buf of the first buffered byte
	length int // number of buffered bytes
}

// NewRingBuffer returns an empty ring buffer with a capacity of size bytes.
func NewRingBuffer(size int) *RingBuffer { return &RingBuffer{buf: make([]byte, size)} }

// Len returns the number of buffered bytes.
func (r *RingBuffer) Len() int { return r.length }

// Full reports whether the buffer is full.
func (r *RingBuffer) Full() bool { return r.length == len(r.buf) }

// space returns the contiguous free space after the last buffered byte.
func (r *RingBuffer) space() []byte {
	if r.length == 0 {
		r.start = 0
	}
	end := r.start + r.length
	if end >= len(r.buf) {
		return r.buf[end-len(r.buf) : r.start]
	}
	return r.buf[end:]
}

// Fill reads once from a reader into the contiguous free space, and returns the results of that read.
func (r *RingBuffer) Fill(reader io.Reader) (int, error) {
	n, err := reader.Read(r.space())
	r.length += n
	return n, err
}

// Bytes returns all buffered bytes as one slice. If they wrap around the end of the buffer, Bytes copies them first.
// The result is valid until the next call of another method.
func (r *RingBuffer) Bytes() []byte {
	if r.start+r.length > len(r.buf) {
		contiguous := make([]byte, len(r.buf))
		first := copy(contiguous, r.buf[r.start:])
		copy(contiguous[first:], r.buf[:r.length-first])
		r.buf = contiguous
		r.start = 0
	}
	return r.buf[r.start : r.start+r.length]
}

// Discard removes the first n buffered bytes. n must be at most Len.
func (r *RingBuffer) Discard(n int) {
	r.start = (r.start + n) % len(r.buf)
	r.length -= n
}

// Write appends as much of p as fits, and returns the number of bytes appended.
func (r *RingBuffer) Write(p []byte) (written int) {
	for len(p) > 0 && !r.Full() {
		n := copy(r.space(), p)
		r.length += n
		written += n
		p = p[n:]
	}
	return written
}

// FlushTo writes all buffered bytes to a writer and removes them. It stops at the first error and returns it.
func (r *RingBuffer) FlushTo(writer io.Writer) error {
	for r.length > 0 {
		n, err := writer.Write(r.buf[r.start:min(r.start+r.length, len(r.buf))])
		r.Discard(n)
		if err != nil {
			return err
		}
	}
	return nil
}
