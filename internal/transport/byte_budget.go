package transport

import "sync/atomic"

// byteBudget limits the total size of the request bodies in memory, over all connections. The announced length of a
// body is reserved before the body is read, so that concurrent bodies can't exceed the limit together.
type byteBudget struct {
	available atomic.Int64 // bytes that may still be reserved
}

// reserve reserves n bytes and reports whether they were available. If not, it reserves nothing.
func (b *byteBudget) reserve(n int64) bool {
	if b.available.Add(-n) >= 0 {
		return true
	}
	b.release(n)
	return false
}

// release returns n reserved bytes to the budget.
func (b *byteBudget) release(n int64) { b.available.Add(n) }
