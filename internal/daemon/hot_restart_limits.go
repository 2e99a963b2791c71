package daemon

import "runtime/debug"

// connectionShare is the part of the connections of resourceLimits that one of two processes may open.
type connectionShare struct {
	clients int
	workers int
}

func (s connectionShare) half() connectionShare {
	return connectionShare{clients: s.clients / 2, workers: s.workers / 2}
}

// halfway is the middle between two shares: of what is in use and half of what is free, for instance.
func (s connectionShare) halfway(to connectionShare) connectionShare {
	return connectionShare{clients: (s.clients + to.clients) / 2, workers: (s.workers + to.workers) / 2}
}

// shrinkTo reduces a share to the connections that are open, with one more to workers so that an attempt can still be
// made. A share never grows.
func (s connectionShare) shrinkTo(open connectionShare) connectionShare {
	return connectionShare{clients: min(s.clients, open.clients), workers: min(s.workers, open.workers+1)}
}

// allConnections is the share of a process that runs alone.
func (h *hotRestart) allConnections() connectionShare {
	return connectionShare{clients: h.limits.clientConnections, workers: h.limits.workerConnections}
}

func (h *hotRestart) openConnectionShare() connectionShare {
	return connectionShare{clients: h.server.OpenConnections(), workers: h.pool.OpenConnections()}
}

// setConnectionLimits keeps this process to a share of the connections, of at least one of each kind.
func (h *hotRestart) setConnectionLimits(share connectionShare) {
	h.server.SetLimit(max(share.clients, 1))
	h.pool.SetLimit(max(share.workers, 1))
}

// addSiblings changes the number of processes that the memory limit is divided among.
func (h *hotRestart) addSiblings(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.siblings += n
	debug.SetMemoryLimit(h.limits.heapBytes / int64(1+h.siblings))
}
