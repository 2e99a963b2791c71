package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer/slotestimate"
)

// newVotingBalancer returns a Balancer without load reports, which estimates slots from the starts of attempts. It also
// returns a function that records a number of attempts which start at once, or wait, at a given load.
func newVotingBalancer() (*Balancer, func(load, times int, start slotestimate.Start)) {
	balancer, _ := newWarmBalancer(2, 1)
	balancer.config.reportFree = NotReported
	return balancer, func(load, times int, start slotestimate.Start) {
		for range times {
			balancer.observeAttemptStart(0, load, start)
		}
	}
}

func TestSlotEstimateIsNotLoweredByOneWait(t *testing.T) {
	balancer, vote := newVotingBalancer()
	kind := &balancer.slots.kinds[0]
	vote(1, 2, slotestimate.AtOnce)
	vote(2, 1, slotestimate.Waited) // caused by an attempt that a peer had not reported yet
	assert.EqualValues(t, slotestimate.Initial, kind.Estimate)
	vote(4, 2, slotestimate.Waited)
	assert.EqualValues(t, 3, kind.Estimate)
	assert.EqualValues(t, 1, kind.MaxObserved)
	vote(3, 2, slotestimate.AtOnce)
	vote(2, 3, slotestimate.AtOnce)
	assert.EqualValues(t, 3, kind.Estimate)
	assert.EqualValues(t, 3, kind.MaxObserved, "two votes confirm it")
}

// Regression test: after a load report with an implausible value, workers whose load was not reported by peers got no
// attempts for a long time.
func TestNegativeLoadReportCountsAsNoFreeSlot(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	balancer.ReceiveLoadReport(0, []float64{-1e9})
	assert.InDelta(t, 1-learningRate, balancer.slots.freeSlotRatio, 1e-9)
}

func TestStartOnDeliveryCountsAsAVoteForAFreeSlot(t *testing.T) {
	balancer, _ := newDeliveryNoticesBalancer()
	for id := range RequestID(4) {
		submitRequest(balancer, id, Arrival{Timeout: 10 * Second, SizeHint: 100})
		balancer.SetTime(balancer.now.Add(3 * balancer.config.startTimeout))
		balancer.AttemptDelivered(id, 0)
		balancer.AttemptStarted(id, 0)
		balancer.AttemptEnded(id, 0, Succeeded, FinalAnswer)
	}
	assert.Positive(t, balancer.slots.kinds[0].Votes[1], "votes for a free slot at a load of one")
}

// Regression test: the warm-up budget was computed for more slots than the kind has. Because load messages are delayed,
// some attempts start at once at a load at which nearly all others wait. The highest such load was kept permanently.
func TestMaxObservedFollowsTheMajorityOfVotes(t *testing.T) {
	balancer, vote := newVotingBalancer()
	kind := &balancer.slots.kinds[0]
	vote(1, 10, slotestimate.AtOnce)
	vote(2, 10, slotestimate.AtOnce)
	vote(3, 6, slotestimate.AtOnce)
	assert.EqualValues(t, 3, kind.MaxObserved)
	vote(4, 2, slotestimate.AtOnce)
	assert.EqualValues(t, 4, kind.MaxObserved, "no attempt has waited at this load so far")
	vote(4, 3, slotestimate.Waited)
	vote(5, 4, slotestimate.Waited)
	vote(5, 2, slotestimate.AtOnce)
	assert.EqualValues(t, 3, kind.MaxObserved)
	vote(4, 5, slotestimate.AtOnce)
	assert.EqualValues(t, 4, kind.MaxObserved)
}
