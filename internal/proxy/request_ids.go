package proxy

import (
	"sync"
	"time"
)

// requestIDs is the set of IDs that are in use in this process and, during a hot restart, in its predecessor: those of the
// open requests, and of ended requests that must not be executed again (retainedIDs). Workers identify a request by its
// ID alone, so a request with an ID in use is refused.
//
// In a hot restart the successor decides which IDs are free. It gets the IDs that are open in the predecessor before it
// accepts connections, and from then on the predecessor claims each ID from it before it serves a request.
type requestIDs struct {
	mu            sync.Mutex // guards the fields below; no locks are acquired while it is held
	local         map[string]struct{}
	inPredecessor map[string]struct{}
	retained      retainedIDs // part of local
	claim         ClaimID     // claims an ID from the successor, nil if there is none
	tracking      bool        // opened and closed are recorded for the successor
	opened        []string    // IDs opened since the last call of changes
	closed        []string    // IDs closed since the last call of changes
}

// ClaimID claims the ID of a request from the successor. It returns false if a request with the ID is open there, and an
// error if that is unknown.
type ClaimID func(id string) (granted bool, err error)

// open adds an ID, and reports whether it was free. The error is that of ClaimID.
func (i *requestIDs) open(id string) (free bool, err error) {
	claim, free := i.openLocally(id)
	if !free || claim == nil {
		return free, nil
	}
	granted, err := claim(id)
	if !granted || err != nil {
		i.close(id)
		return false, err
	}
	return true, nil
}

// openLocally adds an ID if it is free as far as this process knows. It returns the function that claims it from the
// successor, nil if there is none.
func (i *requestIDs) openLocally(id string) (claim ClaimID, free bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.freeExpired(time.Now())
	_, local := i.local[id]
	_, inPredecessor := i.inPredecessor[id]
	if local || inPredecessor {
		return nil, false
	}
	i.add(id)
	return i.claim, true
}

// add adds an ID. The caller must hold mu.
func (i *requestIDs) add(id string) {
	if i.local == nil {
		i.local = map[string]struct{}{}
	}
	i.local[id] = struct{}{}
	if i.tracking {
		i.opened = append(i.opened, id)
	}
}

// openMigrated adds the ID of a request that was migrated from the predecessor.
func (i *requestIDs) openMigrated(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.inPredecessor, id)
	i.add(id)
}

// close frees the ID of a request that has ended.
func (i *requestIDs) close(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.remove(id)
}

// retain keeps the ID of a request in use that has ended and must not be executed again.
func (i *requestIDs) retain(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	i.retained.add(id, now)
	i.freeExpired(now)
}

// freeExpired frees the IDs that are not retained any more. The caller must hold mu.
func (i *requestIDs) freeExpired(now time.Time) {
	for _, id := range i.retained.takeExpired(now) {
		i.remove(id)
	}
}

// remove removes an ID. The caller must hold mu.
func (i *requestIDs) remove(id string) {
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
	i.freeExpired(time.Now())
	opened, closed = i.opened, i.closed
	i.opened, i.closed = nil, nil
	return opened, closed
}

// applyPredecessor applies the predecessor's changes. An ID that it closed and opened again counts as closed.
func (i *requestIDs) applyPredecessor(opened, closed []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.inPredecessor == nil {
		i.inPredecessor = map[string]struct{}{}
	}
	for _, id := range opened {
		i.inPredecessor[id] = struct{}{}
	}
	for _, id := range closed {
		delete(i.inPredecessor, id)
	}
}

// startClaiming sets the function that claims IDs from the successor, and returns the IDs that are open now. Each later
// ID is claimed.
func (i *requestIDs) startClaiming(claim ClaimID) (open []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.claim = claim
	for id := range i.local {
		open = append(open, id)
	}
	return open
}

// addInPredecessor records that the predecessor has opened IDs.
func (i *requestIDs) addInPredecessor(ids []string) { i.applyPredecessor(ids, nil) }

// grant records that the predecessor serves a request with an ID, unless one with this ID is open in this process.
func (i *requestIDs) grant(id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, local := i.local[id]; local {
		return false
	}
	if i.inPredecessor == nil {
		i.inPredecessor = map[string]struct{}{}
	}
	i.inPredecessor[id] = struct{}{}
	return true
}

// predecessorExited retains the IDs that were in use in the predecessor, because their requests may have been executed.
func (i *requestIDs) predecessorExited() {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	for id := range i.inPredecessor {
		if _, local := i.local[id]; !local {
			i.add(id)
			i.retained.add(id, now)
		}
	}
	i.freeExpired(now)
	i.inPredecessor = nil
}

// successorExited stops recording changes for the successor and claiming IDs from it.
func (i *requestIDs) successorExited() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.claim = nil
	i.tracking = false
	i.opened = nil
	i.closed = nil
}
