package daemon

import "runtime/debug"

// connectionShare is how many connections one of the two processes of a hot restart may have open. The resource limits
// bound both together: the successor may have what its predecessor reports not to need (receivePredecessorUpdate). The
// predecessor's share starts with its open connections and half of the free ones (serveSuccessor). Once the successor
// serves, the share shrinks with the connections that end.
type connectionShare struct {
	clients int
	workers int
}

// half returns the share of a successor that has no report of its predecessor yet.
func (s connectionShare) half() connectionShare {
	return connectionShare{clients: s.clients / 2, workers: s.workers / 2}
}

// halfway returns the middle between two shares.
func (s connectionShare) halfway(to connectionShare) connectionShare {
	return connectionShare{clients: (s.clients + to.clients) / 2, workers: (s.workers + to.workers) / 2}
}

// shrinkTo returns the share reduced to the connections that are open. One more to workers is kept, so that an attempt
// can still be made. A share never grows, as the successor may have opened the connections that were given up.
func (s connectionShare) shrinkTo(open connectionShare) connectionShare {
	const spareForAttempt = 1 // connection
	return connectionShare{
		clients: min(s.clients, open.clients),
		workers: min(s.workers, open.workers+spareForAttempt),
	}
}

// allConnections returns the share of a process that runs alone.
func (h *hotRestart) allConnections() connectionShare {
	return connectionShare{clients: h.limits.clientConnections, workers: h.limits.workerConnections}
}

// openConnectionShare returns how many connections this process has open.
func (h *hotRestart) openConnectionShare() connectionShare {
	return connectionShare{clients: h.server.OpenConnections(), workers: h.pool.OpenConnections()}
}

// setConnectionLimits limits this process to a share of the connections, or to one of each kind where that is more.
func (h *hotRestart) setConnectionLimits(share connectionShare) {
	const minLimit = 1
	h.server.SetLimit(max(share.clients, minLimit))
	h.pool.SetLimit(max(share.workers, minLimit))
}

// addSibling divides the memory limit of the garbage collector with one more process.
func (h *hotRestart) addSibling() { h.changeSiblings(1) }

// removeSibling ends what addSibling has begun.
func (h *hotRestart) removeSibling() { h.changeSiblings(-1) }

func (h *hotRestart) changeSiblings(change int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.siblings += change
	debug.SetMemoryLimit(h.limits.heapBytes / int64(1+h.siblings))
}
