package transport

import "io"

// Ring is a byte buffer of fixed size: what is read from its front makes room at its back.
type Ring struct {
	buf    []byte
	start  int // of the bytes held, in buf
	length int // of the bytes held
}

// NewRing makes an empty ring of size bytes.
func NewRing(size int) *Ring { return &Ring{buf: make([]byte, size)} }

// Len is the number of bytes held.
func (r *Ring) Len() int { return r.length }

// Full reports whether no more bytes fit.
func (r *Ring) Full() bool { return r.length == len(r.buf) }

// space is the free part after the back that is contiguous.
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

// Bytes is all that is held, contiguous; bytes that wrap round the end are moved for that. It is valid until the next
// call of another method.
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

// Discard drops n bytes from the front; n is at most Len.
func (r *Ring) Discard(n int) {
	r.start = (r.start + n) % len(r.buf)
	r.length -= n
}

// Write appends as much of p as fits, and returns how much that is.
func (r *Ring) Write(p []byte) (written int) {
	for len(p) > 0 && !r.Full() {
		n := copy(r.space(), p)
		r.length += n
		written += n
		p = p[n:]
	}
	return written
}

// Drain writes all that is held to a writer, and stops at its first error.
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
