package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestHeldOrderIsByValueThenLatestStart(t *testing.T) {
	d, _ := newWarmBalancer(1, 1)
	d.workers[0].unstarted = 1
	for inv, op := range []OperationID{0, 0, 1} {
		d.now += 10
		d.RequestArrived(RequestID(inv), Arrival{Operation: op, Timeout: 10 * Second, SizeHint: 100})
	}
	d.requests.byID[0].quotaWeight = d.config.overQuotaShare
	d.updateCutPoints()
	assert.Equal(t, []RequestID{2, 1, 0}, d.pending.ids)
}

func TestOperationThatLostMostIsWeighedByItsPartInTheGoal(t *testing.T) {
	d, _ := newWarmBalancer(1, 1)
	d.config.worstOperationWeight = 1
	d.workers[0].probeAfter = 200 * Second
	for inv, op := range []OperationID{1, 0, 1} { // worth 8 and 1 for a unit of work
		d.now++
		d.RequestArrived(RequestID(inv), Arrival{Operation: op, Timeout: 10 * Second, SizeHint: Second})
	}
	assert.Equal(t, []RequestID{0, 2, 1}, d.pending.ids)
	d.RequestArrived(3, Arrival{Timeout: 10 * Second, SizeHint: Second})
	d.rejectOrFail(3)
	assert.Equal(t, []RequestID{1, 0, 2}, d.pending.ids, "else the operation of little value would get nothing")
}
