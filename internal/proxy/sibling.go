package proxy

import (
	"canvasroute/internal/balancer"
)

// SiblingUpdate is what the two processes of a dispatcher send each other again and again during a hot restart. To
// workers, peers and clients they are one dispatcher.
type SiblingUpdate struct {
	InFlight          map[string]int           `json:"Loads,omitempty"`  // attempts in flight, by the worker's ID
	RecentSends       map[string]balancer.Work `json:"Spent,omitempty"`  // work sent since the last update, by the worker's ID
	Opened            []string                 `json:"Opened,omitempty"` // request IDs opened since the last update
	Closed            []string                 `json:"Closed,omitempty"` // request IDs closed since the last update
	ClientConnections int                      `json:"Clients"`          // that it has, or may still have
	WorkerConnections int                      `json:"Workers"`
}

// SiblingUpdate returns what the sibling process is to be sent now, without the numbers of connections. Each call
// continues where the last one ended.
func (p *Proxy) SiblingUpdate(to balancer.SiblingRole) SiblingUpdate {
	u := SiblingUpdate{InFlight: map[string]int{}, RecentSends: map[string]balancer.Work{}}
	for _, load := range p.balancer.InFlightFor(to) {
		u.InFlight[p.endpoints.Endpoint(load.Worker).ID] = load.InFlight
	}
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
	var loads []balancer.WorkerLoad
	for id, inFlight := range u.InFlight {
		if worker, known := p.endpoints.ByID(id); known {
			loads = append(loads, balancer.WorkerLoad{Worker: worker, InFlight: inFlight})
		}
	}
	p.balancer.UpdateSibling(from, loads)
	var sends []balancer.RecentSend
	for id, work := range u.RecentSends {
		if worker, known := p.endpoints.ByID(id); known {
			sends = append(sends, balancer.RecentSend{Worker: worker, Work: work})
		}
	}
	if len(sends) > 0 {
		p.balancer.AddRecentSends(sends)
	}
	p.requestIDs.applySibling(u.Opened, u.Closed)
}

// ForgetSibling forgets what the sibling process had in flight, as it has ended.
func (p *Proxy) ForgetSibling(from balancer.SiblingRole) {
	p.balancer.UpdateSibling(from, nil)
	p.requestIDs.forgetSibling()
}
