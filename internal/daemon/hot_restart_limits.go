package daemon

import "runtime/debug"

// connectionShare is the number of connections that one process of a hot restart may have open. The resource limits
// apply to both processes together: the successor may open the connections that its predecessor reports not to need
// (receivePredecessorUpdate). The share of the predecessor initially consists of its open connections and half of the
// unused ones (handleSuccessor). Once the successor serves, the share shrinks as connections are closed.
type connectionShare struct {
	clients int
	workers int
}

// half returns the share of a successor that has not received an update from its predecessor yet.
func (s connectionShare) half() connectionShare {
	return connectionShare{clients: s.clients / 2, workers: s.workers / 2}
}

// midpoint returns the mean of two shares.
func (s connectionShare) midpoint(other connectionShare) connectionShare {
	return connectionShare{clients: (s.clients + other.clients) / 2, workers: (s.workers + other.workers) / 2}
}

// shrinkTo returns the share reduced to the open connections, plus one to workers so that an attempt can still be made.
// A share never grows, because the successor may already have opened the connections that were released.
func (s connectionShare) shrinkTo(open connectionShare) connectionShare {
	const spareForAttempt = 1 // connection
	return connectionShare{
		clients: min(s.clients, open.clients),
		workers: min(s.workers, open.workers+spareForAttempt),
	}
}

// fullConnectionShare returns the share of a process without a sibling.
func (h *hotRestart) fullConnectionShare() connectionShare {
	return connectionShare{clients: h.limits.clientConnections, workers: h.limits.workerConnections}
}

// openConnectionShare returns the number of connections that this process has open.
func (h *hotRestart) openConnectionShare() connectionShare {
	return connectionShare{clients: h.server.OpenConnections(), workers: h.pool.OpenConnections()}
}

// setConnectionLimits limits the connections of this process to a share, but to no fewer than one client connection and
// one worker connection.
func (h *hotRestart) setConnectionLimits(share connectionShare) {
	const minLimit = 1
	h.server.SetLimit(max(share.clients, minLimit))
	h.pool.SetLimit(max(share.workers, minLimit))
}

// addSibling adds a process to those that share the memory limit of the garbage collector.
func (h *hotRestart) addSibling() { h.changeSiblingCount(1) }

// removeSibling reverts addSibling.
func (h *hotRestart) removeSibling() { h.changeSiblingCount(-1) }

// changeSiblingCount divides the memory limit of the garbage collector evenly among the new number of processes.
func (h *hotRestart) changeSiblingCount(change int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.siblingCount += change
	debug.SetMemoryLimit(h.limits.heapBytes / int64(1+h.siblingCount))
}
