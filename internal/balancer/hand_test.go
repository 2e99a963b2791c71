package balancer

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// passed is a value as it is read at the other process.
func passed[T any](t *testing.T, v T) (out T) {
	b, err := json.Marshal(v)
	assert.NoError(t, err)
	assert.NoError(t, json.Unmarshal(b, &out))
	return out
}

// Guards against an effect that happens twice, or a repeat that is not made, because another process goes on.
func TestWhatIsHandedOverKeepsItsTermsAndItsForwards(t *testing.T) {
	for _, c := range []struct {
		operation OperationID
		want      Action
	}{{0, SendAttempt}, {1, RespondFailed}} {
		old, _ := facadeOf(namedTerms(), 4)
		next, _ := facadeOf(Config{
			Dispatchers: 2, Kinds: 1, MaxAttempts: 4, ReportInFlight: -1, ReportQueue: -1,
			ReportFree: -1, Tenants: namedTerms().Tenants, Operations: namedTerms().Operations[3:4],
		}, 4)
		ticket := old.Submit(Arrival{Operation: c.operation, Timeout: 3 * Second})
		first := pick(t, ticket)
		_, ok := ticket.Export(0)
		assert.False(t, ok, "a forward is out that does not stand still")
		a, ok := ticket.Export(1)
		assert.True(t, ok)
		assert.Equal(t, RespondElsewhere, pick(t, ticket).Action)
		assert.Equal(t, 0, old.OpenRequests())
		assert.Empty(t, old.InFlightFor(Successor))
		assert.False(t, ticket.Report(first.Attempt, Succeeded), "the other one's to report")
		_, ok = ticket.Export(0)
		assert.False(t, ok, "once")

		adopted, contexts := next.Import(passed(t, a))
		assert.Equal(t, []Load{{first.Worker, 1}}, next.InFlightFor(Predecessor))
		assert.NoError(t, contexts[0].Err())
		adopted.Report(0, ConnectionReset)
		got := pick(t, adopted)
		assert.Equal(t, c.want, got.Action, "its class is not known here")
		if got.Action == SendAttempt {
			assert.Equal(t, 1, got.Attempt)
			adopted.Report(1, Succeeded)
			pick(t, adopted)
		}
		assert.Equal(t, 0, next.OpenRequests())
	}
}

// Guards against an operation that has another number at one instance than at the others, once new terms
// come: what lands there would be repeated, or not, as another one.
func TestAllInstancesNumberWhatIsHandedOverAlike(t *testing.T) {
	now := Time(100 * Second)
	s := NewShards(namedTerms(), 2, 1, func() Time { return now }, func(string) {})
	s.Import(MigratedRequest{Name: "foreign", Idempotency: NonIdempotent, Deadline: time.Now().Add(time.Second)})
	terms := namedTerms()
	terms.Operations = append(terms.Operations, OperationConfig{Name: "fresh", LatencyObjective: Second, Kind: -1})
	numbers := s.Reconfigure(terms).Operations
	for _, f := range s.pickers {
		assert.Equal(t, "fresh", f.balancer.operations.byID[numbers[len(numbers)-1]].name)
	}
}

func TestWhatWaitsForAWorkerIsHandedOverToo(t *testing.T) {
	old, _ := facadeOf(namedTerms(), 0)
	a, ok := old.Submit(Arrival{Timeout: 3 * Second}).Export(0)
	assert.True(t, ok)
	next, _ := facadeOf(namedTerms(), 1)
	ticket, _ := next.Import(passed(t, a))
	next.update(func(*Balancer) {})
	assert.Equal(t, SendAttempt, pick(t, ticket).Action)
	assert.InDelta(t, 3, time.Until(ticket.deadline).Seconds(), 0.5)
}

// Guards against two processes that each take a worker for free, and tell peers of their own part.
func TestWhatTheTwinHasOutCountsAsOurs(t *testing.T) {
	f, _ := facadeOf(namedTerms(), 2)
	c := pick(t, f.Submit(Arrival{Timeout: 3 * Second}))
	f.UpdateSibling(Predecessor, []Load{{c.Worker, 3}, {1 - c.Worker, 2}, {99, 1}})
	assert.Equal(t, []int{4, 2}, []int{f.balancer.load(c.Worker), f.balancer.load(1 - c.Worker)})
	assert.Equal(t, []Load{{c.Worker, 1}}, f.InFlightFor(Predecessor), "it is not told what it told")
	assert.Len(t, f.InFlightFor(Successor), 2, "one after us is told all")
	f.UpdateSibling(Predecessor, []Load{{c.Worker, 1}})
	assert.Equal(t, []int{2, 0}, []int{f.balancer.load(c.Worker), f.balancer.load(1 - c.Worker)})
	f.UpdateSibling(Predecessor, nil)
	assert.Equal(t, 1, f.balancer.load(c.Worker))
	f.update(func(d *Balancer) { d.addRecentSends([]RecentSend{{1, 500}, {99, 1}}) })
	assert.Empty(t, f.balancer.recentSendsSince(0), "what it sent is not ours to tell")
	assert.Equal(t, Work(500), f.balancer.workers[1].sends[len(f.balancer.workers[1].sends)-1].work)
}

// Guards against a successor that begins with nothing: eight slots believed, and every failure to be found
// out again.
func TestWhatWasLearntIsInherited(t *testing.T) {
	terms := namedTerms()
	terms.ReportFree, terms.Gossip = -1, true
	old, now := facadeOf(terms, 4)
	old.update(func(d *Balancer) {
		d.slots.kinds[0].votes, d.slots.kinds[0].maxObserved = []int{0, 2, 2, 5, -9, -9}, 3
		d.setSlotEstimate(0, 3)
		d.workers[2].consecutiveFailures, d.workers[2].probeAfter, d.zones[1].ejectedUntil, d.zones[1].failures = 2, d.now+Second, d.now+Second, 4
		for n := range 60 {
			d.observeSize(Work(100 + n))
		}
		d.ReceiveLoad(1, Load{3, 2})
		d.quotaWeight(0)
		d.operations.byID[1].requestedWork, d.operations.byID[1].longestTimeout = 700, 9*Second
	})
	next, at := facadeOf(terms, 4)
	*at = *now
	next.Restore(passed(t, old.Snapshot()))
	d, was := next.balancer, old.balancer
	for _, pair := range [][2]any{
		{was.slots, d.slots},
		{failures(was), failures(d)},
		{was.zones, d.zones},
		{was.sizes.sample, d.sizes.sample},
		{was.quotas.tenants[0].usage, d.quotas.tenants[0].usage},
		{was.operations.byID, d.operations.byID},
		{peersInFlight(was), peersInFlight(d)},
	} {
		assert.Equal(t, fmt.Sprint(pair[0]), fmt.Sprint(pair[1]))
	}
	_, avoided := next.WorkerCounts()
	assert.Equal(t, 3, avoided, "one that failed, and two in a zone that is taken for lost")
}

// failures are the failures in a row at each worker, and when it is tried again.
func failures(d *Balancer) (all [][2]int) {
	for _, w := range d.workers {
		all = append(all, [2]int{w.consecutiveFailures, int(w.probeAfter)})
	}
	return all
}

func peersInFlight(d *Balancer) (all []int) {
	for _, w := range d.workers {
		all = append(all, w.peerInFlight)
	}
	return all
}
