package balancer

import (
	"slices"

	"canvasroute/internal/balancer/quota"
)

// Snapshot is the learned state of a Balancer, for a process that continues with it. Workers and zones keep their IDs.
// Tenants and kinds are in the order of the configuration, and operations are identified by name. The JSON names are
// those of earlier versions and of state folders.
type Snapshot struct {
	Operations []OperationStats `json:"Operations"`
	Tenants    []TenantStats    `json:"Customers"`
	Kinds      []KindStats      `json:"Kinds"`
	Zones      []ZoneStats      `json:"Zones"`
	Workers    []WorkerStats    `json:"Workers"`

	Sample              []Work  `json:"Sample"`
	ObservedSizes       int     `json:"Sampled"`
	TotalValue          float64 `json:"Worth"`
	FreeSlotRatio       float64 `json:"Luck"`
	UnreportedNotBefore Time    `json:"BlindAt"`
	Arrivals            int     `json:"Landings"`
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
func (p *Picker) Snapshot() (state Snapshot) {
	p.read(func(b *Balancer) { state = b.snapshot() })
	return state
}

func (b *Balancer) snapshot() Snapshot {
	state := Snapshot{
		Sample:              append([]Work(nil), b.sizes.Sample()...),
		ObservedSizes:       b.sizes.Observed(),
		TotalValue:          b.operations.totalValue,
		FreeSlotRatio:       b.slots.freeSlotRatio,
		UnreportedNotBefore: b.gossip.unreportedNotBefore,
		Arrivals:            b.loadProbes.arrivals,
	}
	for n := range b.operations.byID {
		state.Operations = append(state.Operations, b.operations.byID[n].snapshot())
	}
	for _, usage := range b.tenants.Usage() {
		state.Tenants = append(state.Tenants, TenantStats{Usage: usage.Requests, At: usage.At})
	}
	for _, kind := range b.slots.kinds {
		state.Kinds = append(state.Kinds, KindStats{
			Slots:       kind.Estimate,
			MaxObserved: kind.MaxObserved,
			Votes:       append([]int(nil), kind.Votes...),
		})
	}
	for n := range b.zones {
		zoneHealth := &b.zones[n].health
		state.Zones = append(state.Zones, ZoneStats{Failures: zoneHealth.Failures, EjectedUntil: zoneHealth.EjectedUntil})
	}
	for n := range b.workers {
		state.Workers = append(state.Workers, b.workers[n].snapshot())
	}
	return state
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
	state := WorkerStats{
		ConsecutiveFailures: w.health.ConsecutiveFailures,
		PossiblyExecuted:    w.health.PossiblyExecuted,
		ProbeAfter:          w.health.ProbeAfter,
		NotBefore:           w.notBefore,
	}
	for _, reported := range w.gossip.peerLoads {
		state.PeerLoads = append(state.PeerLoads, SnapshotPeerLoad{
			From: reported.from, InFlight: reported.inFlight, ReceivedAt: reported.receivedAt,
		})
	}
	for _, sent := range w.warmup.sends {
		state.Sends = append(state.Sends, SnapshotSend{At: sent.sentAt, Work: sent.work})
	}
	return state
}

// Restore applies the learned state of another Balancer. It must be called after the first endpoint list and before the
// first request.
func (p *Picker) Restore(state Snapshot) {
	p.update(func(b *Balancer) { b.restore(state) })
}

func (b *Balancer) restore(state Snapshot) {
	b.sizes.Restore(state.Sample, state.ObservedSizes)
	b.operations.totalValue = state.TotalValue
	b.slots.freeSlotRatio = state.FreeSlotRatio
	b.gossip.unreportedNotBefore = state.UnreportedNotBefore
	b.loadProbes = loadProbes{arrivals: state.Arrivals, nextProbeAt: state.Arrivals}
	if len(state.Sample) > 0 {
		b.updateCutPoints()
	}
	for _, stats := range state.Operations { // if several have the same name, the last one applies
		b.operations.restore(stats)
	}
	var usage []quota.Usage
	for _, tenant := range state.Tenants {
		usage = append(usage, quota.Usage{Requests: tenant.Usage, At: tenant.At})
	}
	b.tenants.Restore(usage)
	for n := range min(len(b.slots.kinds), len(state.Kinds)) {
		if kind := state.Kinds[n]; kind.Slots > 0 {
			b.slots.kinds[n].Votes = kind.Votes
			b.slots.kinds[n].MaxObserved = kind.MaxObserved
			b.setSlotEstimate(KindID(n), kind.Slots)
		}
	}
	for n := range min(len(b.zones), len(state.Zones)) {
		b.zones[n].health.Failures = state.Zones[n].Failures
		b.zones[n].health.EjectedUntil = state.Zones[n].EjectedUntil
	}
	for n := range min(len(b.workers), len(state.Workers)) {
		b.restoreWorker(WorkerID(n), &state.Workers[n])
	}
}

func (t *operationTable) restore(stats OperationStats) {
	n := slices.IndexFunc(t.byID, func(op operation) bool { return op.name == stats.Name })
	if n < 0 {
		return
	}
	op := &t.byID[n]
	op.longestTimeout = stats.LongestTimeout
	op.meanSize = stats.MeanSize
	op.requestedWork = stats.RequestedWork
	op.lostWork = stats.LostWork
	op.arrivals = stats.Arrivals
	op.meanRun = stats.MeanRun
	op.runs = stats.Runs
}

func (b *Balancer) restoreWorker(id WorkerID, stats *WorkerStats) {
	w := &b.workers[id]
	w.health.ConsecutiveFailures = stats.ConsecutiveFailures
	w.health.PossiblyExecuted = stats.PossiblyExecuted
	w.health.ProbeAfter = stats.ProbeAfter
	w.notBefore = stats.NotBefore
	for _, reported := range stats.PeerLoads {
		b.ReceiveLoad(reported.From, WorkerLoad{Worker: id, InFlight: reported.InFlight})
		w.gossip.peerLoads[len(w.gossip.peerLoads)-1].receivedAt = reported.ReceivedAt
	}
	for _, sent := range stats.Sends {
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
// number of shards, each shard gets the state of that process's first shard. It reports whether there was any state.
func (s *Shards) RestoreFromDisk(all []Snapshot) bool {
	if len(all) == 0 {
		return false
	}
	for n, picker := range s.pickers {
		state := all[0]
		if len(all) == len(s.pickers) {
			state = all[n]
		}
		picker.Restore(state)
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
