package balancer

import (
	"slices"

	"canvasroute/internal/balancer/quota"
)

// Snapshot is the learned state of a Balancer, for a process that continues with it. Workers and zones keep their
// numbers. Tenants and kinds are in the order of the configuration, and operations are identified by name. The JSON
// names are those of earlier versions and of state folders.
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

// OperationStats is the learned state of one operation.
type OperationStats struct {
	Name           string   `json:"Name"`
	LongestTimeout Duration `json:"Longest"`
	MeanSize       float64  `json:"Mean"`
	RequestedWork  float64  `json:"Asked"`
	LostWork       float64  `json:"Lost"`
	Arrivals       int      `json:"Landed"`
	MeanRun        float64  `json:"Run"`
	Runs           int      `json:"Runs"`
}

// TenantStats is the recent usage of one tenant and the time at which it was calculated.
type TenantStats struct {
	Usage float64 `json:"Used"`
	At    Time    `json:"At"`
}

// KindStats is the learned state of the slots of one kind of worker. Slots is 0 if there is no estimate.
type KindStats struct {
	Slots       float64 `json:"Slots"`
	MaxObserved float64 `json:"Most"`
	Votes       []int   `json:"Votes"`
}

// ZoneStats is the failure state of one zone.
type ZoneStats struct {
	Failures     int  `json:"Quiet"`
	EjectedUntil Time `json:"At"`
}

// WorkerStats is the learned state of one worker, in addition to its entry in the endpoint list.
type WorkerStats struct {
	ConsecutiveFailures int                `json:"Fails"`
	PossiblyExecuted    bool               `json:"Ruined"` // an attempt that failed there may have run
	ProbeAfter          Time               `json:"TrialAt"`
	NotBefore           Time               `json:"OpenAt"`
	PeerLoads           []SnapshotPeerLoad `json:"Heard"`
	Sends               []SnapshotSend     `json:"Spent"`
}

// SnapshotPeerLoad is the last load that a peer reported for a worker.
type SnapshotPeerLoad struct {
	From       PeerID `json:"From"`
	InFlight   int    `json:"InFlight"`
	ReceivedAt Time   `json:"At"`
}

// SnapshotSend is an amount of work that was sent to a worker at a given time.
type SnapshotSend struct {
	At   Time `json:"At"`
	Work Work `json:"Work"`
}

// Snapshot returns the learned state.
func (p *Picker) Snapshot() (learned Snapshot) {
	p.read(func(b *Balancer) { learned = b.snapshot() })
	return learned
}

func (b *Balancer) snapshot() Snapshot {
	learned := Snapshot{
		Sample:           append([]Work(nil), b.sizes.Sample()...),
		Sampled:          b.sizes.Observed(),
		TotalValue:       b.operations.totalValue,
		FreeSlotRatio:    b.slots.freeSlotRatio,
		UnheardNotBefore: b.gossip.unheardNotBefore,
		Arrivals:         b.loadProbes.arrivals,
	}
	for n := range b.operations.byID {
		learned.Operations = append(learned.Operations, b.operations.byID[n].snapshot())
	}
	for _, usage := range b.tenants.Usage() {
		learned.Tenants = append(learned.Tenants, TenantStats{Usage: usage.Requests, At: usage.At})
	}
	for _, kind := range b.slots.kinds {
		learned.Kinds = append(learned.Kinds, KindStats{
			Slots:       kind.Estimate,
			MaxObserved: kind.MaxObserved,
			Votes:       append([]int(nil), kind.Votes...),
		})
	}
	for n := range b.zones {
		known := &b.zones[n].health
		learned.Zones = append(learned.Zones, ZoneStats{Failures: known.Failures, EjectedUntil: known.EjectedUntil})
	}
	for n := range b.workers {
		learned.Workers = append(learned.Workers, b.workers[n].snapshot())
	}
	return learned
}

func (o *operation) snapshot() OperationStats {
	return OperationStats{
		Name:           o.name,
		LongestTimeout: o.longestTimeout,
		MeanSize:       o.meanSize,
		RequestedWork:  o.requestedWork,
		LostWork:       o.lostWork,
		Arrivals:       o.arrivals,
		MeanRun:        o.meanRun,
		Runs:           o.runs,
	}
}

func (w *worker) snapshot() WorkerStats {
	learned := WorkerStats{
		ConsecutiveFailures: w.health.ConsecutiveFailures,
		PossiblyExecuted:    w.health.PossiblyExecuted,
		ProbeAfter:          w.health.ProbeAfter,
		NotBefore:           w.notBefore,
	}
	for _, known := range w.gossip.peerLoads {
		learned.PeerLoads = append(learned.PeerLoads, SnapshotPeerLoad{
			From: known.from, InFlight: known.inFlight, ReceivedAt: known.receivedAt,
		})
	}
	for _, sent := range w.warmup.sends {
		learned.Sends = append(learned.Sends, SnapshotSend{At: sent.sentAt, Work: sent.work})
	}
	return learned
}

// Restore applies the learned state of another Balancer. It must be called after the first endpoint list and before the
// first request.
func (p *Picker) Restore(learned Snapshot) {
	p.update(func(b *Balancer) { b.restore(learned) })
}

func (b *Balancer) restore(learned Snapshot) {
	b.sizes.Restore(learned.Sample, learned.Sampled)
	b.operations.totalValue = learned.TotalValue
	b.slots.freeSlotRatio = learned.FreeSlotRatio
	b.gossip.unheardNotBefore = learned.UnheardNotBefore
	b.loadProbes = loadProbes{arrivals: learned.Arrivals, nextAt: learned.Arrivals}
	if len(learned.Sample) > 0 {
		b.updateCutPoints()
	}
	for _, stats := range learned.Operations { // the last one wins if several configurations have the same name
		b.operations.restore(stats)
	}
	var usage []quota.Usage
	for _, tenant := range learned.Tenants {
		usage = append(usage, quota.Usage{Requests: tenant.Usage, At: tenant.At})
	}
	b.tenants.Restore(usage)
	for n := range min(len(b.slots.kinds), len(learned.Kinds)) {
		if kind := learned.Kinds[n]; kind.Slots > 0 {
			b.slots.kinds[n].Votes = kind.Votes
			b.slots.kinds[n].MaxObserved = kind.MaxObserved
			b.setSlotEstimate(KindID(n), kind.Slots)
		}
	}
	for n := range min(len(b.zones), len(learned.Zones)) {
		b.zones[n].health.Failures = learned.Zones[n].Failures
		b.zones[n].health.EjectedUntil = learned.Zones[n].EjectedUntil
	}
	for n := range min(len(b.workers), len(learned.Workers)) {
		b.restoreWorker(WorkerID(n), &learned.Workers[n])
	}
}

func (t *operationTable) restore(learned OperationStats) {
	n := slices.IndexFunc(t.byID, func(known operation) bool { return known.name == learned.Name })
	if n < 0 {
		return
	}
	known := &t.byID[n]
	known.longestTimeout = learned.LongestTimeout
	known.meanSize = learned.MeanSize
	known.requestedWork = learned.RequestedWork
	known.lostWork = learned.LostWork
	known.arrivals = learned.Arrivals
	known.meanRun = learned.MeanRun
	known.runs = learned.Runs
}

func (b *Balancer) restoreWorker(id WorkerID, learned *WorkerStats) {
	w := &b.workers[id]
	w.health.ConsecutiveFailures = learned.ConsecutiveFailures
	w.health.PossiblyExecuted = learned.PossiblyExecuted
	w.health.ProbeAfter = learned.ProbeAfter
	w.notBefore = learned.NotBefore
	for _, heard := range learned.PeerLoads {
		b.ReceiveLoad(heard.From, WorkerLoad{Worker: id, InFlight: heard.InFlight})
		w.gossip.peerLoads[len(w.gossip.peerLoads)-1].receivedAt = heard.ReceivedAt
	}
	for _, sent := range learned.Sends {
		w.warmup.sends = append(w.warmup.sends, send{sentAt: sent.At, work: sent.Work, bySibling: true})
	}
}

// Snapshot returns the learned state of each shard.
func (s *Shards) Snapshot() (all []Snapshot) {
	for _, picker := range s.pickers {
		all = append(all, picker.Snapshot())
	}
	return all
}

// RestoreFromDisk applies the learned states of the shards of an earlier process. If that process had a different
// number of shards, each shard gets the state of its first one. It reports whether there was any state.
func (s *Shards) RestoreFromDisk(all []Snapshot) bool {
	if len(all) == 0 {
		return false
	}
	for n, picker := range s.pickers {
		learned := all[0]
		if len(all) == len(s.pickers) {
			learned = all[n]
		}
		picker.Restore(learned)
	}
	return true
}

// RestoreFromPredecessor applies the learned states of the shards of the predecessor. If that process has a different
// number of shards, it does nothing and returns false.
func (s *Shards) RestoreFromPredecessor(all []Snapshot) bool {
	if len(all) != len(s.pickers) {
		return false
	}
	for n, picker := range s.pickers {
		picker.Restore(all[n])
		picker.update(func(b *Balancer) { b.polling.AcceptStaleEndpoints() }) // the predecessor watches the list
	}
	return true
}
