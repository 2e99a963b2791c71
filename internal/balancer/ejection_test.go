package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a program that fails all it gets: it is always idle, and so would get more than its turn.
func TestWorkerThatFailsAllIsTriedOutByWorkThatMayRunAgain(t *testing.T) {
	d, _ := newWarmBalancer(1, 1)
	fail := func(how Outcome) {
		d.RequestArrived(0, Arrival{Timeout: 90 * Second, SizeHint: 100})
		d.startAttempt(0, 0)
		d.AttemptEnded(0, 0, how, true)
	}
	once, again := &request{attemptLimit: 4, operation: 1, quotaWeight: 1, deadline: never}, &request{attemptLimit: 4, quotaWeight: 1, deadline: never}
	takes := func(i *request) bool {
		_, ok := d.pickWorker(i)
		return ok
	}
	fail(ConnectionReset)
	assert.True(t, takes(once), "a single one is chance")
	fail(WorkerError)
	assert.False(t, takes(again))
	d.now += 2 * Second
	assert.True(t, takes(again), "a trial")
	assert.False(t, takes(once), "not by this")
	d.now += 8 * Second
	assert.True(t, takes(once), "nothing else has tried")
	fail(Succeeded)
	fail(WorkerError)
	assert.True(t, takes(again), "a success clears it")
}

// Guards against a long rest for one failure: all that is out at a worker ends with its process.
func TestOneFailureEndsAllThatIsOutAndCountsOnce(t *testing.T) {
	d, _ := newWarmBalancer(1, 1)
	for inv := range RequestID(3) {
		d.RequestArrived(inv, Arrival{Timeout: 90 * Second, SizeHint: 100})
		d.startAttempt(inv, 0)
	}
	d.AttemptEnded(0, 0, ConnectionStale, true)
	assert.Equal(t, 0, d.workers[0].consecutiveFailures, "a kept connection may end and its worker be well")
	d.AttemptEnded(1, 0, NoConnection, true)
	d.AttemptEnded(2, 0, NoConnection, true)
	assert.Equal(t, []any{1, d.now + Second}, []any{d.workers[0].consecutiveFailures, d.workers[0].probeAfter})
}

// Guards against a lost zone that is still listed: an invocation would use up its forwards there one by one.
func TestLostZoneIsLeftAfterAFewForwardsAndTriedAgain(t *testing.T) {
	d, b := newWarmBalancer(40, 1) // even workers in zone 0, odd ones in zone 1
	d.config.zone, d.config.crossZoneCost, d.config.startNotices = 1, 0.01, false
	lost := 0
	for inv := range RequestID(10) {
		d.RequestArrived(inv, Arrival{Operation: 2, Timeout: 20 * Second, SizeHint: 100})
		d.RunDueRules()
		for i := &d.requests.byID[inv]; !i.closed; d.RunDueRules() {
			f := len(i.attempts) - 1
			if d.workers[i.attempts[f].worker].zone == 1 {
				lost++
				d.AttemptEnded(inv, f, NoConnection, false)
				continue
			}
			d.AttemptEnded(inv, f, Succeeded, true)
		}
	}
	assert.Equal(t, zoneFailureThreshold, lost)
	assert.NotContains(t, fmt.Sprint(b.lines), "throttle")
	assert.NotContains(t, fmt.Sprint(b.lines), "error")

	takes := func() WorkerID {
		w, ok := d.pickWorker(&request{attemptLimit: 4, interval: bothIntervals, quotaWeight: 1, size: 100, deadline: never})
		assert.True(t, ok)
		return w
	}
	assert.Zero(t, d.workers[takes()].zone)
	d.SetTime(d.now + Second)
	w := takes()
	assert.Equal(t, ZoneID(1), d.workers[w].zone, "tried again")
	d.recordZoneFailure(w)
	assert.Equal(t, d.now+2*Second, d.zones[1].ejectedUntil, "later and later")
	d.recordZoneSuccess(w)
	assert.Equal(t, ZoneID(1), d.workers[takes()].zone, "what begins there ends it")
}

func TestOnlyZoneAndLastZoneAreNeverLeft(t *testing.T) {
	d, _ := newWarmBalancer(1, 1)
	for range 2 * zoneFailureThreshold {
		d.recordZoneFailure(0)
	}
	assert.LessOrEqual(t, d.zones[0].ejectedUntil, d.now)
	d, _ = newWarmBalancer(2, 1)
	for range 2 * zoneFailureThreshold {
		d.recordZoneFailure(0)
		d.recordZoneFailure(1)
	}
	assert.Greater(t, d.zones[0].ejectedUntil, d.now)
	assert.LessOrEqual(t, d.zones[1].ejectedUntil, d.now)
}

// Guards against work that may not run again and is kept for many seconds from all workers of a zone that was cut off:
// where what failed there never ran, its own failure there is harmless as well.
func TestWorkerThatWasOutOfReachIsOpenToNonIdempotentWorkAtItsTrial(t *testing.T) {
	for how, soon := range map[Outcome]bool{NoConnection: true, ConnectionRefused: true, ConnectionReset: false, WorkerError: false} {
		d, b := newWarmBalancer(1, 1)
		d.config.warmupDuration = 0
		for inv := RequestID(0); d.workers[0].consecutiveFailures < 2; inv++ {
			d.SetTime(max(d.now, d.workers[0].probeAfter))
			d.RequestArrived(inv, Arrival{Timeout: 20 * Second, SizeHint: 100})
			d.RunDueRules()
			d.AttemptEnded(inv, 0, how, false)
			d.ClientLeft(inv, -1)
		}
		b.lines = nil
		d.SetTime(d.workers[0].probeAfter)
		d.RequestArrived(7, Arrival{Operation: 1, Timeout: 20 * Second, SizeHint: 100})
		d.RunDueRules()
		if soon {
			assert.Equal(t, []string{"forward 7 to 0"}, b.lines, "outcome %d", how)
			d.AttemptEnded(7, 0, NoConnection, false)
			d.SetTime(d.workers[0].probeAfter)
			d.RequestArrived(8, Arrival{Timeout: 20 * Second, SizeHint: 100})
			d.RunDueRules()
			d.AttemptEnded(8, 0, WorkerError, false)
			assert.True(t, d.workers[0].possiblyExecuted)
		} else {
			assert.Empty(t, b.lines, "outcome %d", how)
		}
		d.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0", StartedAt: d.now}}, false, true)
		assert.False(t, d.workers[0].possiblyExecuted, "another process")
	}
}

// Guards against a full worker that is tried again at once by all that is held, as work that brings no hint
// seems to take no time: the forwards that are allowed are used up on workers known to be full.
func TestFullWorkerRestsForAMeanRunAlsoWithoutHints(t *testing.T) {
	for name, hint := range map[string]Work{"none": 0, "as long as it runs": Second / 2} {
		t.Run(name, func(t *testing.T) {
			d, _ := newWarmBalancer(2, 1)
			d.config.startNotices = false
			inv := RequestID(0)
			land := func() *attempt {
				d.RequestArrived(inv, Arrival{Operation: 0, Timeout: 30 * Second, SizeHint: hint})
				d.RunDueRules()
				inv++
				return &d.requests.byID[inv-1].attempts[0]
			}
			for range 60 {
				land()
				d.SetTime(d.now + Second/2)
				d.AttemptEnded(inv-1, 0, Succeeded, true)
				d.RunDueRules()
			}
			f := land()
			d.AttemptEnded(inv-1, 0, Overloaded, false)
			d.RunDueRules()
			full := f.worker
			assert.InDelta(t, Second/2, float64(d.workers[full].probeAfter-d.now), 0.1*Second)
			assert.Len(t, d.requests.byID[inv-1].attempts, 2, "it goes to the other one")
			assert.NotEqual(t, full, d.requests.byID[inv-1].attempts[1].worker)
			assert.NotEqual(t, full, land().worker, "nor does another one go there")
		})
	}
}
