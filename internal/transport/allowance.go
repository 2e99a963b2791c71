package transport

import "sync/atomic"

// byteBudget is a number of bytes that may be held at once. It guards against bodies that are announced, or
// brought, on many connections together and would not fit into the memory limit.
type byteBudget struct{ available atomic.Int64 }

func (a *byteBudget) reserve(n int64) bool {
	if a.available.Add(-n) >= 0 {
		return true
	}
	a.release(n)
	return false
}

func (a *byteBudget) release(n int64) { a.available.Add(n) }
