package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer/outlier"
)

// Regression test for a program that fails all it gets: it is always idle, and so would get more than its turn.
func TestEjectedWorkerIsProbedByIdempotentWork(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	fail := func(outcome Outcome) {
		balancer.RequestArrived(0, Arrival{Timeout: 90 * Second, SizeHint: 100})
		balancer.startAttempt(0, 0)
		balancer.AttemptEnded(0, 0, outcome, FinalAnswer)
	}
	once, again := &request{attemptLimit: 4, operation: 1, quotaWeight: 1, deadline: never}, &request{attemptLimit: 4, quotaWeight: 1, deadline: never}
	takes := func(i *request) bool {
		_, ok := balancer.pickWorker(i)
		return ok
	}
	fail(ConnectionReset)
	assert.True(t, takes(once), "a single one is chance")
	fail(WorkerError)
	assert.False(t, takes(again))
	balancer.now += 2 * Second
	assert.True(t, takes(again), "a trial")
	assert.False(t, takes(once), "not by this")
	balancer.now += 8 * Second
	assert.True(t, takes(once), "nothing else has tried")
	fail(Succeeded)
	fail(WorkerError)
	assert.True(t, takes(again), "a success clears it")
}

// Regression test for a long rest for one failure: all that is in flight at a worker ends with its process.
func TestFailuresOfOneProcessExitCountOnce(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	for id := range RequestID(3) {
		balancer.RequestArrived(id, Arrival{Timeout: 90 * Second, SizeHint: 100})
		balancer.startAttempt(id, 0)
	}
	balancer.AttemptEnded(0, 0, ConnectionStale, FinalAnswer)
	assert.Equal(t, 0, balancer.workers[0].health.ConsecutiveFailures, "a kept connection may end and its worker be well")
	balancer.AttemptEnded(1, 0, NoConnection, FinalAnswer)
	balancer.AttemptEnded(2, 0, NoConnection, FinalAnswer)
	assert.Equal(t, []any{1, balancer.now + Second}, []any{balancer.workers[0].health.ConsecutiveFailures, balancer.workers[0].health.ProbeAfter})
}

// Regression test for a lost zone that is still listed: a request would use up its attempts there one by one.
func TestLostZoneIsEjectedAndTriedAgain(t *testing.T) {
	balancer, effects := newWarmBalancer(40, 1) // even workers in zone 0, odd ones in zone 1
	balancer.config.zone, balancer.config.crossZoneCost, balancer.config.startNotices = 1, 0.01, false
	lost := 0
	for id := range RequestID(10) {
		balancer.RequestArrived(id, Arrival{Operation: 2, Timeout: 20 * Second, SizeHint: 100})
		balancer.RunDueRules()
		for i := &balancer.requests.byID[id]; !i.closed; balancer.RunDueRules() {
			f := len(i.attempts) - 1
			if balancer.workers[i.attempts[f].worker].zone == 1 {
				lost++
				balancer.AttemptEnded(id, f, NoConnection, NoAnswer)
				continue
			}
			balancer.AttemptEnded(id, f, Succeeded, FinalAnswer)
		}
	}
	assert.Equal(t, outlier.ZoneThreshold, lost)
	assert.NotContains(t, fmt.Sprint(effects.lines), "reject")
	assert.NotContains(t, fmt.Sprint(effects.lines), "fail")

	takes := func() WorkerID {
		w, ok := balancer.pickWorker(&request{attemptLimit: 4, interval: bothIntervals, quotaWeight: 1, size: 100, deadline: never})
		assert.True(t, ok)
		return w
	}
	assert.Zero(t, balancer.workers[takes()].zone)
	balancer.SetTime(balancer.now + Second)
	w := takes()
	assert.Equal(t, ZoneID(1), balancer.workers[w].zone, "tried again")
	balancer.recordZoneFailure(w)
	assert.Equal(t, balancer.now+2*Second, balancer.zones[1].health.EjectedUntil, "later and later")
	balancer.recordZoneSuccess(w)
	assert.Equal(t, ZoneID(1), balancer.workers[takes()].zone, "what begins there ends it")
}

func TestLastZoneIsNeverEjected(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	for range 2 * outlier.ZoneThreshold {
		balancer.recordZoneFailure(0)
	}
	assert.LessOrEqual(t, balancer.zones[0].health.EjectedUntil, balancer.now)
	balancer, _ = newWarmBalancer(2, 1)
	for range 2 * outlier.ZoneThreshold {
		balancer.recordZoneFailure(0)
		balancer.recordZoneFailure(1)
	}
	assert.Greater(t, balancer.zones[0].health.EjectedUntil, balancer.now)
	assert.LessOrEqual(t, balancer.zones[1].health.EjectedUntil, balancer.now)
}

// Regression test for work that may not run again and is kept for many seconds from all workers of a zone that was cut off:
// where what failed there never ran, its own failure there is harmless as well.
func TestUnreachableWorkerIsProbedByNonIdempotentWork(t *testing.T) {
	for outcome, soon := range map[Outcome]bool{NoConnection: true, ConnectionRefused: true, ConnectionReset: false, WorkerError: false} {
		balancer, effects := newWarmBalancer(1, 1)
		balancer.config.warmupDuration = 0
		for id := RequestID(0); balancer.workers[0].health.ConsecutiveFailures < 2; id++ {
			balancer.SetTime(max(balancer.now, balancer.workers[0].health.ProbeAfter))
			balancer.RequestArrived(id, Arrival{Timeout: 20 * Second, SizeHint: 100})
			balancer.RunDueRules()
			balancer.AttemptEnded(id, 0, outcome, NoAnswer)
			balancer.ClientLeft(id, NoAttempt)
		}
		effects.lines = nil
		balancer.SetTime(balancer.workers[0].health.ProbeAfter)
		balancer.RequestArrived(7, Arrival{Operation: 1, Timeout: 20 * Second, SizeHint: 100})
		balancer.RunDueRules()
		if soon {
			assert.Equal(t, []string{"attempt 7 to 0"}, effects.lines, "outcome %d", outcome)
			balancer.AttemptEnded(7, 0, NoConnection, NoAnswer)
			balancer.SetTime(balancer.workers[0].health.ProbeAfter)
			balancer.RequestArrived(8, Arrival{Timeout: 20 * Second, SizeHint: 100})
			balancer.RunDueRules()
			balancer.AttemptEnded(8, 0, WorkerError, NoAnswer)
			assert.True(t, balancer.workers[0].health.PossiblyExecuted)
		} else {
			assert.Empty(t, effects.lines, "outcome %d", outcome)
		}
		balancer.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0", StartedAt: balancer.now}}, ChangedEndpoints, FromDiscovery)
		assert.False(t, balancer.workers[0].health.PossiblyExecuted, "another process")
	}
}

// Regression test for a full worker that is tried again at once by all that is pending, as work that brings no hint
// seems to take no time: the attempts that are allowed are used up on workers known to be full.
func TestOverloadedWorkerRestsForAMeanRunAlsoWithoutHints(t *testing.T) {
	for name, hint := range map[string]Work{"none": 0, "as long as it runs": Second / 2} {
		t.Run(name, func(t *testing.T) {
			balancer, _ := newWarmBalancer(2, 1)
			balancer.config.startNotices = false
			id := RequestID(0)
			land := func() *attempt {
				balancer.RequestArrived(id, Arrival{Operation: 0, Timeout: 30 * Second, SizeHint: hint})
				balancer.RunDueRules()
				id++
				return &balancer.requests.byID[id-1].attempts[0]
			}
			for range 60 {
				land()
				balancer.SetTime(balancer.now + Second/2)
				balancer.AttemptEnded(id-1, 0, Succeeded, FinalAnswer)
				balancer.RunDueRules()
			}
			f := land()
			balancer.AttemptEnded(id-1, 0, Overloaded, NoAnswer)
			balancer.RunDueRules()
			full := f.worker
			assert.InDelta(t, Second/2, float64(balancer.workers[full].health.ProbeAfter-balancer.now), 0.1*Second)
			assert.Len(t, balancer.requests.byID[id-1].attempts, 2, "it goes to the other one")
			assert.NotEqual(t, full, balancer.requests.byID[id-1].attempts[1].worker)
			assert.NotEqual(t, full, land().worker, "nor does another one go there")
		})
	}
}

// Where no request has a hint and none had run as they arrived, their mean size is nothing, and the first run tells.
func TestOverloadedWorkerRestsForTheFirstRunSeen(t *testing.T) {
	balancer, _ := newWarmBalancer(2, 1)
	balancer.config.startNotices = false
	for id := range RequestID(2) {
		balancer.RequestArrived(id, Arrival{Timeout: 30 * Second})
		balancer.RunDueRules()
	}
	balancer.SetTime(balancer.now + Second/2)
	balancer.AttemptEnded(0, 0, Succeeded, FinalAnswer)
	balancer.AttemptEnded(1, 0, Overloaded, NoAnswer)
	overloaded := balancer.requests.get(1).attempts[0].worker
	assert.Equal(t, balancer.now+Second/2, balancer.workers[overloaded].health.ProbeAfter)
}
