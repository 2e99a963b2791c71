package decide

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// facadeOf has n warm workers and a clock that the test sets.
func facadeOf(t Terms, n int) (*Facade, *Time) {
	now := Time(100 * Second)
	f := NewFacade(t, 1, func() Time { return now }, func(string) {})
	var list []Entry
	for w := range n {
		list = append(list, Entry{Tgt: Worker(w), ID: fmt.Sprintf("w%d", w), Zone: Zone(w % 2), Cell: Cell(w)})
	}
	f.ReportList(list, true, false)
	return f, &now
}

func pick(t *testing.T, ticket *Ticket) Choice {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := ticket.Pick(ctx)
	assert.NoError(t, err)
	return c
}

func TestPickSendsAndThenAnswersWithTheForwardThatSucceeded(t *testing.T) {
	f, _ := facadeOf(someTerms, 2)
	ticket := f.Land(Landing{Grace: 3 * Second})
	c := pick(t, ticket)
	assert.Equal(t, Send, c.Do)
	assert.Equal(t, Idempotent, c.Repeat)
	assert.Equal(t, NonIdempotent, pick(t, f.Land(Landing{Operation: 1, Grace: 3 * Second})).Repeat)
	assert.NoError(t, c.Ctx.Err())
	assert.True(t, ticket.Report(c.N, Succeeded))
	assert.Equal(t, Choice{Do: AnswerFound, N: c.N}, pick(t, ticket))
	assert.Equal(t, 1, f.Open(), "the other one")
	assert.False(t, ticket.Report(c.N, Succeeded), "a second report counts for nothing")
}

func TestPickThrottlesWhereThereIsNoWorkerInTime(t *testing.T) {
	f, now := facadeOf(someTerms, 0)
	ticket := f.Land(Landing{Grace: 3 * Second})
	*now += 3 * Second
	f.with(func(*Dispatcher) {})
	assert.Equal(t, AnswerThrottled, pick(t, ticket).Do)
	assert.Equal(t, 0, f.Open())
}

func TestMayHaveRunEndsANonIdempotentInvocationAsErrored(t *testing.T) {
	f, _ := facadeOf(someTerms, 4)
	ticket := f.Land(Landing{Operation: 1, Grace: 3 * Second})
	ticket.Report(pick(t, ticket).N, Reset)
	assert.Equal(t, AnswerErrored, pick(t, ticket).Do)
}

func TestNeverRanLetsANonIdempotentInvocationBeSentAgain(t *testing.T) {
	f, _ := facadeOf(someTerms, 4)
	ticket := f.Land(Landing{Operation: 1, Grace: 3 * Second})
	ticket.Report(pick(t, ticket).N, NoConnection)
	assert.Equal(t, Send, pick(t, ticket).Do)
}

func TestRepeatHasToBeSentBeforeItsRetryWindowCloses(t *testing.T) {
	const zoned, step = Operation(2), Second / 4
	window := someTerms.Operations[zoned].Window
	for name, c := range map[string]struct {
		op   Operation
		ends []Outcome // of the attempts before the last one, a step apart
		left Time      // of the window as the last one is decided on, 0 for no bound
	}{
		"the first attempt":                     {op: zoned},
		"after one that may have run":           {zoned, []Outcome{Reset}, window - step},
		"after one that never ran":              {zoned, []Outcome{NoConnection}, 0},
		"after one that never ran, and another": {zoned, []Outcome{NoConnection, Reset}, window - step},
		"where it may run again anyway":         {0, []Outcome{Reset}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f, now := facadeOf(someTerms, 8)
			ticket := f.Land(Landing{Operation: c.op, Grace: 30 * Second})
			choice := pick(t, ticket)
			var before time.Time
			for _, how := range c.ends {
				*now += step
				before = time.Now()
				ticket.Report(choice.N, how)
				choice = pick(t, ticket)
			}
			if c.left == 0 {
				assert.Zero(t, choice.SendBy)
				return
			}
			left := (c.left - f.d.margin).Duration()
			assert.WithinRange(t, choice.SendBy, before.Add(left), time.Now().Add(left))
		})
	}
}

func TestClientThatLeavesCallsItsForwardsOff(t *testing.T) {
	f, _ := facadeOf(someTerms, 2)
	ticket := f.Land(Landing{Grace: 3 * Second})
	c := pick(t, ticket)
	gone, leave := context.WithCancel(context.Background())
	leave()
	_, err := ticket.Pick(gone)
	assert.ErrorIs(t, err, context.Canceled)
	assert.ErrorIs(t, context.Cause(c.Ctx), ErrCalledOff)
	assert.Equal(t, 1, f.Open(), "its number is not used again before the forward has reported")
	ticket.Report(c.N, Cancelled)
	assert.Equal(t, 0, f.Open())
}

// Guards against numbers that never come free: a choice that nobody picks has nobody to report it.
func TestChoiceToSendThatNobodyPickedIsReportedWhenTheClientLeaves(t *testing.T) {
	f, _ := facadeOf(someTerms, 2)
	ticket := f.Land(Landing{Grace: 3 * Second})
	ticket.leave()
	assert.Equal(t, 0, f.Open())
	assert.Equal(t, 0, f.d.own[0]+f.d.own[1])
}

// Guards against a forward that goes out after the answer, where forwards may not be called off.
func TestForwardNotPickedBeforeTheAnswerIsNeverSent(t *testing.T) {
	terms := someTerms
	terms.MayCancel = false
	f, _ := facadeOf(terms, 2)
	ticket := f.Land(Landing{Grace: 3 * Second})
	first := pick(t, ticket)
	f.with(func(d *Dispatcher) { d.forward(ticket.inv, 1-first.Tgt) })
	assert.True(t, ticket.Report(first.N, Succeeded))
	assert.Equal(t, Choice{Do: AnswerFound, N: first.N}, pick(t, ticket))
	assert.Equal(t, 0, f.Open())
}

func TestNumbersAreUsedAgain(t *testing.T) {
	f, _ := facadeOf(someTerms, 2)
	for range 3 {
		ticket := f.Land(Landing{Grace: 3 * Second})
		assert.Equal(t, Inv(0), ticket.inv)
		ticket.Report(pick(t, ticket).N, Succeeded)
		pick(t, ticket)
	}
}

func TestEndByAnswersWhatIsOpenBeforeTheProcessEnds(t *testing.T) {
	f, now := facadeOf(someTerms, 2)
	idempotent := f.Land(Landing{Grace: 30 * Second})
	once := f.Land(Landing{Operation: 1, Grace: 30 * Second})
	assert.Equal(t, Send, pick(t, idempotent).Do)
	assert.Equal(t, Send, pick(t, once).Do)
	f.EndBy(3 * Second)
	*now += 3 * Second
	f.with(func(*Dispatcher) {})
	assert.Equal(t, AnswerThrottled, pick(t, idempotent).Do)
	assert.Equal(t, AnswerErrored, pick(t, once).Do)
}

func TestTickGoesThroughTheRulesWhenOneComesDue(t *testing.T) {
	start := time.Now()
	f := NewFacade(someTerms, 1, func() Time { return Second + Time(time.Since(start)/100000) }, func(string) {})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- f.Tick(ctx) }()
	ticket := f.Land(Landing{Grace: Second / 10})
	assert.Equal(t, AnswerThrottled, pick(t, ticket).Do, "no worker is known, and no other call is made")
	cancel()
	assert.NoError(t, <-ended)
}

func TestManyClientsAtOnce(t *testing.T) {
	f, _ := facadeOf(someTerms, 4)
	start := time.Now()
	f.clock = func() Time { return 100*Second + Time(time.Since(start)/100000) }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- f.Tick(ctx) }()
	var clients sync.WaitGroup
	for n := range 50 {
		clients.Go(func() {
			ticket := f.Land(Landing{Operation: Operation(n % len(someTerms.Operations)), Grace: 3 * Second})
			for {
				c := pick(t, ticket)
				if c.Do != Send {
					return
				}
				ticket.ReportStart(c.N)
				ticket.Report(c.N, []Outcome{Succeeded, Full, Succeeded, WorkerError}[(n+c.N)%4])
				f.ReportPeer(1, Load{Tgt: c.Tgt, InFlight: n % 3})
			}
		})
	}
	clients.Wait()
	cancel()
	assert.NoError(t, <-ended)
	assert.Equal(t, 0, f.Open())
	assert.Zero(t, f.d.own[0]+f.d.own[1]+f.d.own[2]+f.d.own[3], "nothing is left out")
}

// Guards against a crash: a peer may tell of a worker whose list is still on its way to the rules.
func TestPeerThatTellsOfAWorkerNotListedYetIsPassedOver(t *testing.T) {
	f, _ := facadeOf(someTerms, 1)
	assert.NotPanics(t, func() { f.ReportPeer(1, Load{Tgt: 7, InFlight: 2}) })
}

func TestNewsForOnePeerGoTogether(t *testing.T) {
	f, _ := facadeOf(someTerms, 1)
	l := link{f}
	l.Tell(1, Load{0, 2})
	l.Tell(0, Load{0, 2})
	l.Tell(1, Load{1, 3})
	news, err := f.PickNews(context.Background())
	assert.NoError(t, err)
	assert.Equal(t, []News{{1, []Load{{0, 2}, {1, 3}}}, {0, []Load{{0, 2}}}}, news)
}

// Guards against a list service that is asked again with no wait, and one that is asked late after it moved.
func TestListIsAskedForAgainAfterAWaitOrAtOnceWhereItMoved(t *testing.T) {
	terms := someTerms
	terms.AskForList = true
	f, now := facadeOf(terms, 1)
	asked := func() bool { return len(f.ask) > 0 }
	f.ReportListLost(ListFailed)
	*now += 5 * Second
	f.with(func(*Dispatcher) {})
	assert.True(t, asked(), "and nobody takes it up before the next word")
	f.ReportListLost(ListFailed)
	assert.False(t, asked())
	f.ReportListMoved()
	assert.True(t, asked())
	for range 5 { // it answers, and is cut: no backoff
		<-f.ask
		f.ReportListLost(ListCut)
		*now += 1300 * Second / 1000
		f.with(func(*Dispatcher) {})
		assert.True(t, asked())
	}
}

// Guards against a peer that starts again with no view of our load, and against our view of what it had out.
func TestPeerThatHasStartedIsToldWhatIsOutHere(t *testing.T) {
	terms := someTerms
	terms.Peers = true
	f, now := facadeOf(terms, 2)
	ticket := f.Land(Landing{Grace: 90 * Second, Hint: Work(9 * Second)})
	c := pick(t, ticket)
	ticket.ReportStart(c.N)
	*now += Second
	f.with(func(*Dispatcher) {})
	_, err := f.PickNews(context.Background())
	assert.NoError(t, err)
	f.ReportPeer(1, Load{Tgt: 0, InFlight: 3})
	f.ReportPeerStarted(1)
	assert.Equal(t, 0, f.d.others[0])
	*now += Second
	f.with(func(*Dispatcher) {})
	news, err := f.PickNews(context.Background())
	assert.NoError(t, err)
	assert.Equal(t, []News{{1, []Load{{c.Tgt, 1}}}}, news)
}
