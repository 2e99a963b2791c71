package balancer

import (
	"fmt"
	"hash/fnv"
	"math"
)

// never is a moment that does not come.
const never = Time(math.MaxInt64)

// forever is a span that does not end.
const forever = Duration(math.MaxInt64)

// learningRate is the weight of a new sample in a running mean.
const learningRate = 0.2

// Balancer holds the decisions of one dispatcher. The package comment tells how it is driven.
type Balancer struct {
	effects Effects
	now     Time
	config  derivedConfig
	random  randomSource

	operations operationTable
	quotas     quotas
	requests   requestTable
	pending    pendingQueue
	workers    []worker // by WorkerID
	zones      []zone   // by ZoneID
	subsetting subsetting
	sizes      sizeIntervals
	slots      slotEstimates
	warmup     warmup
	discovery  discovery
	gossip     gossip
	loadProbes loadProbes
	due        dueTimes
}

// dueTimes tell when the rules have something to do.
type dueTimes struct {
	capacityChanged bool // something has changed that may let a pending request go
	reviewAt        Time // when an open request may need its answer or another attempt
	wakeAt          Time // the wake-up that was requested last, never for none
}

// New makes a Balancer without any endpoints. Equal seeds and equal calls give equal decisions.
func New(config Config, seed uint64, effects Effects) *Balancer {
	b := &Balancer{
		effects:   effects,
		config:    newDerivedConfig(config),
		random:    randomSource{seed: seed},
		slots:     newSlotEstimates(config.Kinds),
		discovery: discovery{retrySpeedup: 1},
		gossip:    newGossip(),
		due:       dueTimes{wakeAt: never},
	}
	b.operations = newOperationTable(config)
	b.quotas = newQuotas(config.Tenants, b.config.dispatcherShare)
	for n := range b.subsetting.subsets { // each dispatcher begins its rotations elsewhere
		b.subsetting.subsets[n].roundRobin = int(b.random.next() % (1 << 20))
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
type randomSource struct{ seed, draws uint64 }

func (s *randomSource) next() uint64 {
	s.draws++
	hash := fnv.New64a()
	fmt.Fprint(hash, s.seed, "/", s.draws)
	return hash.Sum64()
}
