package balancer

import (
	"math"

	"canvasroute/internal/balancer/slotestimate"
)

// slotEstimates holds the estimated number of attempts that a worker runs at once, by kind. The estimates are based on
// load reports if workers send them. Otherwise each attempt is a vote, by whether it started at once or waited.
type slotEstimates struct {
	kinds         []slotestimate.Kind // by KindID
	freeSlotRatio float64             // moving average of the share of load reports with a free slot
}

func newSlotEstimates(kinds int) slotEstimates {
	estimates := slotEstimates{freeSlotRatio: 1}
	for range kinds {
		estimates.kinds = append(estimates.kinds, slotestimate.NewKind())
	}
	return estimates
}

// observeAttemptStart records how an attempt started at a worker with the given load, which includes the attempt. It
// does not count as a vote if load reports provide the slots, if the worker is warming up and may be slow for that
// reason, or if peers do not report their load on the worker to this dispatcher.
func (b *Balancer) observeAttemptStart(id WorkerID, load int, start slotestimate.Start) {
	reported := b.config.reportFree != NotReported
	warming := b.warmupFactor(id) < 1
	loadUnknown := b.config.gossip && !b.receivesLoadOf(id)
	if reported || warming || loadUnknown {
		return
	}
	kind := b.workers[id].kind
	b.setSlotEstimate(kind, b.slots.kinds[kind].Vote(load, start))
}

// ReceiveLoadReport handles the values of a worker's load report, which are at the indexes given in Config. They are
// used to estimate its slots. They are not used as its current load, because reports arrive late.
func (b *Balancer) ReceiveLoadReport(id WorkerID, values []float64) {
	if b.config.reportFree == NotReported || len(values) == 0 || b.warmupFactor(id) < 1 {
		return
	}
	free := values[b.config.reportFree]
	anyFree := min(max(math.Round(free), 0), 1) // limits the effect of a report with an implausible value
	b.slots.freeSlotRatio += learningRate * (anyFree - b.slots.freeSlotRatio)
	slots := free
	if b.config.reportInFlight != NotReported && b.config.reportQueue != NotReported {
		slots += values[b.config.reportInFlight] - values[b.config.reportQueue]
	}
	kind := b.workers[id].kind
	b.setSlotEstimate(kind, b.slots.kinds[kind].Report(slots))
}

// setSlotEstimate sets the estimate for a kind. If it rises, every worker may have a free slot again.
func (b *Balancer) setSlotEstimate(kind KindID, slots float64) {
	if slots > b.slots.kinds[kind].Estimate {
		b.subsetting.markAllMaybeFree()
	}
	b.slots.kinds[kind].Estimate = slots
}

// seedMaxObserved sets the most attempts that other dispatchers observed running at once at a kind of worker. It has no
// effect if this dispatcher has its own observations.
func (b *Balancer) seedMaxObserved(kind KindID, slots float64) {
	if int(kind) < len(b.slots.kinds) && b.slots.kinds[kind].Seed(slots) {
		b.setSlotEstimate(kind, slots)
	}
}

// maxObserved returns the most attempts observed running at once at a worker, by KindID.
func (b *Balancer) maxObserved() (slots []float64) {
	for _, kind := range b.slots.kinds {
		slots = append(slots, kind.MaxObserved)
	}
	return slots
}

// estimatedSlots returns the slot estimate for a worker, by its kind.
func (b *Balancer) estimatedSlots(id WorkerID) float64 {
	return b.slots.kinds[b.workers[id].kind].Estimate
}

// roundedSlots returns the slot estimate for a worker, rounded to the nearest whole number.
func (b *Balancer) roundedSlots(id WorkerID) float64 { return math.Round(b.estimatedSlots(id)) }

// maxObservedSlots returns the most attempts observed running at once at a worker of the same kind.
func (b *Balancer) maxObservedSlots(id WorkerID) float64 {
	return b.slots.kinds[b.workers[id].kind].MaxObserved
}
