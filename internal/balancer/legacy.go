package balancer

import "slices"

// Snapshot is what a dispatcher has learnt, for a successor that goes on with it. Workers and zones keep their
// numbers; operations, customers and kinds stand in the order of the successor's terms, with nothing learnt
// of new ones.
type Snapshot struct {
	Operations []OperationStats `json:"Operations"`
	Tenants    []TenantStats    `json:"Customers"`
	Kinds      []KindStats      `json:"Kinds"`
	Zones      []ZoneStats      `json:"Zones"`
	Workers    []WorkerStats    `json:"Workers"`

	Sample           []Work  `json:"Sample"`
	Sampled          int     `json:"Sampled"`
	TotalValue       float64 `json:"Worth"`
	FreeSlotRatio    float64 `json:"Luck"`
	UnheardNotBefore Time    `json:"BlindAt"`
	Arrivals         int     `json:"Landings"`
}

// OperationStats is what was learnt of one operation.
type OperationStats struct {
	Name           string  `json:"Name"`
	LongestTimeout Time    `json:"Longest"`
	MeanSize       float64 `json:"Mean"`
	RequestedWork  float64 `json:"Asked"`
	LostWork       float64 `json:"Lost"`
	Arrivals       int     `json:"Landed"`
	MeanRun        float64 `json:"Run"`
	Runs           int     `json:"Runs"`
}

// TenantStats is the traffic of one customer here.
type TenantStats struct {
	Usage float64 `json:"Used"`
	At    Time    `json:"At"`
}

// KindStats is what was learnt of the slots of a kind; Slots is 0 for nothing.
type KindStats struct {
	Slots       float64 `json:"Slots"`
	MaxObserved float64 `json:"Most"`
	Votes       []int   `json:"Votes"`
}

// ZoneStats is what failures have shown of one zone.
type ZoneStats struct {
	Failures     int  `json:"Quiet"`
	EjectedUntil Time `json:"At"`
}

// WorkerStats is what is known of one worker beside the list.
type WorkerStats struct {
	ConsecutiveFailures int        `json:"Fails"`
	PossiblyExecuted    bool       `json:"Ruined"` // what failed may have run
	ProbeAfter          Time       `json:"TrialAt"`
	NotBefore           Time       `json:"OpenAt"`
	PeerLoads           []PeerLoad `json:"Heard"`
	Sends               []SentWork `json:"Spent"`
}

// PeerLoad is what a peer last told of a worker.
type PeerLoad struct {
	From       PeerID `json:"From"`
	InFlight   int    `json:"InFlight"`
	ReceivedAt Time   `json:"At"`
}

// SentWork is work sent to a worker at a time.
type SentWork struct {
	At   Time `json:"At"`
	Work Work `json:"Work"`
}

// Snapshot is what was learnt here.
func (f *Picker) Snapshot() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.balancer
	l := Snapshot{
		Sample: append([]Work(nil), d.sizes.sample...), Sampled: d.sizes.sampled, TotalValue: d.operations.totalValue, FreeSlotRatio: d.slots.freeSlotRatio,
		UnheardNotBefore: d.gossip.unheardNotBefore, Arrivals: d.loadProbes.arrivals,
	}
	for _, o := range d.operations.byID {
		l.Operations = append(l.Operations, OperationStats{
			o.name, o.longestTimeout, o.meanSize, o.requestedWork, o.lostWork, o.arrivals,
			o.meanRun, o.runs,
		})
	}
	for c := range d.quotas.tenants {
		l.Tenants = append(l.Tenants, TenantStats{d.quotas.tenants[c].usage, d.quotas.tenants[c].usageAt})
	}
	for k := range d.slots.kinds {
		l.Kinds = append(l.Kinds, KindStats{d.slots.kinds[k].estimate, d.slots.kinds[k].maxObserved, append([]int(nil), d.slots.kinds[k].votes...)})
	}
	for z := range d.zones {
		l.Zones = append(l.Zones, ZoneStats{d.zones[z].failures, d.zones[z].ejectedUntil})
	}
	for w := range d.workers {
		learnt := WorkerStats{ConsecutiveFailures: d.workers[w].consecutiveFailures, PossiblyExecuted: d.workers[w].possiblyExecuted, ProbeAfter: d.workers[w].probeAfter, NotBefore: d.workers[w].notBefore}
		for _, h := range d.workers[w].peerLoads {
			learnt.PeerLoads = append(learnt.PeerLoads, PeerLoad{h.from, h.inFlight, h.receivedAt})
		}
		for _, s := range d.workers[w].sends {
			learnt.Sends = append(learnt.Sends, SentWork{s.sentAt, s.work})
		}
		l.Workers = append(l.Workers, learnt)
	}
	return l
}

// Restore goes on with what a predecessor has learnt. The list has to be known, and nothing may have landed
// yet.
func (f *Picker) Restore(l Snapshot) {
	f.update(func(d *Balancer) { d.restore(l) })
}

func (d *Balancer) restore(l Snapshot) {
	d.sizes.sample, d.sizes.sampled, d.operations.totalValue, d.slots.freeSlotRatio = l.Sample, l.Sampled, l.TotalValue, l.FreeSlotRatio
	d.gossip.unheardNotBefore, d.loadProbes.arrivals, d.loadProbes.nextAt = l.UnheardNotBefore, l.Arrivals, l.Arrivals
	if len(d.sizes.sample) > 0 {
		d.updateCutPoints()
	}
	for _, was := range l.Operations { // of one with other terms before, the last
		o := slices.IndexFunc(d.operations.byID, func(o operation) bool { return o.name == was.Name })
		if o < 0 {
			continue
		}
		op := &d.operations.byID[o]
		op.longestTimeout, op.meanSize, op.requestedWork, op.lostWork, op.arrivals = was.LongestTimeout, was.MeanSize, was.RequestedWork, was.LostWork, was.Arrivals
		op.meanRun, op.runs = was.MeanRun, was.Runs
	}
	for c := range d.quotas.tenants[:min(len(d.quotas.tenants), len(l.Tenants))] {
		d.quotas.tenants[c].usage, d.quotas.tenants[c].usageAt = l.Tenants[c].Usage, l.Tenants[c].At
	}
	for k := range d.slots.kinds[:min(len(d.slots.kinds), len(l.Kinds))] {
		if was := l.Kinds[k]; was.Slots > 0 {
			d.slots.kinds[k].votes, d.slots.kinds[k].maxObserved = was.Votes, was.MaxObserved
			d.setSlots(KindID(k), was.Slots)
		}
	}
	for z := range d.zones[:min(len(d.zones), len(l.Zones))] {
		d.zones[z].failures, d.zones[z].ejectedUntil = l.Zones[z].Failures, l.Zones[z].EjectedUntil
	}
	for w := range d.workers[:min(len(d.workers), len(l.Workers))] {
		d.restoreWorker(WorkerID(w), l.Workers[w])
	}
}

func (d *Balancer) restoreWorker(w WorkerID, was WorkerStats) {
	d.workers[w].consecutiveFailures, d.workers[w].probeAfter, d.workers[w].notBefore = was.ConsecutiveFailures, was.ProbeAfter, was.NotBefore
	d.workers[w].possiblyExecuted = was.PossiblyExecuted
	for _, h := range was.PeerLoads {
		d.ReceiveLoad(h.From, Load{w, h.InFlight})
		d.workers[w].peerLoads[len(d.workers[w].peerLoads)-1].receivedAt = h.ReceivedAt
	}
	for _, s := range was.Sends {
		d.workers[w].sends = append(d.workers[w].sends, send{sentAt: s.At, work: s.Work, bySibling: true})
	}
}

// Snapshot is what each instance has learnt.
func (s *Shards) Snapshot() (all []Snapshot) {
	for _, f := range s.pickers {
		all = append(all, f.Snapshot())
	}
	return all
}

// RestoreFromDisk goes on with what the instances of an earlier life have learnt; with other instances, each with what
// the first one had.
func (s *Shards) RestoreFromDisk(all []Snapshot) bool {
	if len(all) == 0 {
		return false
	}
	for n, f := range s.pickers {
		l := all[0]
		if len(all) == len(s.pickers) {
			l = all[n]
		}
		f.Restore(l)
	}
	return true
}

// RestoreFromPredecessor goes on with what a predecessor's instances have learnt; it does nothing where they were not as
// many.
func (s *Shards) RestoreFromPredecessor(all []Snapshot) bool {
	if len(all) != len(s.pickers) {
		return false
	}
	for n, f := range s.pickers {
		f.Restore(all[n])
		f.update(func(d *Balancer) { d.discovery.endpointsStale = false }) // the list is the predecessor's, who follows it
	}
	return true
}
