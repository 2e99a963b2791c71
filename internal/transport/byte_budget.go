package transport

import "sync/atomic"

// byteBudget limits how many bytes of request bodies are in memory at once, over all connections. A body is reserved by
// its announced length before it is read, so that many bodies together can't exceed the memory limit later.
type byteBudget struct {
	available atomic.Int64 // bytes that may still be reserved
}

// reserve takes n bytes out of the budget and reports whether as many were available. Otherwise it takes none.
func (b *byteBudget) reserve(n int64) bool {
	if b.available.Add(-n) >= 0 {
		return true
	}
	b.release(n)
	return false
}

// release gives n reserved bytes back.
func (b *byteBudget) release(n int64) { b.available.Add(n) }
