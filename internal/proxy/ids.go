package proxy

import "sync"

// ids are those of the invocations that are open here, and, during an upgrade, at the dispatcher's other
// process. They guard against a client that sends another one's: workers know an invocation by its id alone.
type ids struct {
	mu      sync.Mutex
	taken   map[string]struct{}
	others  map[string]struct{}
	watched bool // changes are kept for the other process
	opened  []string
	closed  []string
}

// open takes an id, unless it is open already.
func (i *ids) open(id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	_, taken := i.taken[id]
	if _, elsewhere := i.others[id]; taken || elsewhere {
		return false
	}
	if i.taken == nil {
		i.taken = map[string]struct{}{}
	}
	i.taken[id] = struct{}{}
	if i.watched {
		i.opened = append(i.opened, id)
	}
	return true
}

// take takes an id that the other process has handed over with its invocation.
func (i *ids) take(id string) {
	i.mu.Lock()
	delete(i.others, id)
	i.mu.Unlock()
	i.open(id)
}

func (i *ids) close(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.taken, id)
	if i.watched {
		i.closed = append(i.closed, id)
	}
}

// watch begins to keep changes; the first news are all that are open.
func (i *ids) watch() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.watched, i.opened, i.closed = true, nil, nil
	for id := range i.taken {
		i.opened = append(i.opened, id)
	}
}

// news are the changes since the last ones, in such an order that what was opened and closed again ends
// closed.
func (i *ids) news() (opened, closed []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	opened, closed = i.opened, i.closed
	i.opened, i.closed = nil, nil
	return opened, closed
}

// elsewhere takes the other process's news. An id that it closed and opened anew meanwhile counts as closed.
func (i *ids) elsewhere(opened, closed []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.others == nil {
		i.others = map[string]struct{}{}
	}
	for _, id := range opened {
		i.others[id] = struct{}{}
	}
	for _, id := range closed {
		delete(i.others, id)
	}
}

// alone forgets the other process.
func (i *ids) alone() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.others, i.watched, i.opened, i.closed = nil, false, nil, nil
}
