package balancer

import (
	"fmt"
	"hash/fnv"

	"canvasroute/internal/balancer/polling"
	"canvasroute/internal/balancer/quota"
	"canvasroute/internal/balancer/sizeinterval"
)

// maxInitialPosition limits the initial round-robin position of a dispatcher. It only has to be far above the number of
// workers.
const maxInitialPosition = 1 << 20

// Balancer makes the decisions of one dispatcher. The package comment describes how to use it, and which file
// implements each rule. It is not safe for concurrent use: a Picker guards it with its lock.
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

// dueTimes holds the times at which rules are due.
type dueTimes struct {
	capacityChanged bool // a change may allow a pending request to be sent
	reviewAt        Time // when an open request may need an answer or another attempt
	wakeAt          Time // time of the last requested wake-up, or never if none is requested
}

// New returns a Balancer without endpoints. The same seed and the same calls result in the same decisions.
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
	for n := range b.subsetting.subsets { // each dispatcher starts its rotations at a different position
		b.subsetting.subsets[n].roundRobin = int(b.random.next() % maxInitialPosition)
	}
	return b
}

// SetTime sets the current time, which remains in effect until the next call.
func (b *Balancer) SetTime(now Time) { b.now = now }

// WakeFired completes the wake-up that was requested by Effects.Wake with the same key. It ignores any other key.
func (b *Balancer) WakeFired(key uint64) {
	if Time(key) == b.due.wakeAt {
		b.due.wakeAt = never
	}
}

// scheduleReview schedules the review of open requests at the given time or earlier.
func (t *dueTimes) scheduleReview(at Time) { t.reviewAt = min(t.reviewAt, at) }

// randomSource generates pseudo-random numbers from a seed.
type randomSource struct {
	seed  uint64
	draws uint64 // count of numbers generated
}

func (s *randomSource) next() uint64 {
	s.draws++
	hash := fnv.New64a()
	fmt.Fprint(hash, s.seed, "/", s.draws)
	return hash.Sum64()
}
