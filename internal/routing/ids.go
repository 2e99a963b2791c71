package routing

import "sync"

// ids are those of the invocations that are open here. They guard against a client that sends another one's:
// workers know an invocation by its id alone.
type ids struct {
	mu    sync.Mutex
	taken map[string]struct{}
}

// open takes an id, unless it is open already.
func (i *ids) open(id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, taken := i.taken[id]; taken {
		return false
	}
	if i.taken == nil {
		i.taken = map[string]struct{}{}
	}
	i.taken[id] = struct{}{}
	return true
}

func (i *ids) close(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.taken, id)
}
