package balancer

import "math"

// initialSlots is the estimate for a kind of worker before anything was refused or queued there.
const initialSlots = 8.0

// slotEstimates owns how many attempts workers run at once, by kind. Where load reports tell, they are taken;
// elsewhere each start at once, or wait, is a vote.
type slotEstimates struct {
	kinds         []kindSlots // by KindID
	freeSlotRatio float64     // share of recent load reports that showed a free slot
}

type kindSlots struct {
	estimate    float64
	maxObserved float64 // most attempts seen running at once, 1 before any
	votes       []int   // by load: starts at once less waits
}

func newSlotEstimates(kinds int) slotEstimates {
	estimates := slotEstimates{freeSlotRatio: 1}
	for range kinds {
		estimates.kinds = append(estimates.kinds, kindSlots{estimate: initialSlots, maxObserved: 1})
	}
	return estimates
}

// vote counts one start, at once or after a wait, at a load, and returns the estimate that agrees with most votes,
// but for one: single waits come from attempts that no peer has told of yet.
func (k *kindSlots) vote(load int, atOnce bool) float64 {
	k.votes = append(k.votes, make([]int, max(0, max(load, initialSlots)+1-len(k.votes)))...)
	k.votes[load]--
	if atOnce {
		k.votes[load] += 2
	}
	sum := 0
	best := 0
	estimate := k.estimate
	for slots, votes := range k.votes {
		sum += votes
		if sum > best+1 {
			best = sum
			k.maxObserved = max(float64(slots), 1)
		}
		best = max(best, sum)
		if sum > best-2 {
			estimate = max(k.maxObserved, float64(slots))
		}
	}
	return estimate
}

// observeQueueing takes notice that an attempt at a worker started at once, or had to wait, at a load.
func (b *Balancer) observeQueueing(id WorkerID, load int, atOnce bool) {
	if b.config.reportFree != NotReported || b.warmupFactor(id) < 1 { // reports tell, or the worker is slow for another reason
		return
	}
	if b.config.gossip && !b.hearsLoadOf(id) { // the load from other dispatchers is not known
		return
	}
	kind := b.workers[id].kind
	b.setSlotEstimate(kind, b.slots.kinds[kind].vote(load, atOnce))
}

// ReceiveLoadReport takes the values of a worker's load report, at the places that Config names. They show its
// slots; reports are late, so they say nothing of its load now.
func (b *Balancer) ReceiveLoadReport(id WorkerID, values []float64) {
	if b.config.reportFree == NotReported || len(values) == 0 || b.warmupFactor(id) < 1 {
		return
	}
	slots := values[b.config.reportFree]
	anyFree := min(max(math.Round(slots), 0), 1) // a report out of all proportion counts like any other
	b.slots.freeSlotRatio += learningRate * (anyFree - b.slots.freeSlotRatio)
	if b.config.reportInFlight != NotReported && b.config.reportQueue != NotReported {
		slots += values[b.config.reportInFlight] - values[b.config.reportQueue]
	}
	kind := b.workers[id].kind
	observed := &b.slots.kinds[kind].maxObserved
	*observed = max(*observed, math.Round(slots))
	b.setSlotEstimate(kind, *observed)
}

// setSlotEstimate sets the slots of a kind. With more of them every worker may have room again.
func (b *Balancer) setSlotEstimate(kind KindID, slots float64) {
	if slots > b.slots.kinds[kind].estimate {
		b.subsetting.markAllMaybeFree()
	}
	b.slots.kinds[kind].estimate = slots
}

// estimatedSlots is the estimate for a worker, by its kind.
func (b *Balancer) estimatedSlots(id WorkerID) float64 {
	return b.slots.kinds[b.workers[id].kind].estimate
}

// roundedSlots is the estimate for a worker as a whole number.
func (b *Balancer) roundedSlots(id WorkerID) float64 { return math.Round(b.estimatedSlots(id)) }

// maxObservedSlots is the most that was seen running at once at a worker of the same kind.
func (b *Balancer) maxObservedSlots(id WorkerID) float64 {
	return b.slots.kinds[b.workers[id].kind].maxObserved
}
