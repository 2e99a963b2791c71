package balancer

import "slices"

// Snapshot is what a Balancer has learned, for a process that goes on with it. Workers and zones keep their numbers;
// tenants and kinds are in the order of the configuration, and operations are known by name.
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

// OperationStats is what was learned of one operation.
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

// TenantStats is the recent usage of one tenant, and when it was reckoned.
type TenantStats struct {
	Usage float64 `json:"Used"`
	At    Time    `json:"At"`
}

// KindStats is what was learned of the slots of a kind of worker; Slots is 0 for nothing.
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

// WorkerStats is what is known of one worker beside its entry in the endpoint list.
type WorkerStats struct {
	ConsecutiveFailures int                `json:"Fails"`
	PossiblyExecuted    bool               `json:"Ruined"` // an attempt that failed there may have run
	ProbeAfter          Time               `json:"TrialAt"`
	NotBefore           Time               `json:"OpenAt"`
	PeerLoads           []SnapshotPeerLoad `json:"Heard"`
	Sends               []SnapshotSend     `json:"Spent"`
}

// SnapshotPeerLoad is what a peer last said of a worker.
type SnapshotPeerLoad struct {
	From       PeerID `json:"From"`
	InFlight   int    `json:"InFlight"`
	ReceivedAt Time   `json:"At"`
}

// SnapshotSend is work that was sent to a worker at a time.
type SnapshotSend struct {
	At   Time `json:"At"`
	Work Work `json:"Work"`
}

// Snapshot is what has been learned here.
func (p *Picker) Snapshot() (learned Snapshot) {
	p.read(func(b *Balancer) { learned = b.snapshot() })
	return learned
}

func (b *Balancer) snapshot() Snapshot {
	learned := Snapshot{
		Sample:           append([]Work(nil), b.sizes.sample...),
		Sampled:          b.sizes.sampled,
		TotalValue:       b.operations.totalValue,
		FreeSlotRatio:    b.slots.freeSlotRatio,
		UnheardNotBefore: b.gossip.unheardNotBefore,
		Arrivals:         b.loadProbes.arrivals,
	}
	for n := range b.operations.byID {
		learned.Operations = append(learned.Operations, b.operations.byID[n].snapshot())
	}
	for _, tenant := range b.quotas.tenants {
		learned.Tenants = append(learned.Tenants, TenantStats{Usage: tenant.usage, At: tenant.usageAt})
	}
	for _, kind := range b.slots.kinds {
		learned.Kinds = append(learned.Kinds, KindStats{
			Slots:       kind.estimate,
			MaxObserved: kind.maxObserved,
			Votes:       append([]int(nil), kind.votes...),
		})
	}
	for _, zone := range b.zones {
		learned.Zones = append(learned.Zones, ZoneStats{Failures: zone.failures, EjectedUntil: zone.ejectedUntil})
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
		ConsecutiveFailures: w.consecutiveFailures,
		PossiblyExecuted:    w.possiblyExecuted,
		ProbeAfter:          w.probeAfter,
		NotBefore:           w.notBefore,
	}
	for _, known := range w.peerLoads {
		learned.PeerLoads = append(learned.PeerLoads, SnapshotPeerLoad{From: known.from, InFlight: known.inFlight, ReceivedAt: known.receivedAt})
	}
	for _, sent := range w.sends {
		learned.Sends = append(learned.Sends, SnapshotSend{At: sent.sentAt, Work: sent.work})
	}
	return learned
}

// Restore goes on with what another Balancer has learned. The endpoints have to be known, and no request may have
// arrived yet.
func (p *Picker) Restore(learned Snapshot) {
	p.update(func(b *Balancer) { b.restore(learned) })
}

func (b *Balancer) restore(learned Snapshot) {
	b.sizes.sample = learned.Sample
	b.sizes.sampled = learned.Sampled
	b.operations.totalValue = learned.TotalValue
	b.slots.freeSlotRatio = learned.FreeSlotRatio
	b.gossip.unheardNotBefore = learned.UnheardNotBefore
	b.loadProbes = loadProbes{arrivals: learned.Arrivals, nextAt: learned.Arrivals}
	if len(b.sizes.sample) > 0 {
		b.updateCutPoints()
	}
	for _, operation := range learned.Operations { // the last one, where there were several configurations of one name
		b.operations.restore(operation)
	}
	for n := range min(len(b.quotas.tenants), len(learned.Tenants)) {
		b.quotas.tenants[n].usage = learned.Tenants[n].Usage
		b.quotas.tenants[n].usageAt = learned.Tenants[n].At
	}
	for n := range min(len(b.slots.kinds), len(learned.Kinds)) {
		if kind := learned.Kinds[n]; kind.Slots > 0 {
			b.slots.kinds[n].votes = kind.Votes
			b.slots.kinds[n].maxObserved = kind.MaxObserved
			b.setSlotEstimate(KindID(n), kind.Slots)
		}
	}
	for n := range min(len(b.zones), len(learned.Zones)) {
		b.zones[n].failures = learned.Zones[n].Failures
		b.zones[n].ejectedUntil = learned.Zones[n].EjectedUntil
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
	worker := &b.workers[id]
	worker.consecutiveFailures = learned.ConsecutiveFailures
	worker.possiblyExecuted = learned.PossiblyExecuted
	worker.probeAfter = learned.ProbeAfter
	worker.notBefore = learned.NotBefore
	for _, heard := range learned.PeerLoads {
		b.ReceiveLoad(heard.From, WorkerLoad{Worker: id, InFlight: heard.InFlight})
		worker.peerLoads[len(worker.peerLoads)-1].receivedAt = heard.ReceivedAt
	}
	for _, sent := range learned.Sends {
		worker.sends = append(worker.sends, send{sentAt: sent.At, work: sent.Work, bySibling: true})
	}
}

// Snapshot is what each shard has learned.
func (s *Shards) Snapshot() (all []Snapshot) {
	for _, picker := range s.pickers {
		all = append(all, picker.Snapshot())
	}
	return all
}

// RestoreFromDisk goes on with what the shards of an earlier process have learned, where that had another number of
// shards each with what the first one had. It returns false for nothing learned.
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

// RestoreFromPredecessor goes on with what the shards of the predecessor have learned. It does nothing and returns false
// where that has another number of shards.
func (s *Shards) RestoreFromPredecessor(all []Snapshot) bool {
	if len(all) != len(s.pickers) {
		return false
	}
	for n, picker := range s.pickers {
		picker.Restore(all[n])
		picker.update(func(b *Balancer) { b.discovery.endpointsStale = false }) // the predecessor watches the list
	}
	return true
}
