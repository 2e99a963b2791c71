package balancer

import (
	"math"

	"canvasroute/internal/balancer/slotestimate"
)

// slotEstimates owns how many attempts workers run at once, by kind. Where load reports show it, they are taken;
// elsewhere attempts that start at once, or wait, are votes.
type slotEstimates struct {
	kinds         []slotestimate.Kind // by KindID
	freeSlotRatio float64             // share of recent load reports that showed a free slot
}

func newSlotEstimates(kinds int) slotEstimates {
	estimates := slotEstimates{freeSlotRatio: 1}
	for range kinds {
		estimates.kinds = append(estimates.kinds, slotestimate.NewKind())
	}
	return estimates
}

// observeQueueing notes how an attempt started at a worker that had a load, the attempt included. It is no vote where
// load reports show the slots, where the worker may be slow for another reason, and where its load is not known here.
func (b *Balancer) observeQueueing(id WorkerID, load int, start slotestimate.Start) {
	reported := b.config.reportFree != NotReported
	warming := b.warmupFactor(id) < 1
	loadUnknown := b.config.gossip && !b.receivesLoadOf(id)
	if reported || warming || loadUnknown {
		return
	}
	kind := b.workers[id].kind
	b.setSlotEstimate(kind, b.slots.kinds[kind].Vote(load, start))
}

// ReceiveLoadReport takes the values of a worker's load report, at the places that Config names. They show its slots;
// reports are late, so they say nothing of its load now.
func (b *Balancer) ReceiveLoadReport(id WorkerID, values []float64) {
	if b.config.reportFree == NotReported || len(values) == 0 || b.warmupFactor(id) < 1 {
		return
	}
	free := values[b.config.reportFree]
	anyFree := min(max(math.Round(free), 0), 1) // a report out of all proportion counts like any other
	b.slots.freeSlotRatio += learningRate * (anyFree - b.slots.freeSlotRatio)
	slots := free
	if b.config.reportInFlight != NotReported && b.config.reportQueue != NotReported {
		slots += values[b.config.reportInFlight] - values[b.config.reportQueue]
	}
	kind := b.workers[id].kind
	b.setSlotEstimate(kind, b.slots.kinds[kind].Report(slots))
}

// setSlotEstimate sets the slots of a kind. With more of them every worker may have a free slot again.
func (b *Balancer) setSlotEstimate(kind KindID, slots float64) {
	if slots > b.slots.kinds[kind].Estimate {
		b.subsetting.markAllMaybeFree()
	}
	b.slots.kinds[kind].Estimate = slots
}

// seedMaxObserved takes the most attempts that others have seen running at a kind of worker, where nothing was observed
// here.
func (b *Balancer) seedMaxObserved(kind KindID, slots float64) {
	if int(kind) < len(b.slots.kinds) && b.slots.kinds[kind].Seed(slots) {
		b.setSlotEstimate(kind, slots)
	}
}

// maxObserved returns the most attempts seen running at once at a worker, by KindID.
func (b *Balancer) maxObserved() (slots []float64) {
	for _, kind := range b.slots.kinds {
		slots = append(slots, kind.MaxObserved)
	}
	return slots
}

// estimatedSlots returns the estimate for a worker, by its kind.
func (b *Balancer) estimatedSlots(id WorkerID) float64 {
	return b.slots.kinds[b.workers[id].kind].Estimate
}

// roundedSlots returns the estimate for a worker as a whole number.
func (b *Balancer) roundedSlots(id WorkerID) float64 { return math.Round(b.estimatedSlots(id)) }

// maxObservedSlots returns the most attempts seen running at once at a worker of the same kind.
func (b *Balancer) maxObservedSlots(id WorkerID) float64 {
	return b.slots.kinds[b.workers[id].kind].MaxObserved
}
