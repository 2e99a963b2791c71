package balancer

import (
	"fmt"
	"hash/fnv"

	"canvasroute/internal/balancer/polling"
	"canvasroute/internal/balancer/quota"
	"canvasroute/internal/balancer/sizeinterval"
)

// maxFirstPosition bounds the round-robin position at which a dispatcher begins. Any number far above that of the
// workers does.
const maxFirstPosition = 1 << 20

// Balancer holds the decisions of one dispatcher. The package comment says how it is driven, and where each rule stands.
// It is not safe for concurrent use: a Picker guards it by its lock.
type Balancer struct {
	effects Effects
	now     Time
	config  derivedConfig
	random  randomSource

	operations operationTable
	tenants    quota.Tenants
	requests   requestTable
	pending    pendingQueue
	workers    []worker // by WorkerID
	zones      []zone   // by ZoneID
	subsetting subsetting
	sizes      sizeinterval.Intervals
	slots      slotEstimates
	warmup     warmup
	polling    polling.Schedule
	gossip     gossip
	loadProbes loadProbes
	due        dueTimes
}

// dueTimes say when the rules have something to do.
type dueTimes struct {
	capacityChanged bool // something has changed that may let a pending request go
	reviewAt        Time // when an open request may need its answer or another attempt
	wakeAt          Time // the wake-up that was requested last, never for none
}

// New returns a Balancer without any endpoints. Equal seeds and equal calls give equal decisions.
func New(config Config, seed uint64, effects Effects) *Balancer {
	b := &Balancer{
		effects: effects,
		config:  newDerivedConfig(config),
		random:  randomSource{seed: seed},
		slots:   newSlotEstimates(config.Kinds),
		gossip:  newGossip(),
		due:     dueTimes{wakeAt: never},
	}
	b.polling = polling.NewSchedule(b.config.polling)
	b.operations = newOperationTable(config)
	for _, tenant := range config.Quotas.Tenants {
		b.tenants.Add(tenant.Name, tenant.Quota*b.config.dispatcherShare)
	}
	for n := range b.subsetting.subsets { // each dispatcher begins its rotations elsewhere
		b.subsetting.subsets[n].roundRobin = int(b.random.next() % maxFirstPosition)
	}
	return b
}

// SetTime sets the current time, which holds until the next call.
func (b *Balancer) SetTime(now Time) { b.now = now }

// WakeFired ends the wait that Effects.Wake requested with the same key. Any other key changes nothing.
func (b *Balancer) WakeFired(key uint64) {
	if Time(key) == b.due.wakeAt {
		b.due.wakeAt = never
	}
}

// reviewBy has the open requests reviewed at a moment at the latest.
func (t *dueTimes) reviewBy(at Time) { t.reviewAt = min(t.reviewAt, at) }

// randomSource draws numbers from a seed.
type randomSource struct {
	seed  uint64
	draws uint64 // so far
}

func (s *randomSource) next() uint64 {
	s.draws++
	hash := fnv.New64a()
	fmt.Fprint(hash, s.seed, "/", s.draws)
	return hash.Sum64()
}
