package proxy

import "sync"

// requestIDs is the set of IDs of the requests that are open in this process and, during a hot restart, in its sibling.
// Workers identify a request by its ID alone, so a request with the ID of an open request is refused.
type requestIDs struct {
	mu        sync.Mutex // guards the fields below; no locks are acquired while it is held
	local     map[string]struct{}
	inSibling map[string]struct{}
	tracking  bool     // opened and closed are recorded for the sibling
	opened    []string // IDs opened since the last call of changes
	closed    []string // IDs closed since the last call of changes
}

// open adds an ID, and reports whether it was free.
func (i *requestIDs) open(id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	_, local := i.local[id]
	_, inSibling := i.inSibling[id]
	if local || inSibling {
		return false
	}
	if i.local == nil {
		i.local = map[string]struct{}{}
	}
	i.local[id] = struct{}{}
	if i.tracking {
		i.opened = append(i.opened, id)
	}
	return true
}

// openMigrated adds the ID of a request that was migrated from the sibling.
func (i *requestIDs) openMigrated(id string) {
	i.mu.Lock()
	delete(i.inSibling, id)
	i.mu.Unlock()
	i.open(id)
}

// close frees the ID of a request that has ended.
func (i *requestIDs) close(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.local, id)
	if i.tracking {
		i.closed = append(i.closed, id)
	}
}

// startTracking starts to record changes. The next call of changes also returns all IDs that are open now.
func (i *requestIDs) startTracking() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.tracking = true
	i.opened = nil
	i.closed = nil
	for id := range i.local {
		i.opened = append(i.opened, id)
	}
}

// changes returns the IDs that were opened and closed since the last call. The caller must apply opened before closed,
// so that an ID that was opened and then closed counts as closed.
func (i *requestIDs) changes() (opened, closed []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	opened, closed = i.opened, i.closed
	i.opened, i.closed = nil, nil
	return opened, closed
}

// applySibling applies the sibling's changes. An ID that the sibling closed and opened again counts as closed.
func (i *requestIDs) applySibling(opened, closed []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.inSibling == nil {
		i.inSibling = map[string]struct{}{}
	}
	for _, id := range opened {
		i.inSibling[id] = struct{}{}
	}
	for _, id := range closed {
		delete(i.inSibling, id)
	}
}

// forgetSibling removes the IDs of a sibling that has exited, and stops recording changes.
func (i *requestIDs) forgetSibling() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.inSibling = nil
	i.tracking = false
	i.opened = nil
	i.closed = nil
}
