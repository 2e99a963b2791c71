package decide

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
		operation Operation
		want      Verb
	}{{0, Send}, {1, AnswerErrored}} {
		old, _ := facadeOf(namedTerms(), 4)
		next, _ := facadeOf(Terms{
			Dispatchers: 2, Kinds: 1, ForwardsMost: 4, ReportInFlight: -1, ReportQueue: -1,
			ReportFree: -1, Customers: namedTerms().Customers, Operations: namedTerms().Operations[3:4],
		}, 4)
		ticket := old.Land(Landing{Operation: c.operation, Grace: 3 * Second})
		first := pick(t, ticket)
		_, ok := ticket.Hand(0)
		assert.False(t, ok, "a forward is out that does not stand still")
		a, ok := ticket.Hand(1)
		assert.True(t, ok)
		assert.Equal(t, HandOver, pick(t, ticket).Do)
		assert.Equal(t, 0, old.Open())
		assert.Empty(t, old.Out(Successor))
		assert.False(t, ticket.Report(first.N, Succeeded), "the other one's to report")
		_, ok = ticket.Hand(0)
		assert.False(t, ok, "once")

		adopted, contexts := next.Adopt(passed(t, a))
		assert.Equal(t, []Load{{first.Tgt, 1}}, next.Out(Predecessor))
		assert.NoError(t, contexts[0].Err())
		adopted.Report(0, Reset)
		got := pick(t, adopted)
		assert.Equal(t, c.want, got.Do, "its class is not known here")
		if got.Do == Send {
			assert.Equal(t, 1, got.N)
			adopted.Report(1, Succeeded)
			pick(t, adopted)
		}
		assert.Equal(t, 0, next.Open())
	}
}

// Guards against an operation that has another number at one instance than at the others, once new terms
// come: what lands there would be repeated, or not, as another one.
func TestAllInstancesNumberWhatIsHandedOverAlike(t *testing.T) {
	now := Time(100 * Second)
	s := NewInstances(namedTerms(), 2, 1, func() Time { return now }, func(string) {})
	s.Adopt(Adopted{Name: "foreign", Repeat: NonIdempotent, Until: time.Now().Add(time.Second)})
	terms := namedTerms()
	terms.Operations = append(terms.Operations, OperationTerms{Name: "fresh", Objective: Second, Kind: -1})
	numbers := s.Retune(terms).Operations
	for _, f := range s.each {
		assert.Equal(t, "fresh", f.d.ops[numbers[len(numbers)-1]].name)
	}
}

func TestWhatWaitsForAWorkerIsHandedOverToo(t *testing.T) {
	old, _ := facadeOf(namedTerms(), 0)
	a, ok := old.Land(Landing{Grace: 3 * Second}).Hand(0)
	assert.True(t, ok)
	next, _ := facadeOf(namedTerms(), 1)
	ticket, _ := next.Adopt(passed(t, a))
	next.with(func(*Dispatcher) {})
	assert.Equal(t, Send, pick(t, ticket).Do)
	assert.InDelta(t, 3, time.Until(ticket.until).Seconds(), 0.5)
}

// Guards against two processes that each take a worker for free, and tell peers of their own part.
func TestWhatTheTwinHasOutCountsAsOurs(t *testing.T) {
	f, _ := facadeOf(namedTerms(), 2)
	c := pick(t, f.Land(Landing{Grace: 3 * Second}))
	f.ReportTwin(Predecessor, []Load{{c.Tgt, 3}, {1 - c.Tgt, 2}, {99, 1}})
	assert.Equal(t, []int{4, 2}, []int{f.d.load(c.Tgt), f.d.load(1 - c.Tgt)})
	assert.Equal(t, []Load{{c.Tgt, 1}}, f.Out(Predecessor), "it is not told what it told")
	assert.Len(t, f.Out(Successor), 2, "one after us is told all")
	f.ReportTwin(Predecessor, []Load{{c.Tgt, 1}})
	assert.Equal(t, []int{2, 0}, []int{f.d.load(c.Tgt), f.d.load(1 - c.Tgt)})
	f.ReportTwin(Predecessor, nil)
	assert.Equal(t, 1, f.d.load(c.Tgt))
	f.ReportSpent([]Spent{{1, 500}, {99, 1}})
	assert.Empty(t, f.SpentSince(0), "what it sent is not ours to tell")
	assert.Equal(t, Work(500), f.d.spent[1][len(f.d.spent[1])-1].work)
}

// Guards against a successor that begins with nothing: eight slots believed, and every failure to be found
// out again.
func TestWhatWasLearntIsInherited(t *testing.T) {
	terms := namedTerms()
	terms.ReportFree, terms.Peers = -1, true
	old, now := facadeOf(terms, 4)
	old.with(func(d *Dispatcher) {
		d.votes[0], d.most[0] = []int{0, 2, 2, 5, -9, -9}, 3
		d.believe(0, 3)
		d.fails[2], d.trialAt[2], d.zoneAt[1], d.quiet[1] = 2, d.now+Second, d.now+Second, 4
		for n := range 60 {
			d.takeHint(Work(100 + n))
		}
		d.Heard(1, Load{3, 2})
		d.counts(0)
		d.ops[1].asked, d.ops[1].longest = 700, 9*Second
	})
	next, at := facadeOf(terms, 4)
	*at = *now
	next.Inherit(passed(t, old.Legacy()))
	d, was := next.d, old.d
	for _, pair := range [][2]any{
		{was.slots, d.slots},
		{was.votes, d.votes},
		{was.fails, d.fails},
		{was.trialAt, d.trialAt},
		{was.zoneAt, d.zoneAt},
		{was.sample, d.sample},
		{was.used, d.used},
		{was.ops, d.ops},
		{was.others, d.others},
	} {
		assert.Equal(t, fmt.Sprint(pair[0]), fmt.Sprint(pair[1]))
	}
	_, avoided := next.Workers()
	assert.Equal(t, 3, avoided, "one that failed, and two in a zone that is taken for lost")
}
