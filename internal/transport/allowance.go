package transport

import "sync/atomic"

// allowance is a number of bytes that may be held at once. It guards against bodies that are announced, or
// brought, on many connections together and would not fit into the memory limit.
type allowance struct{ left atomic.Int64 }

func (a *allowance) take(n int64) bool {
	if a.left.Add(-n) >= 0 {
		return true
	}
	a.give(n)
	return false
}

func (a *allowance) give(n int64) { a.left.Add(n) }
