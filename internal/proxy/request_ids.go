package proxy

import "sync"

// requestIDs are the IDs of the requests that are open in this process and, during a hot restart, in its sibling.
// Workers know a request by its ID alone: of two clients that send the same one, the second is refused.
type requestIDs struct {
	mu        sync.Mutex // guards the fields below; nothing is called under it
	here      map[string]struct{}
	atSibling map[string]struct{}
	tracking  bool     // opened and closed are recorded for the sibling
	opened    []string // since the last call of changes
	closed    []string // since the last call of changes
}

// open adds an ID, and reports whether it was free.
func (i *requestIDs) open(id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	_, here := i.here[id]
	_, atSibling := i.atSibling[id]
	if here || atSibling {
		return false
	}
	if i.here == nil {
		i.here = map[string]struct{}{}
	}
	i.here[id] = struct{}{}
	if i.tracking {
		i.opened = append(i.opened, id)
	}
	return true
}

// openMigrated adds the ID of a request that the sibling has passed on.
func (i *requestIDs) openMigrated(id string) {
	i.mu.Lock()
	delete(i.atSibling, id)
	i.mu.Unlock()
	i.open(id)
}

// close frees the ID of a request that has its answer.
func (i *requestIDs) close(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.here, id)
	if i.tracking {
		i.closed = append(i.closed, id)
	}
}

// startTracking records changes from now on. The first ones are all IDs that are open.
func (i *requestIDs) startTracking() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.tracking = true
	i.opened = nil
	i.closed = nil
	for id := range i.here {
		i.opened = append(i.opened, id)
	}
}

// changes returns the IDs that were opened and closed since the last call. The opened ones are to be applied first: an
// ID that was opened and closed again ends closed.
func (i *requestIDs) changes() (opened, closed []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	opened, closed = i.opened, i.closed
	i.opened, i.closed = nil, nil
	return opened, closed
}

// applySibling applies the sibling's changes. An ID that it closed and opened again counts as closed.
func (i *requestIDs) applySibling(opened, closed []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.atSibling == nil {
		i.atSibling = map[string]struct{}{}
	}
	for _, id := range opened {
		i.atSibling[id] = struct{}{}
	}
	for _, id := range closed {
		delete(i.atSibling, id)
	}
}

// forgetSibling removes the IDs of a sibling that has ended, and stops recording changes.
func (i *requestIDs) forgetSibling() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.atSibling = nil
	i.tracking = false
	i.opened = nil
	i.closed = nil
}
