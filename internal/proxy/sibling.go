package proxy

import "canvasroute/internal/balancer"

// SiblingUpdate is what the two processes of a dispatcher send each other at short intervals during a hot restart. To
// workers, peers and clients they are one dispatcher.
type SiblingUpdate struct {
	InFlight          map[string]int           `json:"Loads,omitempty"`  // attempts in flight, by the worker's ID
	RecentSends       map[string]balancer.Work `json:"Spent,omitempty"`  // work sent since the last update, by the worker's ID
	Opened            []string                 `json:"Opened,omitempty"` // request IDs opened since the last update
	Closed            []string                 `json:"Closed,omitempty"` // request IDs closed since the last update
	ClientConnections int                      `json:"Clients"`          // that it has, or may still have
	WorkerConnections int                      `json:"Workers"`          // that it has, or may still have
}

// SiblingUpdate returns what is to be sent to the sibling process now, without the numbers of connections. Each call
// continues where the last one ended; calls must not overlap.
func (p *Proxy) SiblingUpdate(to balancer.SiblingRole) SiblingUpdate {
	u := SiblingUpdate{InFlight: p.inFlightFor(to), RecentSends: map[string]balancer.Work{}}
	now := p.balancer.Now()
	for _, send := range p.balancer.RecentSendsSince(p.sendsReportedAt) {
		u.RecentSends[p.endpoints.Endpoint(send.Worker).ID] += send.Work
	}
	p.sendsReportedAt = now
	u.Opened, u.Closed = p.requestIDs.changes()
	return u
}

// ReceiveSiblingUpdate applies an update of the sibling process. Workers that are not listed here are left out.
func (p *Proxy) ReceiveSiblingUpdate(from balancer.SiblingRole, u SiblingUpdate) {
	p.balancer.UpdateSibling(from, p.workerLoads(u.InFlight))
	if sends := p.recentSends(u.RecentSends); len(sends) > 0 {
		p.balancer.AddRecentSends(sends)
	}
	p.requestIDs.applySibling(u.Opened, u.Closed)
}

// workerLoads returns attempts in flight by worker ID in the balancer's terms, without those at unknown workers.
func (p *Proxy) workerLoads(inFlight map[string]int) []balancer.WorkerLoad {
	var loads []balancer.WorkerLoad
	for id, count := range inFlight {
		if worker, known := p.endpoints.WorkerByID(id); known {
			loads = append(loads, balancer.WorkerLoad{Worker: worker, InFlight: count})
		}
	}
	return loads
}

// recentSends returns the work sent by worker ID in the balancer's terms, without that sent to unknown workers.
func (p *Proxy) recentSends(sent map[string]balancer.Work) []balancer.RecentSend {
	var sends []balancer.RecentSend
	for id, work := range sent {
		if worker, known := p.endpoints.WorkerByID(id); known {
			sends = append(sends, balancer.RecentSend{Worker: worker, Work: work})
		}
	}
	return sends
}

// ForgetSibling forgets what the sibling process had in flight, as it has ended.
func (p *Proxy) ForgetSibling(from balancer.SiblingRole) {
	p.balancer.UpdateSibling(from, nil)
	p.requestIDs.forgetSibling()
}
