package worker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const second = time.Second

var (
	twoCores   = Kind{Cores: 2, Queue: 1}
	slowWarmup = Warmup{InitialShare: 0.2, Duration: 10 * second, OverloadMultiple: 4, OverloadSpan: 2 * second}
	resultOf   = func(id string) string { return "made " + id }
)

// warmTwoCoreMachine returns a machine with two cores, a queue of one and its full capacity.
func warmTwoCoreMachine() *Machine { return NewWarmMachine(twoCores, slowWarmup, 0, resultOf) }

// finishedIDs returns the job IDs of the Finished events.
func finishedIDs(events []Event) (ids []string) {
	for _, event := range events {
		if event.Kind == Finished {
			ids = append(ids, event.ID)
		}
	}
	return ids
}

// offer offers a job without a key to a machine.
func offer(machine *Machine, now time.Duration, id string, work time.Duration) Verdict {
	return machine.Offer(now, Job{ID: id, Work: work}).Verdict
}

func TestMachineRunsThenQueuesThenDeclinesJobs(t *testing.T) {
	machine := warmTwoCoreMachine()
	assert.Equal(t, []Verdict{Accepted, Accepted, Accepted, Declined}, []Verdict{
		offer(machine, 0, "a", second), offer(machine, 0, "b", 2*second), offer(machine, 0, "c", second), offer(machine, 0, "d", second),
	})
	running, queued := machine.Load()
	assert.Equal(t, []int{2, 1}, []int{running, queued})
	assert.Equal(t, []string{"a"}, finishedIDs(machine.Advance(second+time.Millisecond)))
	// Both other jobs end at 2 s: b takes 2 s, and c takes 1 s after a has ended at 1 s.
	assert.Equal(t, []string{"b", "c"}, finishedIDs(machine.Advance(2*second+time.Millisecond)))
}

func TestWorkProgressFollowsTheWarmupFactor(t *testing.T) {
	machine := NewMachine(twoCores, slowWarmup, 0, resultOf)
	offer(machine, 0, "a", second)
	// The integral of 0.2 + 0.08t reaches 1 when 0.04t^2 + 0.2t = 1, at t = 3.09.
	nextAt, _ := machine.NextEvent()
	assert.Equal(t, Event{ID: "a", Kind: Halfway}, machine.Advance(nextAt)[0])
	nextAt, _ = machine.NextEvent()
	assert.InDelta(t, 3.0902, nextAt.Seconds(), 1e-3)
	assert.Equal(t, []string{"a"}, finishedIDs(machine.Advance(nextAt)))
	assert.InDelta(t, 0.2+0.08*nextAt.Seconds(), machine.WarmupFactor(nextAt), 1e-9)
	assert.Equal(t, 1.0, machine.WarmupFactor(11*second))
}

func TestSpeedChangeShiftsTheEndOfARunningJob(t *testing.T) {
	machine := warmTwoCoreMachine()
	offer(machine, 0, "a", second)
	machine.SetSpeed(500*time.Millisecond, 0.25)
	machine.SetSpeed(700*time.Millisecond, 0) // paused with 0.45 s left
	_, found := machine.NextEvent()
	assert.False(t, found)
	machine.SetSpeed(5*second, 1)
	assert.Empty(t, finishedIDs(machine.Advance(5440*time.Millisecond)))
	assert.Equal(t, []string{"a"}, finishedIDs(machine.Advance(5451*time.Millisecond)))
}

func TestWarmingUpMachineIsOverloadedAboveItsBudget(t *testing.T) {
	machine := NewMachine(Kind{Cores: 2, Queue: 99}, slowWarmup, 0, resultOf)
	// The budget at the start is 4 * 0.2 * 2 cores * 2 s = 3.2 s of work.
	assert.Equal(t, Accepted, offer(machine, 0, "a", 3*second))
	assert.Equal(t, Overloaded, offer(machine, 0, "b", 300*time.Millisecond))
	assert.Equal(t, Accepted, offer(warmTwoCoreMachine(), 0, "c", 300*second), "a budget was applied to a warm worker")
	machine = NewMachine(twoCores, slowWarmup, 0, resultOf)
	assert.Equal(t, Accepted, offer(machine, 0, "a", 3*second))
	assert.Equal(t, Accepted, offer(machine, 2*second, "b", 3*second), "work sent before the overload span was counted")
}

func TestCancelFreesTheCoreAndTheKeyOfAJob(t *testing.T) {
	group, machine := NewDedupGroup(10*second), warmTwoCoreMachine()
	machine.Offer(0, Job{ID: "a", Work: second, Key: "k", Group: group})
	events := machine.Offer(0, Job{ID: "b", Work: second, Key: "k", Group: group}).Events
	assert.Empty(t, events, "a job did not wait for the first job with its key")
	events = machine.Cancel(second/4, "a")
	assert.Equal(t, []Event{{ID: "b", Kind: Started}}, events)
	assert.Equal(t, []string{"b"}, finishedIDs(machine.Advance(2*second)))
}

func TestJobsAreDeduplicatedWithinTheGroupAndTheWindow(t *testing.T) {
	group, one, two := NewDedupGroup(10*second), warmTwoCoreMachine(), warmTwoCoreMachine()
	one.Offer(0, Job{ID: "a", Work: second, Key: "k", Group: group})
	two.Offer(0, Job{ID: "b", Work: second, Key: "k", Group: group})
	one.Advance(2 * second)
	assert.Equal(t, []Event{{ID: "b", Kind: Deduplicated, Result: "made a"}}, two.Advance(2*second))
	events := two.Offer(9*second, Job{ID: "c", Work: second, Key: "k", Group: group}).Events
	assert.Equal(t, Deduplicated, events[0].Kind)
	events = two.Offer(11*second, Job{ID: "d", Work: second, Key: "k", Group: group}).Events
	assert.Equal(t, Started, events[0].Kind, "a job was deduplicated after the window")
	assert.Len(t, group.firstJobs, 1)
}

func TestStopFreesTheKeysOfRunningJobs(t *testing.T) {
	group, one, two := NewDedupGroup(10*second), warmTwoCoreMachine(), warmTwoCoreMachine()
	one.Offer(0, Job{ID: "a", Work: second, Key: "k", Group: group})
	two.Offer(0, Job{ID: "b", Work: second, Key: "k", Group: group})
	one.Stop()
	assert.Equal(t, Started, two.Advance(duplicateCheckInterval)[0].Kind)
}

func TestDrainReturnsWaitingJobsAndDeclinesNewOnes(t *testing.T) {
	machine := warmTwoCoreMachine()
	for _, id := range []string{"a", "b", "c"} {
		offer(machine, 0, id, second)
	}
	_, unstarted := machine.Drain(0)
	assert.Equal(t, []string{"c"}, unstarted)
	assert.Equal(t, Declined, offer(machine, 0, "d", second))
	assert.Equal(t, []string{"a", "b"}, finishedIDs(machine.Advance(2*second)))
}
