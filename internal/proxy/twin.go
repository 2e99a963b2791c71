package proxy

import (
	"canvasroute/internal/balancer"
)

// SiblingUpdate is what one process of a dispatcher tells the other during an upgrade, again and again. The two are
// one dispatcher to workers, peers and clients.
type SiblingUpdate struct {
	InFlight          map[string]int           `json:"Loads,omitempty"`  // forwards out, by worker
	RecentSends       map[string]balancer.Work `json:"Spent,omitempty"`  // work sent since it last told, by worker
	Opened            []string                 `json:"Opened,omitempty"` // ids since it last told
	Closed            []string                 `json:"Closed,omitempty"` // ids since it last told
	ClientConnections int                      `json:"Clients"`          // connections that it has, or may still have
	WorkerConnections int                      `json:"Workers"`
}

// SiblingUpdate is what a side is to be told now.
func (r *Proxy) SiblingUpdate(to balancer.SiblingRole) SiblingUpdate {
	t := SiblingUpdate{InFlight: map[string]int{}, RecentSends: map[string]balancer.Work{}}
	for _, l := range r.facade.InFlightFor(to) {
		t.InFlight[r.fleet.id(l.Worker)] = l.InFlight
	}
	now := r.facade.Now()
	for _, s := range r.facade.RecentSendsSince(r.spentTold) {
		t.RecentSends[r.fleet.id(s.Worker)] += s.Work
	}
	r.spentTold = now
	t.Opened, t.Closed = r.ids.news()
	return t
}

// ReceiveSiblingUpdate takes what a side tells.
func (r *Proxy) ReceiveSiblingUpdate(from balancer.SiblingRole, t SiblingUpdate) {
	var loads []balancer.Load
	for id, n := range t.InFlight {
		if w, known := r.fleet.byID(id); known {
			loads = append(loads, balancer.Load{Worker: w, InFlight: n})
		}
	}
	r.facade.UpdateSibling(from, loads)
	var spent []balancer.RecentSend
	for id, work := range t.RecentSends {
		if w, known := r.fleet.byID(id); known {
			spent = append(spent, balancer.RecentSend{Worker: w, Work: work})
		}
	}
	if len(spent) > 0 {
		r.facade.AddRecentSends(spent)
	}
	r.ids.elsewhere(t.Opened, t.Closed)
}

// SiblingGone forgets what a side has told: it has ended.
func (r *Proxy) SiblingGone(from balancer.SiblingRole) {
	r.facade.UpdateSibling(from, nil)
	r.ids.alone()
}

// YieldDatagrams leaves what peers tell, and what they are told, to another process of this dispatcher, or takes it
// back.
func (r *Proxy) YieldDatagrams(yield bool) {
	if r.datagrams != nil {
		r.datagrams.Yield(yield)
	}
}
