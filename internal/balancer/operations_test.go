package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against figures that mean nothing where no hints come: what is lost, and of what, and what a cold worker
// is sent.
func TestWithoutHintsSizesAreWhatWasSeen(t *testing.T) {
	d, _ := newWarmBalancer(2, 1)
	d.operations.byID[0].meanRun, d.operations.byID[1].meanRun, d.operations.byID[1].value = 500, 4000, 8
	for inv, op := range []OperationID{0, 1} {
		d.RequestArrived(RequestID(inv), Arrival{Operation: op, Timeout: 20 * Second})
		assert.Equal(t, Work(d.operations.byID[op].meanRun), d.requests.byID[inv].size)
	}
	d.RunDueRules()
	sent := Work(0)
	for w := range d.workers {
		for _, s := range d.workers[WorkerID(w)].sendsAfter(d.warmupWindowStart()) {
			sent += s.work
		}
	}
	assert.Equal(t, Work(4500), sent)
	d.rejectOrFail(1)
	assert.Equal(t, OperationID(1), d.operations.worst)
	d.RequestArrived(2, Arrival{Operation: 0, Timeout: 20 * Second})
	for n := 0; n < 3; n++ {
		d.rejectOrFail(RequestID(2))
		d.RequestArrived(2, Arrival{Operation: 0, Timeout: 20 * Second})
	}
	assert.Equal(t, OperationID(1), d.operations.worst, "three of four lost are less than one of one")
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
