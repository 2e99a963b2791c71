package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

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
