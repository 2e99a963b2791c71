package transport

import "sync/atomic"

// byteBudget limits how many bytes of request bodies are held in memory at once, over all connections. Bodies are
// reserved by their announced length, so that many that are announced together can't exceed the memory limit later.
type byteBudget struct{ available atomic.Int64 }

// reserve takes n bytes out of the budget. It returns false, and takes nothing, where fewer are available.
func (b *byteBudget) reserve(n int64) bool {
	if b.available.Add(-n) >= 0 {
		return true
	}
	b.release(n)
	return false
}

// release gives n reserved bytes back.
func (b *byteBudget) release(n int64) { b.available.Add(n) }
