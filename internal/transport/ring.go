// Package transport moves bytes: the listener, connections with a ring buffer a direction, the pool of
// connections to workers, and datagrams. It knows messages by their framing alone.
package transport

import "io"

// Ring is a buffer of fixed size: what is read from its front makes room at its back.
type Ring struct {
	buf      []byte
	start, n int
}

// NewRing makes an empty ring of that many bytes.
func NewRing(size int) *Ring { return &Ring{buf: make([]byte, size)} }

// Len is the number of bytes held.
func (r *Ring) Len() int { return r.n }

// Full tells that nothing more fits.
func (r *Ring) Full() bool { return r.n == len(r.buf) }

// space is the part after the back that is in one piece.
func (r *Ring) space() []byte {
	if r.n == 0 {
		r.start = 0
	}
	back := r.start + r.n
	if back >= len(r.buf) {
		return r.buf[back-len(r.buf) : r.start]
	}
	return r.buf[back:]
}

// Fill reads once into the free space.
func (r *Ring) Fill(from io.Reader) (int, error) {
	n, err := from.Read(r.space())
	r.n += n
	return n, err
}

// Bytes is all that is held, in one piece: what runs over the end is moved first. It is good until the next
// call.
func (r *Ring) Bytes() []byte {
	if r.start+r.n > len(r.buf) {
		whole := make([]byte, len(r.buf))
		first := copy(whole, r.buf[r.start:])
		copy(whole[first:], r.buf[:r.n-first])
		r.buf, r.start = whole, 0
	}
	return r.buf[r.start : r.start+r.n]
}

// Discard drops n bytes from the front.
func (r *Ring) Discard(n int) {
	r.start, r.n = (r.start+n)%len(r.buf), r.n-n
}

// Write takes in as much of p as fits.
func (r *Ring) Write(p []byte) (taken int) {
	for len(p) > 0 && !r.Full() {
		n := copy(r.space(), p)
		r.n, taken, p = r.n+n, taken+n, p[n:]
	}
	return taken
}

// Drain writes out all that is held, piece by piece.
func (r *Ring) Drain(to io.Writer) error {
	for r.n > 0 {
		n, err := to.Write(r.buf[r.start:min(r.start+r.n, len(r.buf))])
		r.Discard(n)
		if err != nil {
			return err
		}
	}
	return nil
}
