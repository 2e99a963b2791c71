package proxy

import "canvasroute/internal/balancer"

// SiblingUpdate is the message that the two processes of a dispatcher send each other at short intervals during a hot
// restart, so that they act as one dispatcher towards workers, peers and clients.
type SiblingUpdate struct {
	InFlight          map[string]int           `json:"Loads,omitempty"`  // attempts in flight, by worker ID
	RecentSends       map[string]balancer.Work `json:"Spent,omitempty"`  // work sent since the last update, by worker ID
	Opened            []string                 `json:"Opened,omitempty"` // request IDs opened since the last update; only to a successor
	Closed            []string                 `json:"Closed,omitempty"` // request IDs closed since the last update; only to a successor
	ClientConnections int                      `json:"Clients"`          // upper bound of open connections with clients
	WorkerConnections int                      `json:"Workers"`          // upper bound of open connections to workers
}

// NextSiblingUpdate returns the next update for a sibling process, without the numbers of connections. RecentSends, Opened
// and Closed cover the time since the previous call for this recipient. Calls for one recipient must not be concurrent.
func (p *Proxy) NextSiblingUpdate(recipient balancer.SiblingRole) SiblingUpdate {
	u := SiblingUpdate{InFlight: p.inFlightFor(recipient), RecentSends: map[string]balancer.Work{}}
	now := p.balancer.Now()
	for _, send := range p.balancer.RecentSendsSince(p.sendsReportedAt[recipient]) {
		u.RecentSends[p.endpoints.Endpoint(send.Worker).ID] += send.Work
	}
	p.sendsReportedAt[recipient] = now
	if recipient == balancer.Successor {
		u.Opened, u.Closed = p.requestIDs.changes()
	}
	return u
}

// ReceiveSiblingUpdate applies an update from the sibling process. Unknown workers are ignored.
func (p *Proxy) ReceiveSiblingUpdate(sender balancer.SiblingRole, u SiblingUpdate) {
	p.balancer.UpdateSibling(sender, p.workerLoads(u.InFlight))
	if sends := p.recentSends(u.RecentSends); len(sends) > 0 {
		p.balancer.AddRecentSends(sends)
	}
	if sender == balancer.Predecessor {
		p.requestIDs.applyPredecessor(u.Opened, u.Closed)
	}
}

// workerLoads converts counts of attempts in flight by worker ID to WorkerLoads. Unknown workers are omitted.
func (p *Proxy) workerLoads(inFlight map[string]int) []balancer.WorkerLoad {
	var loads []balancer.WorkerLoad
	for id, count := range inFlight {
		if worker, known := p.endpoints.WorkerByID(id); known {
			loads = append(loads, balancer.WorkerLoad{Worker: worker, InFlight: count})
		}
	}
	return loads
}

// recentSends converts the work sent by worker ID to RecentSends. Unknown workers are omitted.
func (p *Proxy) recentSends(sent map[string]balancer.Work) []balancer.RecentSend {
	var sends []balancer.RecentSend
	for id, work := range sent {
		if worker, known := p.endpoints.WorkerByID(id); known {
			sends = append(sends, balancer.RecentSend{Worker: worker, Work: work})
		}
	}
	return sends
}

// ForgetSibling removes the attempts in flight of a sibling process that has exited, and retains the request IDs of a
// predecessor.
func (p *Proxy) ForgetSibling(sibling balancer.SiblingRole) {
	p.balancer.UpdateSibling(sibling, nil)
	if sibling == balancer.Predecessor {
		p.requestIDs.predecessorExited()
	} else {
		p.requestIDs.successorExited()
	}
}

// StartClaimingIDs makes this process, the predecessor, claim the ID of each request from its successor before it serves
// the request. It returns the IDs of the requests that are open already.
func (p *Proxy) StartClaimingIDs(claim ClaimID) (open []string) {
	return p.requestIDs.startClaiming(claim)
}

// AddSiblingIDs records the IDs of requests that are open in the predecessor.
func (p *Proxy) AddSiblingIDs(ids []string) { p.requestIDs.addInPredecessor(ids) }

// GrantID records that the predecessor serves a request, unless a request with the ID is open in this process. It
// reports whether that is so.
func (p *Proxy) GrantID(id string) (granted bool) { return p.requestIDs.grant(id) }
