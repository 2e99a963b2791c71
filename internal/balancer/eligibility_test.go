package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

const exclusionTarget WorkerID = 0

// exclusionCases lists, by description, a change that excludes a worker, and the expected reason.
var exclusionCases = map[string]struct {
	change func(b *Balancer, req *request, filter *workerFilter)
	want   exclusion
}{
	"nothing is against it": {func(*Balancer, *request, *workerFilter) {}, eligible},
	"only workers of another zone are looked for": {func(b *Balancer, _ *request, filter *workerFilter) {
		b.config.zone = 1
		filter.sameZone = true
	}, otherZone},
	"its zone is ejected": {func(b *Balancer, _ *request, _ *workerFilter) {
		b.zones[0].health.EjectedUntil = b.now + 1
	}, zoneEjected},
	"the operation runs on another kind": {func(b *Balancer, req *request, _ *workerFilter) {
		b.operations.byID[req.operation].kind = 1
	}, wrongKind},
	"only warming workers are looked for": {func(_ *Balancer, _ *request, filter *workerFilter) {
		filter.onlyWithCredit = true
	}, notWarmingUp},
	"an attempt that failed there may have run": {func(b *Balancer, req *request, _ *workerFilter) {
		req.operation = nonIdempotentOp
		b.workers[exclusionTarget].health.ConsecutiveFailures = 1
		b.workers[exclusionTarget].health.PossiblyExecuted = true
		b.workers[exclusionTarget].health.ProbeAfter = b.now
	}, awaitingIdempotentProbe},
	"it is slow as it warms up": {func(b *Balancer, req *request, _ *workerFilter) {
		setSizes(b, Second)
		req.size = Second
		b.workers[exclusionTarget].warmup.startedAt = b.now
	}, tooSlowWhileWarmingUp},
	"its last slots are for others": {func(b *Balancer, req *request, _ *workerFilter) {
		req.quotaWeight = 0
		b.slots.kinds[0].Estimate = 4
		b.addInFlight(exclusionTarget, 2)
	}, reservedForQuota},
	"it drains": {func(b *Balancer, _ *request, _ *workerFilter) {
		b.workers[exclusionTarget].state = Draining
	}, notHealthy},
	"an earlier attempt has not started": {func(b *Balancer, _ *request, _ *workerFilter) {
		b.workers[exclusionTarget].unstarted = 1
	}, unstartedAttempt},
	"its probe is in flight": {func(b *Balancer, _ *request, _ *workerFilter) {
		b.workers[exclusionTarget].health.ConsecutiveFailures = 1
		b.addInFlight(exclusionTarget, 1)
	}, probeInFlight},
	"its slots are taken": {func(b *Balancer, _ *request, _ *workerFilter) {
		b.slots.kinds[0].Estimate = 1.4
		b.addInFlight(exclusionTarget, 1)
	}, noFreeSlot},
	"it is ejected": {func(b *Balancer, _ *request, _ *workerFilter) {
		b.workers[exclusionTarget].health.ProbeAfter = b.now + 1
	}, backingOff},
	"another dispatcher tries it first": {func(b *Balancer, _ *request, _ *workerFilter) {
		b.workers[exclusionTarget].notBefore = b.now + 1
	}, backingOff},
	"it has far more than the mean in flight": {func(b *Balancer, _ *request, _ *workerFilter) {
		b.addInFlight(exclusionTarget, 4)
	}, aboveMeanLoad},
	"it warms up and has its budget": {func(b *Balancer, req *request, _ *workerFilter) {
		b.config.meanObjective = 1
		b.workers[exclusionTarget].warmup.startedAt = b.now
		req.size = 10 * Second
	}, warmupBudgetExceeded},
	"it warms up and this dispatcher has earned nothing": {func(b *Balancer, _ *request, _ *workerFilter) {
		b.config.dispatchers = 1000
		b.workers[exclusionTarget].warmup.startedAt = b.now
	}, noWarmupCredit},
	"it warms up and its load is unknown": {func(b *Balancer, _ *request, _ *workerFilter) {
		b.config.gossip = true
		b.workers[exclusionTarget].warmup.startedAt = b.now
		b.subsetting.subsets[allIntervals].positions[exclusionTarget] = notInSubset
	}, loadUnknown},
	"the request is closed": {func(_ *Balancer, req *request, _ *workerFilter) {
		req.closed = true
	}, requestClosed},
	"its client gives up": {func(b *Balancer, req *request, _ *workerFilter) {
		req.deadline = b.now
	}, deadlinePassed},
	"it has had its attempts": {func(_ *Balancer, req *request, _ *workerFilter) {
		req.attemptLimit = 0
	}, attemptLimit},
	"a second attempt is forbidden": {func(b *Balancer, req *request, _ *workerFilter) {
		b.config.hedging = false
		req.inFlight = 1
	}, hedgingDisabled},
	"an attempt is in flight there": {func(_ *Balancer, req *request, _ *workerFilter) {
		req.attempts = []attempt{{worker: exclusionTarget, inFlight: true}}
	}, alreadyOnWorker},
	"an earlier attempt may have run": {func(_ *Balancer, req *request, _ *workerFilter) {
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
