package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRequestFailsAtDeadlineWithoutOutcome(t *testing.T) {
	const timeout = Duration(Second / 100) // the last retry of a client
	balancer, effects := newWarmBalancer(1, 1)
	submitRequest(balancer, 0, Arrival{Operation: nonIdempotentOp, Timeout: timeout, SizeHint: 100})
	assert.Equal(t, []string{"attempt 0 to 0"}, effects.lines)
	balancer.SetTime(min(balancer.due.wakeAt, balancer.now.Add(timeout)))
	balancer.RunDueRules()
	assert.Equal(t, []string{"attempt 0 to 0", "fail 0", "cancel 0.0"}, effects.lines)
	balancer.AttemptEnded(0, 0, Succeeded, FinalAnswer) // after the request was closed: no effect
	balancer.ClientDisconnected(0, NoAttempt)
	balancer.RunDueRules()
	assert.Len(t, effects.lines, 3)
}

func TestLatePendingRequestsAreRejectedAtOnce(t *testing.T) {
	balancer, effects := newWarmBalancer(1, 1)
	balancer.workers[0].unstarted = 1 // so that both requests wait
	balancer.RequestArrived(0, Arrival{Operation: idempotentOp, Timeout: 10 * Second, SizeHint: 100})
	balancer.RequestArrived(1, Arrival{Operation: nonIdempotentOp, Timeout: 10 * Second, SizeHint: 100})
	balancer.now += Second + 1
	balancer.RunDueRules()
	assert.ElementsMatch(t, []string{"reject 0, retry after 20000", "reject 1, retry after 0"}, effects.lines)
}

func TestUnstartedAttemptThatCannotMeetObjectiveIsRejected(t *testing.T) {
	balancer, effects := newWarmBalancer(1, 1)
	balancer.operations.byID[idempotentOp].slack = 2
	balancer.operations.byID[nonIdempotentOp].slack = 2
	submitRequest(balancer, 0, Arrival{Operation: idempotentOp, Timeout: 10 * Second, SizeHint: Second})
	balancer.RequestArrived(1, Arrival{Operation: nonIdempotentOp, Timeout: 10 * Second, SizeHint: Second})
	balancer.workers[0].unstarted = 0
	balancer.RunDueRules()
	balancer.now += 2*Second + 1 // the objective plus half of the slack that the hint adds to it
	reviewNow(balancer)
	assert.Equal(t, []string{
		"attempt 0 to 0",
		"attempt 1 to 0",
		"reject 0, retry after 20000",
		"cancel 0.0",
	}, effects.lines)
}

// Regression test for clients that retry after the latency objective: the attempt was canceled as soon as it was sent,
// so the retry could never be served, however long its client would have waited.
func TestLateRetryWaitsForStartIfFreeSlotsAreUnknown(t *testing.T) {
	const (
		firstTimeout = 20 * Second
		retryTimeout = 18 * Second // one second after the objective
	)
	balancer, effects := newWarmBalancer(1, 1)
	balancer.config.reportFree = NotReported // it is unknown which workers have free slots
	submitRequest(balancer, 0, Arrival{Timeout: firstTimeout, SizeHint: 100})
	balancer.AttemptStarted(0, 0)
	balancer.AttemptEnded(0, 0, Succeeded, FinalAnswer)
	submitRequest(balancer, 0, Arrival{Timeout: retryTimeout, SizeHint: 100})
	assert.Equal(t, "attempt 0 to 0", effects.lines[1])
	startWaitDeadline := balancer.now.Add(balancer.operations.byID[idempotentOp].latencyObjective)
	for balancer.now < startWaitDeadline {
		advance(balancer, balancer.config.startTimeout/2)
		if balancer.now <= startWaitDeadline {
			assert.Len(t, effects.lines, 2, "%d ticks before the end of the time to wait for a start", startWaitDeadline.Sub(balancer.now))
		}
	}
	advance(balancer, balancer.config.startTimeout)
	assert.Equal(t, []string{"reject 0, retry after 20000", "cancel 0.0"}, effects.lines[2:], "it still waits in the worker's queue")

	balancer.operations.byID[idempotentOp].lateShare = 0 // a late answer has no value: the request does not wait
	balancer.RequestArrived(0, Arrival{Timeout: retryTimeout, SizeHint: 100})
	advance(balancer, balancer.config.startTimeout)
	assert.Contains(t, effects.lines[4:], "reject 0, retry after 20000")
}

// If free slots are known, a late retry need not wait in a queue. But its worker must have time to receive and start
// it.
func TestLateRetryIsNotCanceledBeforeItsWorkerCouldStart(t *testing.T) {
	const reviews = 3
	balancer, effects := newDeliveryNoticesBalancer()
	balancer.config.reportFree = 0
	balancer.operations.byID[idempotentOp].longestTimeout = 20 * Second
	balancer.zones[0].deliveryTime = 100
	balancer.due.reviewAt = balancer.now.Add(balancer.config.startTimeout)
	submitRequest(balancer, 0, Arrival{Timeout: 18 * Second, SizeHint: 100})
	for range reviews {
		reviewNow(balancer)
	}
	assert.Equal(t, 1, len(effects.lines), "the attempt is not delivered yet")
	balancer.SetTime(balancer.now + 90)
	balancer.AttemptDelivered(0, 0)
	reviewNow(balancer)
	assert.Equal(t, 1, len(effects.lines), "the start notice may not have arrived yet")
	balancer.SetTime(balancer.now.Add(balancer.config.timingMargin))
	reviewNow(balancer)
	assert.Contains(t, effects.lines, "reject 0, retry after 20000", "the attempt waits in the worker's queue")
}

// Regression test for late requests that delayed others beyond their objective.
func TestLateRequestIsOrderedBehindTimelyRequests(t *testing.T) {
	const firstTimeout = 20 * Second
	balancer, effects := newWarmBalancer(1, 1)
	retried := &balancer.operations.byID[idempotentOp]
	retried.value = 9
	retried.lateShare = 0.2
	retried.longestTimeout = firstTimeout
	balancer.operations.byID[nonIdempotentOp].value = 8
	balancer.config.reportFree = NotReported // it is unknown which workers have free slots
	balancer.workers[0].unstarted = 1
	balancer.RequestArrived(0, Arrival{Operation: idempotentOp, Timeout: firstTimeout - Second/2, SizeHint: 100})
	balancer.RequestArrived(1, Arrival{Operation: nonIdempotentOp, Timeout: firstTimeout, SizeHint: 100})
	assert.Equal(t, []RequestID{0, 1}, balancer.pending.ids)
	balancer.SetTime(balancer.now + Second/2 + 1)
	reviewNow(balancer)
	assert.Equal(t, []RequestID{1, 0}, balancer.pending.ids, "a late answer has a fifth of the value")
	balancer.workers[0].unstarted = 0
	balancer.subsetting.markMaybeFree(0)
	balancer.due.capacityChanged = true
	balancer.RunDueRules()
	assert.Equal(t, []string{"attempt 1 to 0"}, effects.lines)
}
