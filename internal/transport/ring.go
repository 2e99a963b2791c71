package transport

import "io"

// Ring is a byte buffer of fixed size. Bytes that are discarded from its front make room at its back.
type Ring struct {
	buf    []byte
	start  int // index in buf of the first buffered byte
	length int // number of buffered bytes
}

// NewRing returns an empty ring of size bytes.
func NewRing(size int) *Ring { return &Ring{buf: make([]byte, size)} }

// Len returns the number of buffered bytes.
func (r *Ring) Len() int { return r.length }

// Full reports whether no more bytes fit.
func (r *Ring) Full() bool { return r.length == len(r.buf) }

// space returns the free bytes after the back, as far as they are contiguous.
func (r *Ring) space() []byte {
	if r.length == 0 {
		r.start = 0
	}
	back := r.start + r.length
	if back >= len(r.buf) {
		return r.buf[back-len(r.buf) : r.start]
	}
	return r.buf[back:]
}

// Fill reads once into the free space, and returns the number of bytes and the error of that read.
func (r *Ring) Fill(from io.Reader) (int, error) {
	n, err := from.Read(r.space())
	r.length += n
	return n, err
}

// Bytes returns all buffered bytes. Where they wrap round the end they are copied first. The result is valid until the
// next call of another method.
func (r *Ring) Bytes() []byte {
	if r.start+r.length > len(r.buf) {
		contiguous := make([]byte, len(r.buf))
		first := copy(contiguous, r.buf[r.start:])
		copy(contiguous[first:], r.buf[:r.length-first])
		r.buf = contiguous
		r.start = 0
	}
	return r.buf[r.start : r.start+r.length]
}

// Discard drops n bytes from the front, at most Len.
func (r *Ring) Discard(n int) {
	r.start = (r.start + n) % len(r.buf)
	r.length -= n
}

// Write appends as much of p as fits, and returns the number of bytes.
func (r *Ring) Write(p []byte) (written int) {
	for len(p) > 0 && !r.Full() {
		n := copy(r.space(), p)
		r.length += n
		written += n
		p = p[n:]
	}
	return written
}

// Drain writes all buffered bytes to a writer. It stops at the first error and returns that.
func (r *Ring) Drain(to io.Writer) error {
	for r.length > 0 {
		n, err := to.Write(r.buf[r.start:min(r.start+r.length, len(r.buf))])
		r.Discard(n)
		if err != nil {
			return err
		}
	}
	return nil
}
