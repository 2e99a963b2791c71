package balancer

import (
	"fmt"
	"hash/fnv"
	"iter"
	"slices"
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
	if o := &d.operations[op]; o.lateShare > 0 && !d.gossip && d.reportFree < 0 {
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

type send struct {
	sentAt    Time
	work      Work
	bySibling bool // by another process of this dispatcher
}

// peerLoad is what a peer last told of a worker.
type peerLoad struct {
	from       PeerID
	inFlight   int
	receivedAt Time
}

// The parts of a dispatcher: one a lane, that of all lanes, and the whole ring.
const (
	bothIntervals = intervals + iota
	wholeRing
	subsetCount
)

// Balancer decides for one instance.
type Balancer struct {
	effects     Effects
	now         Time
	seed, draws uint64

	// Figures derived at the start.
	operations                                     []operation
	zone                                           ZoneID
	dispatcherShare, initialWarmup, overloadFactor float64
	overQuotaShare, crossZoneCost                  float64
	warmupUnit                                     float64 // the work that one part of a cold worker's budget should hold
	margin, maxPollInterval, pollSpread            Time    // spread: over which the dispatchers' calls for the list are spread
	firstPollSpread, maxRetryPoll                  Time    // of first calls; the longest wait after a call that failed
	deliveryNotices                                bool    // the network tells when a worker has a forward
	awaitFirstPoll                                 bool    // nothing is sent by a list from before the start, until a call has ended
	warmupDuration, warmupWindow, patience         Time
	maxAttempts, subsetSize                        int
	position, dispatchers                          int
	resendInterval                                 Time // between messages that repeat, a mean run
	pollEndpoints, cancellation, hedging           bool
	worstOperation                                 OperationID // the one that lost the largest share
	totalValue, worstOperationWeight               float64     // half its weight: losses come bunched, and weigh on a stretch too
	valuePerRequest                                float64     // 1 if billed value is for each invocation, 0 if for work
	probes, gossip, startNotices                   bool
	reportInFlight, reportQueue, reportFree        int
	quota                                          []float64 // by Customer: landings a second here that count in full

	// What is open, and which of it waits for a worker.
	requests      []request
	open          openRequests
	pending       []RequestID
	tenants       []string  // their names
	tenantUsage   []float64 // by Customer: landings, the older the less
	tenantUsageAt []Time

	// Figures about workers, by WorkerID.
	hash                                                   []uint64
	workerZone                                             []ZoneID
	kind                                                   []KindID
	cell                                                   []CellID
	state                                                  []WorkerState
	startedAt, probeAfter, notBefore                       []Time // nothing goes there before: after a failure, in a queue
	exitedAt, respondedAt                                  []Time // when a process was seen to have ended, and the next one heard
	inFlight, unstarted, peerInFlight, consecutiveFailures []int
	possiblyExecuted                                       []bool // what failed there since the last success may have run
	verifiedSize                                           []Work // the largest that it has done at the pace of a warm one
	sentLoad                                               []int  // what peers last were told
	sends                                                  [][]send
	credit                                                 []float64  // forwards that a cold one may get now from here, without messages
	creditCount                                            []int      // the count of firsts at which it was reckoned
	earnsCredit                                            []bool     // it is reckoned, since the start that the list tells of
	ring                                                   []WorkerID // those listed, by hash

	seniorPeers, juniorPeers []bool // by Peer: it has lived longer than we; it has not
	fleetRestartAt           Time   // since when this one is back, where all lost power

	zoneFailures     []int  // by Zone: forwards in a row that broke or found nobody there
	zoneEjectedUntil []Time // by Zone: nothing goes there before it
	deliveryTime     []Time // by Zone: until a worker there was heard to have what was sent, a running mean

	peerLoads       [][]peerLoad
	subsetPeerRange [][2]int // the peers to be told: from, to, round the number of them
	subsets         [subsetCount][]WorkerID
	availability    [subsetCount]availability

	slots, maxObserved []float64 // by Kind: slots believed, and the most seen at work
	votes              [][]int   // by Kind and load: starts at once less waits

	// Lanes.
	sample     []Work
	sampled    int
	median     Work
	cutPoints  []Work
	roundRobin [subsetCount]int

	// When rules are due.
	capacityChanged                bool // something has changed that may let a held invocation go
	reviewAt, sendLoadsAt          Time
	resendAt, nextPoll, wakeAt     Time
	freeSlotRatio                  float64 // share of late reports with a slot free
	unheardNotBefore               Time    // no forward before it to workers that peers do not tell of
	watching, answered             bool    // the list is followed; it has been, since the start
	consecutiveBusy                int     // calls in a row that were turned away after a wait: there are too many
	retrySpeedup                   Time    // 2 after a watch that fell silent and was given up some time later, else 1
	endpointsStale                 bool    // the list is from before the start, and no call for it has ended
	watchingSince                  Time    // since when
	failedPolls, arrivals, probeAt int     // probeAt: the count of landings
	firstTries                     int     // of landings: those of a client's first try
	warmCapacity                   float64 // warm workers that all who are healthy are worth together
	warmCapacityAt                 Time    // since when that was so
	changedLoads                   []WorkerID
}

// New makes a dispatcher, which has no list yet.
func New(t Config, seed uint64, link Effects) *Balancer {
	d := &Balancer{
		effects: link, seed: seed, zone: t.Zone, dispatcherShare: 1 / float64(t.Dispatchers),
		initialWarmup: t.InitialWarmup, overloadFactor: t.OverloadFactor, warmupDuration: t.WarmupDuration, warmupWindow: t.WarmupWindow,
		crossZoneCost: t.CrossZoneCost, overQuotaShare: t.OverQuotaShare, margin: 2*t.Granularity + Second/1000,
		maxPollInterval: t.MaxPollInterval, maxAttempts: t.MaxAttempts, pollEndpoints: t.PollEndpoints,
		cancellation: t.Cancellation, hedging: t.Hedging, probes: t.Probes && t.ReportsOnProbe,
		gossip: t.Gossip && t.Dispatchers > 1, startNotices: t.StartNotices, votes: make([][]int, t.Kinds),
		deliveryNotices: t.DeliveryNotices, valuePerRequest: t.ValuePerRequest, worstOperationWeight: t.WorstOperationWeight / 2, freeSlotRatio: 1, worstOperation: -1, sendLoadsAt: never,
		position: t.Position, dispatchers: t.Dispatchers, subsetSize: t.Dispatchers, resendInterval: 2 * Second,
		reportInFlight: t.ReportInFlight, reportQueue: t.ReportQueue, reportFree: t.ReportFree, wakeAt: never, patience: never, retrySpeedup: 1,
	}
	d.pollSpread = min(t.MaxPollInterval*Time(t.Dispatchers)/pollsPerInterval, Time(maxPollSpread*float64(t.MaxPollInterval)))
	if d.firstPollSpread, d.maxRetryPoll = d.pollSpread, t.MaxPollInterval*4/5; t.NotifyDeadline > 0 {
		d.firstPollSpread, d.maxRetryPoll = min(d.pollSpread, t.NotifyDeadline/3), min(d.maxRetryPoll, t.NotifyDeadline*2/3)
		d.awaitFirstPoll = true
	}
	if d.gossip && t.GossipCost > 0 { // told of each forward twice
		d.subsetSize = min(max(int(maxGossipShare/(2*t.GossipCost)), 1), t.Dispatchers)
	}
	for _, o := range t.Operations {
		d.operations = append(d.operations, newOperation(t, o))
		d.patience = min(d.patience, o.LatencyObjective/10)
		d.warmupUnit += max(float64(o.LatencyObjective), 1) / float64(len(t.Operations))
	}
	for _, c := range t.Tenants {
		d.tenants = append(d.tenants, c.Name)
		d.quota, d.tenantUsage, d.tenantUsageAt = append(d.quota, c.Quota*d.dispatcherShare), append(d.tenantUsage, 0), append(d.tenantUsageAt, 0)
	}
	d.slots, d.maxObserved = slices.Repeat([]float64{initialSlots}, t.Kinds), slices.Repeat([]float64{1}, t.Kinds)
	for l := range d.roundRobin {
		d.roundRobin[l] = int(d.nextRandom() % (1 << 20))
	}
	return d
}

// addWorker makes room for the figures about one more.
func (d *Balancer) addWorker() {
	d.hash, d.workerZone, d.kind = append(d.hash, 0), append(d.workerZone, 0), append(d.kind, 0)
	d.cell, d.state, d.startedAt = append(d.cell, 0), append(d.state, Gone), append(d.startedAt, 0)
	d.inFlight, d.unstarted, d.peerInFlight = append(d.inFlight, 0), append(d.unstarted, 0), append(d.peerInFlight, 0)
	d.consecutiveFailures, d.sends, d.probeAfter = append(d.consecutiveFailures, 0), append(d.sends, nil), append(d.probeAfter, 0)
	d.notBefore, d.credit, d.creditCount = append(d.notBefore, 0), append(d.credit, 0), append(d.creditCount, 0)
	d.earnsCredit, d.possiblyExecuted = append(d.earnsCredit, false), append(d.possiblyExecuted, false)
	d.exitedAt, d.respondedAt, d.verifiedSize = append(d.exitedAt, 0), append(d.respondedAt, 0), append(d.verifiedSize, 0)
	d.peerLoads, d.subsetPeerRange, d.sentLoad = append(d.peerLoads, nil), append(d.subsetPeerRange, [2]int{}), append(d.sentLoad, 0)
}

// recordPeerAge takes what a peer's message tells of its age: news of forwards out, or that it has just started.
func (d *Balancer) recordPeerAge(from PeerID, started bool) {
	if short := int(from) + 1 - len(d.seniorPeers); short > 0 {
		d.seniorPeers, d.juniorPeers = append(d.seniorPeers, make([]bool, short)...), append(d.juniorPeers, make([]bool, short)...)
	}
	d.juniorPeers[from] = d.juniorPeers[from] || started
	d.seniorPeers[from] = !d.juniorPeers[from]
}

// subsetPeers goes through the other dispatchers that have a worker in their part.
func (d *Balancer) subsetPeers(w WorkerID) iter.Seq[PeerID] {
	return func(yield func(PeerID) bool) {
		for p := d.subsetPeerRange[w][0]; p < d.subsetPeerRange[w][1]; p++ {
			if peer := p % d.dispatchers; peer != d.position && !yield(PeerID(peer)) {
				return
			}
		}
	}
}

// nextRandom is the next figure drawn from the seed.
func (d *Balancer) nextRandom() uint64 {
	d.draws++
	h := fnv.New64a()
	fmt.Fprint(h, d.seed, "/", d.draws)
	return h.Sum64()
}
