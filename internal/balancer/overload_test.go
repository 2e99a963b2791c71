package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Regression test: the expected run time of a request without a hint was 0, so that all pending requests retried a full
// worker at once and used up their attempts on workers that were known to be full.
func TestOverloadedWorkerBacksOffForAMeanRun(t *testing.T) {
	const (
		runTime     = Second / 2
		earlierRuns = 60
	)
	for name, hint := range map[string]Work{"without hints": 0, "with hints of the run time": runTime} {
		t.Run(name, func(t *testing.T) {
			balancer, _ := newWarmBalancer(2, 1)
			balancer.config.startNotices = false
			submit := func(id RequestID) {
				submitRequest(balancer, id, Arrival{Operation: idempotentOp, Timeout: 30 * Second, SizeHint: hint})
			}
			for id := range RequestID(earlierRuns) {
				submit(id)
				balancer.SetTime(balancer.now + runTime)
				balancer.AttemptEnded(id, 0, Succeeded, FinalAnswer)
				balancer.RunDueRules()
			}
			const rejected, next = RequestID(earlierRuns), RequestID(earlierRuns + 1)
			submit(rejected)
			full := workerOfAttempt(balancer, rejected, 0)
			endFirstAttempt(balancer, rejected, Overloaded)
			assert.InDelta(t, runTime, float64(balancer.workers[full].health.ProbeAfter-balancer.now), 0.1*Second)
			assert.Len(t, balancer.requests.byID[rejected].attempts, 2, "its retry goes to the other worker")
			assert.NotEqual(t, full, workerOfAttempt(balancer, rejected, 1))
			submit(next)
			assert.NotEqual(t, full, workerOfAttempt(balancer, next, 0), "the next request goes to the other worker")
		})
	}
}

// If requests have no hints and none had run when they arrived, their mean size is 0. The backoff is then based on the
// first run.
func TestOverloadedWorkerBacksOffForFirstObservedRun(t *testing.T) {
	const runTime = Second / 2
	balancer, _ := newWarmBalancer(2, 1)
	balancer.config.startNotices = false
	for id := range RequestID(2) {
		submitRequest(balancer, id, Arrival{Timeout: 30 * Second})
	}
	balancer.SetTime(balancer.now + runTime)
	balancer.AttemptEnded(0, 0, Succeeded, FinalAnswer)
	balancer.AttemptEnded(1, 0, Overloaded, NoAnswer)
	overloaded := workerOfAttempt(balancer, 1, 0)
	assert.Equal(t, balancer.now+runTime, balancer.workers[overloaded].health.ProbeAfter)
}
