package worker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const sec = time.Second

var (
	twoCores   = Kind{Cores: 2, Queue: 1}
	slowWarmup = Warmup{InitialShare: 0.2, Duration: 10 * sec, OverloadMultiple: 4, OverloadSpan: 2 * sec}
	resultOf   = func(id string) string { return "made " + id }
)

func warm() *Machine { return NewMachine(twoCores, slowWarmup, 0, true, resultOf) }

func finished(events []Event) (ids []string) {
	for _, e := range events {
		if e.Kind == Finished {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

func offer(m *Machine, now time.Duration, id string, work time.Duration) Verdict {
	return m.Offer(now, Job{ID: id, Work: work}).Verdict
}

func TestJobsRunThenQueueThenAreDeclined(t *testing.T) {
	m := warm()
	assert.Equal(t, []Verdict{Accepted, Accepted, Accepted, Declined}, []Verdict{
		offer(m, 0, "a", sec), offer(m, 0, "b", 2*sec), offer(m, 0, "c", sec), offer(m, 0, "d", sec),
	})
	running, queued := m.Load()
	assert.Equal(t, []int{2, 1}, []int{running, queued})
	assert.Equal(t, []string{"a"}, finished(m.Advance(sec+time.Millisecond)))
	// Both others end at two seconds: b of its own length, and c that began when a ended.
	assert.Equal(t, []string{"b", "c"}, finished(m.Advance(2*sec+time.Millisecond)))
}

func TestWorkIsDoneByTheWarmupFactor(t *testing.T) {
	m := NewMachine(twoCores, slowWarmup, 0, false, resultOf)
	offer(m, 0, "a", sec)
	// The integral of 0.2 + 0.08t is 1 where 0.04t^2 + 0.2t = 1, at t = 3.09.
	at, _ := m.NextEvent()
	assert.Equal(t, Event{ID: "a", Kind: Halfway}, m.Advance(at)[0])
	at, _ = m.NextEvent()
	assert.InDelta(t, 3.0902, at.Seconds(), 1e-3)
	assert.Equal(t, []string{"a"}, finished(m.Advance(at)))
	assert.InDelta(t, 0.2+0.08*at.Seconds(), m.WarmupFactor(at), 1e-9)
	assert.Equal(t, 1.0, m.WarmupFactor(11*sec))
}

func TestSpeedChangesWhileAJobRuns(t *testing.T) {
	m := warm()
	offer(m, 0, "a", sec)
	m.SetSpeed(500*time.Millisecond, 0.25)
	m.SetSpeed(700*time.Millisecond, 0) // paused with 0.45 s left
	_, found := m.NextEvent()
	assert.False(t, found)
	m.SetSpeed(5*sec, 1)
	assert.Empty(t, finished(m.Advance(5440*time.Millisecond)))
	assert.Equal(t, []string{"a"}, finished(m.Advance(5451*time.Millisecond)))
}

func TestWarmingUpMachineOverItsBudgetIsOverloaded(t *testing.T) {
	m := NewMachine(Kind{Cores: 2, Queue: 99}, slowWarmup, 0, false, resultOf)
	// Its budget is 4 * 0.2 * 2 * 2 s = 3.2 s of work at its start.
	assert.Equal(t, Accepted, offer(m, 0, "a", 3*sec))
	assert.Equal(t, Overloaded, offer(m, 0, "b", 300*time.Millisecond))
	assert.Equal(t, Accepted, offer(warm(), 0, "c", 300*sec), "a warm one has no budget")
	m = NewMachine(twoCores, slowWarmup, 0, false, resultOf)
	assert.Equal(t, Accepted, offer(m, 0, "a", 3*sec))
	assert.Equal(t, Accepted, offer(m, 2*sec, "b", 3*sec), "work sent before the span does not count")
}

func TestCancelledJobFreesItsCoreAndItsKey(t *testing.T) {
	g, m := NewDedupGroup(10*sec), warm()
	m.Offer(0, Job{ID: "a", Work: sec, Key: "k", Group: g})
	events := m.Offer(0, Job{ID: "b", Work: sec, Key: "k", Group: g}).Events
	assert.Empty(t, events, "a job waits for the first one under its key")
	events = m.Cancel(sec/4, "a")
	assert.Equal(t, []Event{{ID: "b", Kind: Started}}, events)
	assert.Equal(t, []string{"b"}, finished(m.Advance(2*sec)))
}

func TestJobsAreDeduplicatedWithinTheGroupAndTheWindow(t *testing.T) {
	g, one, two := NewDedupGroup(10*sec), warm(), warm()
	one.Offer(0, Job{ID: "a", Work: sec, Key: "k", Group: g})
	two.Offer(0, Job{ID: "b", Work: sec, Key: "k", Group: g})
	one.Advance(2 * sec)
	assert.Equal(t, []Event{{ID: "b", Kind: Deduplicated, Result: "made a"}}, two.Advance(2*sec))
	events := two.Offer(9*sec, Job{ID: "c", Work: sec, Key: "k", Group: g}).Events
	assert.Equal(t, Deduplicated, events[0].Kind)
	events = two.Offer(11*sec, Job{ID: "d", Work: sec, Key: "k", Group: g}).Events
	assert.Equal(t, Started, events[0].Kind, "the window has passed")
	assert.Len(t, g.firsts, 1)
}

func TestKeyOfAJobLostWithItsProcessIsFree(t *testing.T) {
	g, one, two := NewDedupGroup(10*sec), warm(), warm()
	one.Offer(0, Job{ID: "a", Work: sec, Key: "k", Group: g})
	two.Offer(0, Job{ID: "b", Work: sec, Key: "k", Group: g})
	one.Stop()
	assert.Equal(t, Started, two.Advance(duplicateCheckInterval)[0].Kind)
}

func TestDrainReturnsWaitingJobs(t *testing.T) {
	m := warm()
	for _, id := range []string{"a", "b", "c"} {
		offer(m, 0, id, sec)
	}
	_, unstarted := m.Drain(0)
	assert.Equal(t, []string{"c"}, unstarted)
	assert.Equal(t, Declined, offer(m, 0, "d", sec))
	assert.Equal(t, []string{"a", "b"}, finished(m.Advance(2*sec)))
}
