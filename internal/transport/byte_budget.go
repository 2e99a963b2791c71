package transport

import "sync/atomic"

// byteBudget limits the total size of data in memory, over all connections: of request bodies, whose announced length
// is reserved before they are read, or of recordings, whose capacity is reserved before they grow.
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
