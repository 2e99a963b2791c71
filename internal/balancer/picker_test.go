package balancer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// facadeOf has n warm workers and a clock that the test sets.
func facadeOf(t Config, n int) (*Picker, *Time) {
	now := Time(100 * Second)
	f := NewPicker(t, 1, func() Time { return now }, func(string) {})
	var list []Endpoint
	for w := range n {
		list = append(list, Endpoint{Worker: WorkerID(w), ID: fmt.Sprintf("w%d", w), Zone: ZoneID(w % 2), Cell: CellID(w)})
	}
	f.UpdateEndpoints(list, true, false)
	return f, &now
}

func pick(t *testing.T, ticket *RequestHandle) Decision {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := ticket.Pick(ctx)
	assert.NoError(t, err)
	return c
}

func TestPickSendsAndThenAnswersWithTheForwardThatSucceeded(t *testing.T) {
	f, _ := facadeOf(testConfig, 2)
	ticket := f.Submit(Arrival{Timeout: 3 * Second})
	c := pick(t, ticket)
	assert.Equal(t, SendAttempt, c.Action)
	assert.Equal(t, Idempotent, c.Idempotency)
	assert.Equal(t, NonIdempotent, pick(t, f.Submit(Arrival{Operation: 1, Timeout: 3 * Second})).Idempotency)
	assert.NoError(t, c.Ctx.Err())
	assert.True(t, ticket.Report(c.Attempt, Succeeded))
	assert.Equal(t, Decision{Action: RespondResult, Attempt: c.Attempt}, pick(t, ticket))
	assert.Equal(t, 1, f.OpenRequests(), "the other one")
	assert.False(t, ticket.Report(c.Attempt, Succeeded), "a second report counts for nothing")
}

func TestPickThrottlesWhereThereIsNoWorkerInTime(t *testing.T) {
	f, now := facadeOf(testConfig, 0)
	ticket := f.Submit(Arrival{Timeout: 3 * Second})
	*now += 3 * Second
	f.update(func(*Balancer) {})
	assert.Equal(t, RespondRejected, pick(t, ticket).Action)
	assert.Equal(t, 0, f.OpenRequests())
}

func TestMayHaveRunEndsANonIdempotentInvocationAsErrored(t *testing.T) {
	f, _ := facadeOf(testConfig, 4)
	ticket := f.Submit(Arrival{Operation: 1, Timeout: 3 * Second})
	ticket.Report(pick(t, ticket).Attempt, ConnectionReset)
	assert.Equal(t, RespondFailed, pick(t, ticket).Action)
}

func TestNeverRanLetsANonIdempotentInvocationBeSentAgain(t *testing.T) {
	f, _ := facadeOf(testConfig, 4)
	ticket := f.Submit(Arrival{Operation: 1, Timeout: 3 * Second})
	ticket.Report(pick(t, ticket).Attempt, NoConnection)
	assert.Equal(t, SendAttempt, pick(t, ticket).Action)
}

func TestRepeatHasToBeSentBeforeItsRetryWindowCloses(t *testing.T) {
	const zoned, step = OperationID(2), Second / 4
	window := testConfig.Operations[zoned].DedupWindow
	for name, c := range map[string]struct {
		op   OperationID
		ends []Outcome // of the attempts before the last one, a step apart
		left Time      // of the window as the last one is decided on, 0 for no bound
	}{
		"the first attempt":                     {op: zoned},
		"after one that may have run":           {zoned, []Outcome{ConnectionReset}, window - step},
		"after one that never ran":              {zoned, []Outcome{NoConnection}, 0},
		"after one that never ran, and another": {zoned, []Outcome{NoConnection, ConnectionReset}, window - step},
		"where it may run again anyway":         {0, []Outcome{ConnectionReset}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f, now := facadeOf(testConfig, 8)
			ticket := f.Submit(Arrival{Operation: c.op, Timeout: 30 * Second})
			choice := pick(t, ticket)
			var before time.Time
			for _, how := range c.ends {
				*now += step
				before = time.Now()
				ticket.Report(choice.Attempt, how)
				choice = pick(t, ticket)
			}
			if c.left == 0 {
				assert.Zero(t, choice.SendBy)
				return
			}
			left := (c.left - f.balancer.config.margin).Duration()
			assert.WithinRange(t, choice.SendBy, before.Add(left), time.Now().Add(left))
		})
	}
}

func TestClientThatLeavesCallsItsForwardsOff(t *testing.T) {
	f, _ := facadeOf(testConfig, 2)
	ticket := f.Submit(Arrival{Timeout: 3 * Second})
	c := pick(t, ticket)
	gone, leave := context.WithCancel(context.Background())
	leave()
	_, err := ticket.Pick(gone)
	assert.ErrorIs(t, err, context.Canceled)
	assert.ErrorIs(t, context.Cause(c.Ctx), ErrAttemptCanceled)
	assert.Equal(t, 1, f.OpenRequests(), "its number is not used again before the forward has reported")
	ticket.Report(c.Attempt, Canceled)
	assert.Equal(t, 0, f.OpenRequests())
}

// Guards against numbers that never come free: a choice that nobody picks has nobody to report it.
func TestChoiceToSendThatNobodyPickedIsReportedWhenTheClientLeaves(t *testing.T) {
	f, _ := facadeOf(testConfig, 2)
	ticket := f.Submit(Arrival{Timeout: 3 * Second})
	ticket.clientLeft()
	assert.Equal(t, 0, f.OpenRequests())
	assert.Equal(t, 0, f.balancer.workers[0].inFlight+f.balancer.workers[1].inFlight)
}

// Guards against a forward that goes out after the answer, where forwards may not be called off.
func TestForwardNotPickedBeforeTheAnswerIsNeverSent(t *testing.T) {
	terms := testConfig
	terms.Cancellation = false
	f, _ := facadeOf(terms, 2)
	ticket := f.Submit(Arrival{Timeout: 3 * Second})
	first := pick(t, ticket)
	f.update(func(d *Balancer) { d.startAttempt(ticket.id, 1-first.Worker) })
	assert.True(t, ticket.Report(first.Attempt, Succeeded))
	assert.Equal(t, Decision{Action: RespondResult, Attempt: first.Attempt}, pick(t, ticket))
	assert.Equal(t, 0, f.OpenRequests())
}

func TestNumbersAreUsedAgain(t *testing.T) {
	f, _ := facadeOf(testConfig, 2)
	for range 3 {
		ticket := f.Submit(Arrival{Timeout: 3 * Second})
		assert.Equal(t, RequestID(0), ticket.id)
		ticket.Report(pick(t, ticket).Attempt, Succeeded)
		pick(t, ticket)
	}
}

func TestEndByAnswersWhatIsOpenBeforeTheProcessEnds(t *testing.T) {
	f, now := facadeOf(testConfig, 2)
	idempotent := f.Submit(Arrival{Timeout: 30 * Second})
	once := f.Submit(Arrival{Operation: 1, Timeout: 30 * Second})
	assert.Equal(t, SendAttempt, pick(t, idempotent).Action)
	assert.Equal(t, SendAttempt, pick(t, once).Action)
	f.StopAfter(3 * Second)
	*now += 3 * Second
	f.update(func(*Balancer) {})
	assert.Equal(t, RespondRejected, pick(t, idempotent).Action)
	assert.Equal(t, RespondFailed, pick(t, once).Action)
}

func TestTickGoesThroughTheRulesWhenOneComesDue(t *testing.T) {
	start := time.Now()
	f := NewPicker(testConfig, 1, func() Time { return Second + Time(time.Since(start)/100000) }, func(string) {})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- f.Run(ctx) }()
	ticket := f.Submit(Arrival{Timeout: Second / 10})
	assert.Equal(t, RespondRejected, pick(t, ticket).Action, "no worker is known, and no other call is made")
	cancel()
	assert.NoError(t, <-ended)
}

func TestManyClientsAtOnce(t *testing.T) {
	f, _ := facadeOf(testConfig, 4)
	start := time.Now()
	f.clock = func() Time { return 100*Second + Time(time.Since(start)/100000) }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- f.Run(ctx) }()
	var clients sync.WaitGroup
	for n := range 50 {
		clients.Go(func() {
			ticket := f.Submit(Arrival{Operation: OperationID(n % len(testConfig.Operations)), Timeout: 3 * Second})
			for {
				c := pick(t, ticket)
				if c.Action != SendAttempt {
					return
				}
				ticket.ReportStarted(c.Attempt)
				ticket.Report(c.Attempt, []Outcome{Succeeded, Overloaded, Succeeded, WorkerError}[(n+c.Attempt)%4])
				f.ReceiveLoad(1, Load{Worker: c.Worker, InFlight: n % 3})
			}
		})
	}
	clients.Wait()
	cancel()
	assert.NoError(t, <-ended)
	assert.Equal(t, 0, f.OpenRequests())
	assert.Zero(t, f.balancer.workers[0].inFlight+f.balancer.workers[1].inFlight+f.balancer.workers[2].inFlight+f.balancer.workers[3].inFlight, "nothing is left out")
}

// Guards against a crash: a peer may tell of a worker whose list is still on its way to the rules.
func TestPeerThatTellsOfAWorkerNotListedYetIsPassedOver(t *testing.T) {
	f, _ := facadeOf(testConfig, 1)
	assert.NotPanics(t, func() { f.ReceiveLoad(1, Load{Worker: 7, InFlight: 2}) })
}

func TestNewsForOnePeerGoTogether(t *testing.T) {
	f, _ := facadeOf(testConfig, 1)
	l := pickerEffects{f}
	l.SendLoad(1, Load{0, 2})
	l.SendLoad(0, Load{0, 2})
	l.SendLoad(1, Load{1, 3})
	news, err := f.NextLoadUpdates(context.Background())
	assert.NoError(t, err)
	assert.Equal(t, []LoadUpdate{{1, []Load{{0, 2}, {1, 3}}}, {0, []Load{{0, 2}}}}, news)
}

// Guards against a list service that is asked again with no wait, and one that is asked late after it moved.
func TestListIsAskedForAgainAfterAWaitOrAtOnceWhereItMoved(t *testing.T) {
	terms := testConfig
	terms.PollEndpoints = true
	f, now := facadeOf(terms, 1)
	asked := func() bool { return len(f.pollDue) > 0 }
	f.ReportWatchEnded(WatchFailed)
	*now += 5 * Second
	f.update(func(*Balancer) {})
	assert.True(t, asked(), "and nobody takes it up before the next word")
	f.ReportWatchEnded(WatchFailed)
	assert.False(t, asked())
	f.update(func(d *Balancer) { d.discovery.pollNow(d.now) })
	assert.True(t, asked())
	for range 5 { // it answers, and is cut: no backoff
		<-f.pollDue
		f.ReportWatchEnded(WatchCut)
		*now += 1300 * Second / 1000
		f.update(func(*Balancer) {})
		assert.True(t, asked())
	}
}

// Guards against a peer that starts again with no view of our load, and against our view of what it had out.
func TestPeerThatHasStartedIsToldWhatIsOutHere(t *testing.T) {
	terms := testConfig
	terms.Gossip = true
	f, now := facadeOf(terms, 2)
	ticket := f.Submit(Arrival{Timeout: 90 * Second, SizeHint: Work(9 * Second)})
	c := pick(t, ticket)
	ticket.ReportStarted(c.Attempt)
	*now += Second
	f.update(func(*Balancer) {})
	_, err := f.NextLoadUpdates(context.Background())
	assert.NoError(t, err)
	f.ReceiveLoad(1, Load{Worker: 0, InFlight: 3})
	f.update(func(d *Balancer) { d.receivePeerStarted(1) })
	assert.Equal(t, 0, f.balancer.workers[0].peerInFlight)
	*now += Second
	f.update(func(*Balancer) {})
	news, err := f.NextLoadUpdates(context.Background())
	assert.NoError(t, err)
	assert.Equal(t, []LoadUpdate{{1, []Load{{c.Worker, 1}}}}, news)
}
