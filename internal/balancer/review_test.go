package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestFinalAnswerComesInTimeWithoutAnOutcome(t *testing.T) {
	balancer, effects := newWarmBalancer(1, 1)
	balancer.RequestArrived(0, Arrival{Operation: 1, Timeout: Second / 100, SizeHint: 100}) // a late try of little grace
	balancer.RunDueRules()
	assert.Equal(t, []string{"attempt 0 to 0"}, effects.lines)
	balancer.SetTime(min(balancer.due.wakeAt, balancer.now+Second/100))
	balancer.RunDueRules()
	assert.Equal(t, []string{"attempt 0 to 0", "fail 0", "cancel 0.0"}, effects.lines)
	balancer.AttemptEnded(0, 0, Succeeded, FinalAnswer) // after the end: harmless
	balancer.ClientLeft(0, NoAttempt)
	balancer.RunDueRules()
	assert.Len(t, effects.lines, 3)
}

func TestLatePendingRequestsAreRejectedAtOnce(t *testing.T) {
	balancer, effects := newWarmBalancer(1, 1)
	balancer.workers[0].unstarted = 1
	balancer.RequestArrived(0, Arrival{Timeout: 10 * Second, SizeHint: 100})
	balancer.RequestArrived(1, Arrival{Operation: 1, Timeout: 10 * Second, SizeHint: 100})
	balancer.now += Second + 1
	balancer.RunDueRules()
	assert.ElementsMatch(t, []string{"reject 0, retry after 20000", "reject 1, retry after 0"}, effects.lines)
}

func TestHopelessAttemptInAQueueIsRejected(t *testing.T) {
	balancer, effects := newWarmBalancer(1, 1)
	balancer.operations.byID[0].slack, balancer.operations.byID[1].slack = 2, 2
	balancer.RequestArrived(0, Arrival{Timeout: 10 * Second, SizeHint: Second})
	balancer.RunDueRules()
	balancer.RequestArrived(1, Arrival{Operation: 1, Timeout: 10 * Second, SizeHint: Second})
	balancer.workers[0].unstarted = 0
	balancer.RunDueRules()
	balancer.now += 2*Second + 1 // the objective, and half of what the hint allows on top
	balancer.due.reviewAt = balancer.now
	balancer.RunDueRules()
	assert.Equal(t, []string{"attempt 0 to 0", "attempt 1 to 0", "reject 0, retry after 20000", "cancel 0.0"}, effects.lines)
}

func TestUnstartedAttemptIsMigrated(t *testing.T) {
	balancer, effects := newWarmBalancer(2, 1)
	balancer.RequestArrived(0, Arrival{Timeout: 10 * Second, SizeHint: 100})
	balancer.RunDueRules()
	balancer.now = balancer.now.Add(balancer.config.patience)
	balancer.RunDueRules()
	assert.Len(t, effects.lines, 3)
	assert.Equal(t, "cancel 0.0", effects.lines[2])
	assert.NotEqual(t, effects.lines[0], effects.lines[1])
}

// Regression test for a worker that tells of a start and then nothing more, for as long as the client waits.
func TestLongRunIsHedgedWhereThereIsRoomToSpare(t *testing.T) {
	for _, c := range []struct {
		op     OperationID
		ran    Time
		busy   int
		copied int
	}{{0, 50 * Second, 0, 1}, {0, 40 * Second, 0, 0}, {0, 50 * Second, 4, 0}, {1, 50 * Second, 0, 0}} {
		balancer, _ := newWarmBalancer(2, 1)
		balancer.config.gossip, balancer.subsetting.subsets[bothIntervals].workers = true, balancer.subsetting.ring
		balancer.subsetting.subsets[bothIntervals].reindex(balancer.workers)
		balancer.RequestArrived(0, Arrival{Operation: c.op, Timeout: 90 * Second, SizeHint: 1000})
		balancer.RunDueRules()
		balancer.AttemptStarted(0, 0)
		balancer.workers[1-balancer.requests.byID[0].attempts[0].worker].gossip.peerInFlight = c.busy
		balancer.now += c.ran
		balancer.reviewOpenRequests()
		assert.Len(t, balancer.requests.byID[0].attempts, 1+c.copied, c)
	}
}

// newDeliveryNoticesBalancer is a dispatcher whose caller tells when a worker has an attempt.
func newDeliveryNoticesBalancer() (*Balancer, *recorder) {
	effects := &recorder{}
	config := testConfig
	config.DeliveryNotices, config.ReportFree = true, -1
	balancer := New(config, 1, effects)
	balancer.SetTime(100 * Second)
	balancer.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0"}, {Worker: 1, ID: "w1"}}, AllEndpoints, FromDiscovery)
	return balancer, effects
}

// Regression test for an operation of a short objective that is hardly served, as each of its attempts is canceled
// before its worker could have told of a start.
func TestAttemptOnItsWayIsNotMigrated(t *testing.T) {
	balancer, effects := newDeliveryNoticesBalancer()
	balancer.RequestArrived(0, Arrival{Timeout: 10 * Second, SizeHint: 100})
	balancer.RunDueRules()
	assert.Len(t, effects.lines, 1)
	balancer.SetTime(balancer.now.Add(balancer.config.patience))
	balancer.RunDueRules()
	assert.Len(t, effects.lines, 1, "it need not have arrived yet")
	balancer.AttemptDelivered(0, 0)
	balancer.SetTime(balancer.now.Add(balancer.config.patience - 1))
	balancer.RunDueRules()
	assert.Len(t, effects.lines, 1)
	balancer.SetTime(balancer.now.Add(balancer.config.patience))
	balancer.RunDueRules()
	assert.Len(t, effects.lines, 3, "it waits behind others there")
	assert.Equal(t, "cancel 0.0", effects.lines[2])
}

// Regression test for workers that say nothing at all, and for a figure that no attempt could ever raise.
func TestAttemptThatIsNeverDeliveredIsMigrated(t *testing.T) {
	balancer, effects := newDeliveryNoticesBalancer()
	for range 50 { // near workers have what is sent after 10 ms
		balancer.zones[0].deliveryTime = 100
	}
	balancer.RequestArrived(0, Arrival{Timeout: 10 * Second, SizeHint: 100})
	balancer.RunDueRules()
	balancer.SetTime(balancer.now.Add(balancer.config.patience + deliveryMargin*100))
	balancer.RunDueRules()
	assert.Len(t, effects.lines, 3)
	assert.Greater(t, balancer.zones[0].deliveryTime, Time(100), "those on their way teach as well")
	for range 1000 {
		balancer.zones[0].deliveryTime = min(balancer.zones[0].deliveryTime*2, balancer.config.warmupWindow)
		balancer.observeDelivery(&attempt{sentAt: balancer.now - 100*Second})
	}
	assert.LessOrEqual(t, balancer.zones[0].deliveryTime, balancer.config.warmupWindow/8)
}

// Regression test for a client that comes again after its objective, whose attempt was canceled in the moment in which
// it was sent: however long it would have waited, it could never be served.
func TestLateRetryIsGivenTimeToBeServed(t *testing.T) {
	balancer, effects := newWarmBalancer(1, 1)
	balancer.config.reportFree = NotReported // nothing tells which workers have room
	balancer.RequestArrived(0, Arrival{Timeout: 20 * Second, SizeHint: 100})
	balancer.RunDueRules()
	balancer.AttemptStarted(0, 0)
	balancer.AttemptEnded(0, 0, Succeeded, FinalAnswer)
	balancer.RequestArrived(0, Arrival{Timeout: 18 * Second, SizeHint: 100}) // a second after its objective
	balancer.RunDueRules()
	assert.Equal(t, "attempt 0 to 0", effects.lines[1])
	for until := balancer.now.Add(balancer.operations.byID[0].latencyObjective); balancer.now < until; {
		balancer.SetTime(balancer.now.Add(balancer.config.patience / 2))
		balancer.RunDueRules()
		if balancer.now <= until {
			assert.Len(t, effects.lines, 2, "%d before its time", until-balancer.now)
		}
	}
	balancer.SetTime(balancer.now.Add(balancer.config.patience))
	balancer.RunDueRules()
	assert.Equal(t, []string{"reject 0, retry after 20000", "cancel 0.0"}, effects.lines[2:], "it clogs the worker's queue")

	balancer.operations.byID[0].lateShare = 0 // a late answer earns nothing: it would only be in the way
	balancer.RequestArrived(0, Arrival{Timeout: 18 * Second, SizeHint: 100})
	balancer.SetTime(balancer.now.Add(balancer.config.patience))
	balancer.RunDueRules()
	assert.Contains(t, effects.lines[4:], "reject 0, retry after 20000")
}

// Where it is known which workers have room, it need not wait in a queue; but its worker has to have it first.
func TestLateRetryIsNotCanceledBeforeItsWorkerCouldStart(t *testing.T) {
	balancer, effects := newDeliveryNoticesBalancer()
	balancer.config.reportFree, balancer.operations.byID[0].longestTimeout, balancer.zones[0].deliveryTime = 0, 20*Second, 100
	balancer.due.reviewAt = balancer.now.Add(balancer.config.patience)
	balancer.RequestArrived(0, Arrival{Timeout: 18 * Second, SizeHint: 100})
	balancer.RunDueRules()
	for range 3 { // each sweep
		balancer.due.reviewAt = balancer.now
		balancer.RunDueRules()
	}
	assert.Equal(t, 1, len(effects.lines), "it is on its way")
	balancer.SetTime(balancer.now + 90)
	balancer.AttemptDelivered(0, 0)
	balancer.due.reviewAt = balancer.now
	balancer.RunDueRules()
	assert.Equal(t, 1, len(effects.lines), "the word of its start may be on the way")
	balancer.SetTime(balancer.now.Add(balancer.config.margin))
	balancer.due.reviewAt = balancer.now
	balancer.RunDueRules()
	assert.Contains(t, effects.lines, "reject 0, retry after 20000", "it waits behind others, and clogs the queue")
}

// Regression test for late work that keeps others from being in time.
func TestLateRequestGoesBehindThoseInTime(t *testing.T) {
	balancer, effects := newWarmBalancer(1, 1)
	balancer.operations.byID[0].value, balancer.operations.byID[1].value, balancer.operations.byID[0].lateShare, balancer.operations.byID[0].longestTimeout = 9, 8, 0.2, 20*Second
	balancer.config.reportFree = NotReported // nothing tells which workers have room
	balancer.workers[0].unstarted = 1
	balancer.RequestArrived(0, Arrival{Timeout: 20*Second - Second/2, SizeHint: 100}) // its client comes again
	balancer.RequestArrived(1, Arrival{Operation: 1, Timeout: 20 * Second, SizeHint: 100})
	assert.Equal(t, []RequestID{0, 1}, balancer.pending.ids)
	balancer.SetTime(balancer.now + Second/2 + 1)
	balancer.due.reviewAt = balancer.now
	balancer.RunDueRules()
	assert.Equal(t, []RequestID{1, 0}, balancer.pending.ids, "it earns a fifth now")
	balancer.workers[0].unstarted = 0
	balancer.subsetting.markMaybeFree(0)
	balancer.due.capacityChanged = true
	balancer.RunDueRules()
	assert.Equal(t, []string{"attempt 1 to 0"}, effects.lines)
}
