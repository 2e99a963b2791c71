package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

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

func TestWhatRunsIsLearntForTermsThatChange(t *testing.T) {
	d, _ := retuned(t)
	d.SetTime(d.now + Second)
	d.operations.byID[0].observeRun(Second)
	stricter := namedTerms()
	stricter.Operations[0].Idempotency = NonIdempotent
	n := d.Reconfigure(stricter).Operations[0]
	assert.Equal(t, []any{d.operations.byID[0].meanRun, d.operations.byID[0].runs}, []any{d.operations.byID[n].meanRun, d.operations.byID[n].runs})
	assert.Equal(t, float64(Second), d.operations.byID[n].meanRun)
}

// Guards against invocations that use up their forwards on a zone that is full, each finding it out for
// itself, while others have room.
func TestWhatFoundNobodyNearGoesAnywhereWhereNoPeersTell(t *testing.T) {
	far := func(peers bool) (second int) {
		for seed := range uint64(20) {
			terms := testConfig
			terms.CrossZoneCost, terms.Gossip, terms.GossipCost = 0.05, peers, 0.0001
			d := New(terms, seed, &recorder{})
			d.SetTime(100 * Second)
			var list []Endpoint
			for w := range 8 {
				list = append(list, Endpoint{Worker: WorkerID(w), ID: string(rune('a' + w)), Zone: ZoneID(w % 2)})
			}
			d.UpdateEndpoints(list, true, true)
			d.RequestArrived(0, Arrival{Operation: 0, Timeout: 30 * Second, SizeHint: 100})
			d.RunDueRules()
			f := d.requests.byID[0].attempts
			assert.Equal(t, ZoneID(0), d.workers[f[0].worker].zone, "near at first")
			d.AttemptEnded(0, 0, Overloaded, false)
			d.RunDueRules()
			second += int(d.workers[d.requests.byID[0].attempts[1].worker].zone)
		}
		return second
	}
	assert.Zero(t, far(true), "peers tell of those that are near")
	assert.InDelta(t, 10, far(false), 8)
}
