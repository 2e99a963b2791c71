package balancer

const (
	// warmupMargin is the share of a warming worker's budget that is kept back where dispatchers part it: hints are
	// rough, and a slot may be half a core.
	warmupMargin = 0.7

	// warmupSlack is the share kept back where those who send there tell one another, beside what the worker may have
	// done within the window.
	warmupSlack = 0.1
)

// withinWarmupBudget holds what all dispatchers send to a warming worker within the warm-up window to the worker's budget.
//
// Where peers tell what is in flight, those dispatchers send there that are told of the worker, as long as fewer attempts
// are in flight than its kind was seen to run, and none is larger than its part of the budget: what is in flight was
// sent within the window at the worst, and what ended within it was no more than the worker can do. Where nothing is
// told, each dispatcher has its part of the budget; and where there are so many that a part would not hold one
// request, each earns credit by what arrives at it.
func (b *Balancer) withinWarmupBudget(id WorkerID, size Work) bool {
	factor := b.confirmedWarmup(id, size)
	if factor == 1 {
		return true
	}
	sent := size
	for _, earlier := range b.workers[id].sendsAfter(b.warmupWindowStart()) {
		sent += earlier.work
	}
	slots := b.maxObservedSlots(id)
	budget := b.config.overloadFactor * factor * slots * float64(b.config.warmupWindow)
	if b.config.gossip {
		budget *= 1 - 1/b.config.overloadFactor - warmupSlack
		return b.hearsLoadOf(id) && float64(b.load(id)) < slots && float64(size) <= budget/slots && float64(sent) <= budget
	}
	part := budget * (1 - warmupMargin) / float64(b.config.dispatchers)
	if part >= b.config.meanObjective {
		return float64(sent) <= part
	}
	return b.warmupCredit(id, factor) >= 1
}
