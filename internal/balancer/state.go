package balancer

import (
	"fmt"
	"hash/fnv"
	"iter"
)

type operation struct {
	latencyObjective, dedupWindow, longestTimeout, retryAfter     Time    // longest: the longest grace seen, a first try's
	lateShare                                                     float64 // the share of its billed value that a late answer earns
	value, meanSize, valueDensity, requestedWork, lostWork, slack float64 // mean: of the sizes landed
	arrivals, runs                                                int
	meanRun                                                       float64 // how long what succeeded took, a running mean
	idempotency                                                   Idempotency
	name                                                          string
	dedupScope                                                    DedupScope
	kind                                                          KindID
}

func newOperation(t Config, o OperationConfig) operation {
	op := operation{
		latencyObjective: o.LatencyObjective, slack: max(o.Stretch-1, 0), dedupWindow: o.DedupWindow, name: o.Name,
		value: o.Value, idempotency: o.Idempotency, dedupScope: o.DedupScope, kind: o.Kind, lateShare: o.LateShare,
	}
	if t.RetryAfter && o.LateShare > 0 { // a late answer still earns: better after the crush than soon
		op.retryAfter = t.MaxRetryAfter
	}
	return op
}

// latestWaitedStart is until when an invocation waits for its start: as long as that may keep the latency objective. Where nothing
// tells which workers have room, that none has it now says little: a client that comes again waits as long as one
// that comes first, if a late answer earns something.
func (d *Balancer) latestWaitedStart(op OperationID, latest Time) Time {
	if o := &d.operations.byID[op]; o.lateShare > 0 && !d.config.gossip && d.config.reportFree < 0 {
		return max(latest, d.now+o.latencyObjective)
	}
	return latest
}

type attempt struct {
	worker               WorkerID
	sentAt, startedAt    Time
	deliveredAt          Time // when its worker was heard to have it, 0 before that
	inFlight, mayHaveRun bool // ran: it is over and may have run
}

type request struct {
	operation                OperationID
	closed                   bool
	quotaWeight              float64 // less than 1 beyond its customer's share
	latestStart, deadline    Time    // the last start that may keep the latency objective, the last final answer
	latestWaitedStart        Time    // the last start that is waited for: later than latest where a late answer earns
	late                     bool    // it is worth what a late answer earns
	size                     Work
	interval                 int
	attempts                 []attempt
	inFlight, spentElsewhere int  // beyond: forwards allowed since it landed, and not to it
	queued                   bool // it waits for a worker
	openIndex                int  // in what is open
}

// The parts of a dispatcher: one a lane, that of all lanes, and the whole ring.
const (
	bothIntervals = intervals + iota
	wholeRing
	subsetCount
)

// Balancer decides for one instance.
type Balancer struct {
	effects Effects
	now     Time
	config  derivedConfig
	random  randomSource

	operations operationTable
	quotas     quotas
	requests   openRequests
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

type randomSource struct{ seed, draws uint64 }

type operationTable struct {
	byID       []operation
	worst      OperationID // the one that lost the largest share
	totalValue float64
}

type quotas struct{ tenants []tenant }

type tenant struct {
	name    string
	quota   float64 // landings a second here that count in full
	usage   float64 // landings, the older the less
	usageAt Time
}

type pendingQueue struct{ ids []RequestID }

type subsetting struct {
	ring    []WorkerID // those listed, by hash
	subsets [subsetCount]subset
}

type sizeIntervals struct {
	sample    []Work
	sampled   int
	median    Work
	cutPoints []Work
}

type slotEstimates struct {
	kinds         []kindSlots
	freeSlotRatio float64 // share of late reports with a slot free
}

type kindSlots struct {
	estimate, maxObserved float64 // slots believed, and the most seen at work
	votes                 []int   // by load: starts at once less waits
}

type warmup struct {
	fleetRestartAt Time    // since when this one is back, where all lost power
	firstTries     int     // of landings: those of a client's first try
	warmCapacity   float64 // warm workers that all who are healthy are worth together
	warmCapacityAt Time    // since when that was so
}

type discovery struct {
	watching, answered bool // the list is followed; it has been, since the start
	watchingSince      Time // since when
	failedPolls        int
	consecutiveBusy    int  // calls in a row that were turned away after a wait: there are too many
	retrySpeedup       Time // 2 after a watch that fell silent and was given up some time later, else 1
	endpointsStale     bool // the list is from before the start, and no call for it has ended
	nextPoll           Time
}

type gossip struct {
	seniorPeers, juniorPeers []bool // by Peer: it has lived longer than we; it has not
	changedLoads             []WorkerID
	sendLoadsAt, resendAt    Time
	resendInterval           Time // between messages that repeat, a mean run
	unheardNotBefore         Time // no forward before it to workers that peers do not tell of
}

type loadProbes struct {
	arrivals, nextAt int // nextAt: the count of landings
}

type dueTimes struct {
	capacityChanged  bool // something has changed that may let a held invocation go
	reviewAt, wakeAt Time
}

// New makes a dispatcher, which has no list yet.
func New(t Config, seed uint64, link Effects) *Balancer {
	d := &Balancer{effects: link, config: newDerivedConfig(t)}
	d.random.seed = seed
	d.operations.worst = -1
	d.slots.freeSlotRatio = 1
	d.gossip.sendLoadsAt = never
	d.gossip.resendInterval = 2 * Second
	d.due.wakeAt = never
	d.discovery.retrySpeedup = 1
	for _, o := range t.Operations {
		d.operations.byID = append(d.operations.byID, newOperation(t, o))
	}
	for _, c := range t.Tenants {
		d.quotas.tenants = append(d.quotas.tenants, tenant{name: c.Name, quota: c.Quota * d.config.dispatcherShare})
	}
	for range t.Kinds {
		d.slots.kinds = append(d.slots.kinds, kindSlots{estimate: initialSlots, maxObserved: 1})
	}
	for p := range d.subsetting.subsets {
		d.subsetting.subsets[p].roundRobin = int(d.nextRandom() % (1 << 20))
	}
	return d
}

// recordPeerAge takes what a peer's message tells of its age: news of forwards out, or that it has just started.
func (d *Balancer) recordPeerAge(from PeerID, started bool) {
	if short := int(from) + 1 - len(d.gossip.seniorPeers); short > 0 {
		d.gossip.seniorPeers, d.gossip.juniorPeers = append(d.gossip.seniorPeers, make([]bool, short)...), append(d.gossip.juniorPeers, make([]bool, short)...)
	}
	d.gossip.juniorPeers[from] = d.gossip.juniorPeers[from] || started
	d.gossip.seniorPeers[from] = !d.gossip.juniorPeers[from]
}

// subsetPeers goes through the other dispatchers that have a worker in their part.
func (d *Balancer) subsetPeers(w WorkerID) iter.Seq[PeerID] {
	return func(yield func(PeerID) bool) {
		for p := d.workers[w].subsetPeerRange[0]; p < d.workers[w].subsetPeerRange[1]; p++ {
			if peer := p % d.config.dispatchers; peer != d.config.position && !yield(PeerID(peer)) {
				return
			}
		}
	}
}

// nextRandom is the next figure drawn from the seed.
func (d *Balancer) nextRandom() uint64 {
	d.random.draws++
	h := fnv.New64a()
	fmt.Fprint(h, d.random.seed, "/", d.random.draws)
	return h.Sum64()
}
