package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer/slotestimate"
)

func TestSlotEstimateStandsOneFalseWait(t *testing.T) {
	balancer, _ := newWarmBalancer(2, 1)
	balancer.config.reportFree = NotReported
	vote := func(load int, atOnce ...bool) {
		for _, v := range atOnce {
			balancer.observeQueueing(0, load, startOf(v))
		}
	}
	vote(1, true, true)
	vote(2, false) // an attempt that no peer had told of yet
	assert.EqualValues(t, slotestimate.Initial, balancer.slots.kinds[0].Estimate)
	vote(4, false, false)
	assert.EqualValues(t, 3, balancer.slots.kinds[0].Estimate)
	assert.EqualValues(t, 1, balancer.slots.kinds[0].MaxObserved)
	vote(3, true, true)
	vote(2, true, true, true)
	assert.EqualValues(t, 3, balancer.slots.kinds[0].Estimate)
	assert.EqualValues(t, 3, balancer.slots.kinds[0].MaxObserved, "twice seen")
}

// Regression test for a load report out of all proportion, after which no worker elsewhere was tried for long.
func TestNegativeLoadReportCountsAsNoFreeSlot(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	balancer.ReceiveLoadReport(0, []float64{-1e9})
	assert.InDelta(t, 1-learningRate, balancer.slots.freeSlotRatio, 1e-9)
}

func TestStartOnDeliveryIsAVoteForAFreeSlot(t *testing.T) {
	balancer, _ := newDeliveryNoticesBalancer()
	for id := range RequestID(4) {
		balancer.RequestArrived(id, Arrival{Timeout: 10 * Second, SizeHint: 100})
		balancer.RunDueRules()
		balancer.SetTime(balancer.now.Add(3 * balancer.config.patience))
		balancer.AttemptDelivered(id, 0)
		balancer.AttemptStarted(id, 0)
		balancer.AttemptEnded(id, 0, Succeeded, FinalAnswer)
	}
	assert.Positive(t, balancer.slots.kinds[0].Votes[1], "starts at once at a load of one")
}

// Regression test for a budget for more slots than a kind has: by late news some attempts start at once at loads that
// nearly all others wait at, and the most that was ever so voted for counted for good.
func TestMaxObservedIsWhatVotesAgreeOn(t *testing.T) {
	balancer, _ := newWarmBalancer(2, 1)
	balancer.config.reportFree = NotReported // no reports tell
	vote := func(load, times int, atOnce bool) {
		for range times {
			balancer.observeQueueing(0, load, startOf(atOnce))
		}
	}
	vote(1, 10, true)
	vote(2, 10, true)
	vote(3, 6, true)
	assert.EqualValues(t, 3, balancer.slots.kinds[0].MaxObserved)
	vote(4, 2, true)
	assert.EqualValues(t, 4, balancer.slots.kinds[0].MaxObserved, "for all that is known then")
	vote(4, 3, false)
	vote(5, 4, false)
	vote(5, 2, true)
	assert.EqualValues(t, 3, balancer.slots.kinds[0].MaxObserved)
	vote(4, 5, true)
	assert.EqualValues(t, 4, balancer.slots.kinds[0].MaxObserved)
}
