package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer/slotestimate"
)

// newVotingBalancer returns a Balancer without load reports: it learns slots from how attempts start. It also returns
// a function by which attempts at a load start at once, or wait first.
func newVotingBalancer() (*Balancer, func(load, times int, start slotestimate.Start)) {
	balancer, _ := newWarmBalancer(2, 1)
	balancer.config.reportFree = NotReported
	return balancer, func(load, times int, start slotestimate.Start) {
		for range times {
			balancer.observeQueueing(0, load, start)
		}
	}
}

func TestSlotEstimateIsNotLoweredByOneWait(t *testing.T) {
	balancer, vote := newVotingBalancer()
	kind := &balancer.slots.kinds[0]
	vote(1, 2, slotestimate.AtOnce)
	vote(2, 1, slotestimate.Waited) // as no peer had reported another attempt yet
	assert.EqualValues(t, slotestimate.Initial, kind.Estimate)
	vote(4, 2, slotestimate.Waited)
	assert.EqualValues(t, 3, kind.Estimate)
	assert.EqualValues(t, 1, kind.MaxObserved)
	vote(3, 2, slotestimate.AtOnce)
	vote(2, 3, slotestimate.AtOnce)
	assert.EqualValues(t, 3, kind.Estimate)
	assert.EqualValues(t, 3, kind.MaxObserved, "seen twice")
}

// Regression test for a load report out of all proportion, after which no worker whose load no peer reports was tried
// for a long time.
func TestNegativeLoadReportCountsAsNoFreeSlot(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	balancer.ReceiveLoadReport(0, []float64{-1e9})
	assert.InDelta(t, 1-learningRate, balancer.slots.freeSlotRatio, 1e-9)
}

func TestStartOnDeliveryIsAVoteForAFreeSlot(t *testing.T) {
	balancer, _ := newDeliveryNoticesBalancer()
	for id := range RequestID(4) {
		submitRequest(balancer, id, Arrival{Timeout: 10 * Second, SizeHint: 100})
		balancer.SetTime(balancer.now.Add(3 * balancer.config.patience))
		balancer.AttemptDelivered(id, 0)
		balancer.AttemptStarted(id, 0)
		balancer.AttemptEnded(id, 0, Succeeded, FinalAnswer)
	}
	assert.Positive(t, balancer.slots.kinds[0].Votes[1], "starts at once at a load of one")
}

// Regression test for a budget for more slots than a kind has. As load messages are late, some attempts start at once at
// loads at which nearly all others wait, and the highest such load counted for good.
func TestMaxObservedIsWhatVotesAgreeOn(t *testing.T) {
	balancer, vote := newVotingBalancer()
	kind := &balancer.slots.kinds[0]
	vote(1, 10, slotestimate.AtOnce)
	vote(2, 10, slotestimate.AtOnce)
	vote(3, 6, slotestimate.AtOnce)
	assert.EqualValues(t, 3, kind.MaxObserved)
	vote(4, 2, slotestimate.AtOnce)
	assert.EqualValues(t, 4, kind.MaxObserved, "no attempt has waited at this load yet")
	vote(4, 3, slotestimate.Waited)
	vote(5, 4, slotestimate.Waited)
	vote(5, 2, slotestimate.AtOnce)
	assert.EqualValues(t, 3, kind.MaxObserved)
	vote(4, 5, slotestimate.AtOnce)
	assert.EqualValues(t, 4, kind.MaxObserved)
}
