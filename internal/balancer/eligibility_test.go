package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

const exclusionTarget WorkerID = 0

// exclusionCases has, by description, a change after which a worker is passed over, and the reason.
var exclusionCases = map[string]struct {
	change func(b *Balancer, req *request, limits *pickLimits)
	want   exclusion
}{
	"nothing is against it": {func(*Balancer, *request, *pickLimits) {}, eligible},
	"only workers of another zone are looked for": {func(b *Balancer, _ *request, limits *pickLimits) {
		b.config.zone = 1
		limits.sameZone = true
	}, otherZone},
	"its zone is ejected": {func(b *Balancer, _ *request, _ *pickLimits) {
		b.zones[0].health.EjectedUntil = b.now + 1
	}, zoneEjected},
	"the operation runs on another kind": {func(b *Balancer, req *request, _ *pickLimits) {
		b.operations.byID[req.operation].kind = 1
	}, wrongKind},
	"only warming workers are looked for": {func(_ *Balancer, _ *request, limits *pickLimits) {
		limits.onlyWithCredit = true
	}, notWarmingUp},
	"an attempt that failed there may have run": {func(b *Balancer, req *request, _ *pickLimits) {
		req.operation = nonIdempotentOp
		b.workers[exclusionTarget].health.ConsecutiveFailures = 1
		b.workers[exclusionTarget].health.PossiblyExecuted = true
		b.workers[exclusionTarget].health.ProbeAfter = b.now
	}, awaitingIdempotentProbe},
	"it is slow as it warms up": {func(b *Balancer, req *request, _ *pickLimits) {
		setSizes(b, Second)
		req.size = Second
		b.workers[exclusionTarget].warmup.startedAt = b.now
	}, tooSlowWhileWarmingUp},
	"its last slots are for others": {func(b *Balancer, req *request, _ *pickLimits) {
		req.quotaWeight = 0
		b.slots.kinds[0].Estimate = 4
		b.addInFlight(exclusionTarget, 2)
	}, reservedWithinQuota},
	"it drains": {func(b *Balancer, _ *request, _ *pickLimits) {
		b.workers[exclusionTarget].state = Draining
	}, notHealthy},
	"an earlier attempt has not started": {func(b *Balancer, _ *request, _ *pickLimits) {
		b.workers[exclusionTarget].unstarted = 1
	}, unstartedAttempt},
	"its probe is in flight": {func(b *Balancer, _ *request, _ *pickLimits) {
		b.workers[exclusionTarget].health.ConsecutiveFailures = 1
		b.addInFlight(exclusionTarget, 1)
	}, probeInFlight},
	"its slots are taken": {func(b *Balancer, _ *request, _ *pickLimits) {
		b.slots.kinds[0].Estimate = 1.4
		b.addInFlight(exclusionTarget, 1)
	}, noFreeSlot},
	"it is ejected": {func(b *Balancer, _ *request, _ *pickLimits) {
		b.workers[exclusionTarget].health.ProbeAfter = b.now + 1
	}, backingOff},
	"another dispatcher tries it first": {func(b *Balancer, _ *request, _ *pickLimits) {
		b.workers[exclusionTarget].notBefore = b.now + 1
	}, backingOff},
	"it has far more than the mean in flight": {func(b *Balancer, _ *request, _ *pickLimits) {
		b.addInFlight(exclusionTarget, 4)
	}, aboveMeanLoad},
	"it warms up and has its budget": {func(b *Balancer, req *request, _ *pickLimits) {
		b.config.meanObjective = 1
		b.workers[exclusionTarget].warmup.startedAt = b.now
		req.size = 10 * Second
	}, beyondWarmupBudget},
	"it warms up and this dispatcher has earned nothing": {func(b *Balancer, _ *request, _ *pickLimits) {
		b.config.dispatchers = 1000
		b.workers[exclusionTarget].warmup.startedAt = b.now
	}, noWarmupCredit},
	"it warms up and its load is unknown": {func(b *Balancer, _ *request, _ *pickLimits) {
		b.config.gossip = true
		b.workers[exclusionTarget].warmup.startedAt = b.now
		b.subsetting.subsets[allIntervals].positions[exclusionTarget] = notInSubset
	}, loadUnknown},
	"the request is closed": {func(_ *Balancer, req *request, _ *pickLimits) {
		req.closed = true
	}, requestClosed},
	"its client gives up": {func(b *Balancer, req *request, _ *pickLimits) {
		req.deadline = b.now
	}, deadlinePassed},
	"it has had its attempts": {func(_ *Balancer, req *request, _ *pickLimits) {
		req.attemptLimit = 0
	}, attemptLimit},
	"a second attempt is forbidden": {func(b *Balancer, req *request, _ *pickLimits) {
		b.config.hedging = false
		req.inFlight = 1
	}, hedgingForbidden},
	"an attempt is in flight there": {func(_ *Balancer, req *request, _ *pickLimits) {
		req.attempts = []attempt{{worker: exclusionTarget, inFlight: true}}
	}, sameWorker},
	"an earlier attempt may have run": {func(_ *Balancer, req *request, _ *pickLimits) {
		req.operation = nonIdempotentOp
		req.attempts = []attempt{{worker: 2, mayHaveRun: true}}
	}, repeatNotSafe},
}

// TestExclusions has a case for each reason for which a worker is passed over. Without the change of the case the worker
// is eligible.
func TestExclusions(t *testing.T) {
	for name, c := range exclusionCases {
		t.Run(name, func(t *testing.T) {
			balancer, _ := newWarmBalancer(4, 1)
			req := newUnattemptedRequest(allIntervals)
			req.size = 1
			var limits pickLimits
			c.change(balancer, req, &limits)
			among := &balancer.subsetting.subsets[wholeRing]
			assert.Equal(t, c.want, balancer.exclusionOf(req, exclusionTarget, among, limits))
		})
	}
}
