package decide

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a lost zone that is still listed: an invocation would use up its forwards there one by one.
func TestLostZoneIsLeftAfterAFewForwardsAndTriedAgain(t *testing.T) {
	d, b := warmDispatcher(40, 1) // even workers in zone 0, odd ones in zone 1
	d.zone, d.crossing, d.startNotes = 1, 0.01, false
	lost := 0
	for inv := range Inv(10) {
		d.Landed(inv, Landing{Operation: 2, Grace: 20 * Second, Hint: 100})
		d.Settle()
		for i := &d.invs[inv]; !i.over; d.Settle() {
			f := len(i.forwards) - 1
			if d.workerZone[i.forwards[f].tgt] == 1 {
				lost++
				d.Ended(inv, f, NoConnection, false)
				continue
			}
			d.Ended(inv, f, Succeeded, true)
		}
	}
	assert.Equal(t, zoneSilent, lost)
	assert.NotContains(t, fmt.Sprint(b.lines), "throttle")
	assert.NotContains(t, fmt.Sprint(b.lines), "error")

	takes := func() Worker {
		w, ok := d.choose(&invocation{lane: both, counts: 1, size: 100, timeout: never})
		assert.True(t, ok)
		return w
	}
	assert.Zero(t, d.workerZone[takes()])
	d.Clock(d.now + Second)
	w := takes()
	assert.Equal(t, Zone(1), d.workerZone[w], "tried again")
	d.silent(w)
	assert.Equal(t, d.now+2*Second, d.zoneAt[1], "later and later")
	d.lively(w)
	assert.Equal(t, Zone(1), d.workerZone[takes()], "what begins there ends it")
}

func TestOnlyZoneAndLastZoneAreNeverLeft(t *testing.T) {
	d, _ := warmDispatcher(1, 1)
	for range 2 * zoneSilent {
		d.silent(0)
	}
	assert.LessOrEqual(t, d.zoneAt[0], d.now)
	d, _ = warmDispatcher(2, 1)
	for range 2 * zoneSilent {
		d.silent(0)
		d.silent(1)
	}
	assert.Greater(t, d.zoneAt[0], d.now)
	assert.LessOrEqual(t, d.zoneAt[1], d.now)
}
