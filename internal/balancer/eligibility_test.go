package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

const exclusionTarget WorkerID = 0

// exclusionCases maps a description to a change that excludes a worker, and to the expected reason.
var exclusionCases = map[string]struct {
	change func(b *Balancer, req *request, filter *workerFilter)
	want   exclusion
}{
	"no change": {func(*Balancer, *request, *workerFilter) {}, eligible},
	"search limited to another zone": {func(b *Balancer, _ *request, filter *workerFilter) {
		b.config.zone = 1
		filter.sameZone = true
	}, otherZone},
	"zone ejected": {func(b *Balancer, _ *request, _ *workerFilter) {
		b.zones[0].health.EjectedUntil = b.now + 1
	}, zoneEjected},
	"operation requires another kind": {func(b *Balancer, req *request, _ *workerFilter) {
		b.operations.byID[req.operation].kind = 1
	}, wrongKind},
	"search limited to warming workers": {func(_ *Balancer, _ *request, filter *workerFilter) {
		filter.onlyWithCredit = true
	}, notWarmingUp},
	"failed attempt at the worker may have run": {func(b *Balancer, req *request, _ *workerFilter) {
		req.operation = nonIdempotentOp
		b.workers[exclusionTarget].health.ConsecutiveFailures = 1
		b.workers[exclusionTarget].health.PossiblyExecuted = true
		b.workers[exclusionTarget].health.ProbeAfter = b.now
	}, awaitingIdempotentProbe},
	"request would miss its objective because of the warm-up": {func(b *Balancer, req *request, _ *workerFilter) {
		setSizes(b, Second)
		req.size = Second
		b.workers[exclusionTarget].warmup.startedAt = b.now
	}, tooSlowWhileWarmingUp},
	"remaining slots reserved for requests within quota": {func(b *Balancer, req *request, _ *workerFilter) {
		req.quotaWeight = 0
		b.slots.kinds[0].Estimate = 4
		b.addInFlight(exclusionTarget, 2)
	}, reservedForQuota},
	"worker draining": {func(b *Balancer, _ *request, _ *workerFilter) {
		b.workers[exclusionTarget].state = Draining
	}, notHealthy},
	"unstarted attempt at the worker": {func(b *Balancer, _ *request, _ *workerFilter) {
		b.workers[exclusionTarget].unstarted = 1
	}, unstartedAttempt},
	"probe in flight": {func(b *Balancer, _ *request, _ *workerFilter) {
		b.workers[exclusionTarget].health.ConsecutiveFailures = 1
		b.addInFlight(exclusionTarget, 1)
	}, probeInFlight},
	"no free slot": {func(b *Balancer, _ *request, _ *workerFilter) {
		b.slots.kinds[0].Estimate = 1.4
		b.addInFlight(exclusionTarget, 1)
	}, noFreeSlot},
	"worker ejected": {func(b *Balancer, _ *request, _ *workerFilter) {
		b.workers[exclusionTarget].health.ProbeAfter = b.now + 1
	}, backingOff},
	"another dispatcher may send first": {func(b *Balancer, _ *request, _ *workerFilter) {
		b.workers[exclusionTarget].notBefore = b.now + 1
	}, backingOff},
	"more than twice the mean load": {func(b *Balancer, _ *request, _ *workerFilter) {
		b.addInFlight(exclusionTarget, 4)
	}, aboveMeanLoad},
	"request exceeds the warm-up budget": {func(b *Balancer, req *request, _ *workerFilter) {
		b.config.meanObjective = 1
		b.workers[exclusionTarget].warmup.startedAt = b.now
		req.size = 10 * Second
	}, warmupBudgetExceeded},
	"no warm-up credit": {func(b *Balancer, _ *request, _ *workerFilter) {
		b.config.dispatchers = 1000
		b.workers[exclusionTarget].warmup.startedAt = b.now
	}, noWarmupCredit},
	"load of the warming worker unknown": {func(b *Balancer, _ *request, _ *workerFilter) {
		b.config.gossip = true
		b.workers[exclusionTarget].warmup.startedAt = b.now
		b.subsetting.subsets[allIntervals].positions[exclusionTarget] = notInSubset
	}, loadUnknown},
	"request closed": {func(_ *Balancer, req *request, _ *workerFilter) {
		req.closed = true
	}, requestClosed},
	"request deadline passed": {func(b *Balancer, req *request, _ *workerFilter) {
		req.deadline = b.now
	}, deadlinePassed},
	"attempt limit reached": {func(_ *Balancer, req *request, _ *workerFilter) {
		req.attemptLimit = 0
	}, attemptLimit},
	"hedging disabled": {func(b *Balancer, req *request, _ *workerFilter) {
		b.config.hedging = false
		req.inFlight = 1
	}, hedgingDisabled},
	"attempt in flight at the same worker": {func(_ *Balancer, req *request, _ *workerFilter) {
		req.attempts = []attempt{{worker: exclusionTarget, inFlight: true}}
	}, alreadyOnWorker},
	"earlier attempt may have run": {func(_ *Balancer, req *request, _ *workerFilter) {
		req.operation = nonIdempotentOp
		req.attempts = []attempt{{worker: 2, mayHaveRun: true}}
	}, unsafeRepeat},
}

// TestExclusions has a case for each reason for which a worker is excluded. Without the change of the case the worker
// is eligible.
func TestExclusions(t *testing.T) {
	for name, c := range exclusionCases {
		t.Run(name, func(t *testing.T) {
			balancer, _ := newWarmBalancer(4, 1)
			req := newUnattemptedRequest(allIntervals)
			req.size = 1
			var filter workerFilter
			c.change(balancer, req, &filter)
			candidates := &balancer.subsetting.subsets[wholeRing]
			assert.Equal(t, c.want, balancer.exclusionOf(req, exclusionTarget, candidates, filter))
		})
	}
}
