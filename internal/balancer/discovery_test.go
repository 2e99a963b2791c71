package balancer

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestListIsAskedForWithBackoff(t *testing.T) {
	d, b := newWarmBalancer(1, 1)
	d.config.pollEndpoints, d.discovery.watching = true, false
	d.RunDueRules()
	d.RunDueRules()
	assert.Equal(t, []string{"subscribe"}, b.lines, "once, until an answer comes")
	last := Time(0)
	for range 4 {
		d.EndpointsUnavailable()
		assert.Greater(t, d.discovery.nextPoll-d.now, last/2)
		last = d.discovery.nextPoll - d.now
		assert.Less(t, last, d.config.maxPollInterval)
	}
}

// queue is a list service of fixed capacity: it works through calls in turn, those given up as well, as it
// learns of that only when it answers.
type queue struct {
	each, patience Time
	freeAt         Time
}

// call tells when an answer comes, and whether it is the list.
func (q *queue) call(now Time) (at Time, list bool) {
	q.freeAt = max(q.freeAt, now) + q.each
	if q.freeAt > now+q.patience {
		return now + q.patience, false
	}
	return q.freeAt, true
}

// startTogether starts dispatchers in one tick and follows their calls; it returns when each has its list.
func startTogether(n int, numbers []int, q *queue) (have []Time, calls int) {
	type asker struct {
		d      *Balancer
		answer Time
		list   bool
	}
	var askers []*asker
	for _, number := range numbers {
		terms := testConfig
		terms.PollEndpoints, terms.Dispatchers, terms.Position = true, n, number
		d := New(terms, uint64(number), &recorder{})
		d.SetTime(100 * Second)
		d.UpdateEndpoints([]Endpoint{{ID: "w"}}, true, false)
		askers = append(askers, &asker{d: d, answer: never})
	}
	for now := Time(100 * Second); now < 160*Second && len(have) < len(askers); now += 20 {
		for _, a := range askers {
			switch d := a.d; {
			case a.answer <= now && a.list:
				d.UpdateEndpoints([]Endpoint{{ID: "w"}}, true, true)
				have, a.answer = append(have, now-100*Second), never
			case a.answer <= now:
				d.SetTime(now)
				d.EndpointsUnavailable()
				a.answer = never
			case a.answer == never && !d.discovery.watching && d.discovery.nextPoll <= now:
				calls++
				a.answer, a.list = q.call(now)
			}
		}
	}
	return have, calls
}

// Guards against a fleet that starts at once and asks at once, and whose repeats then keep the service busy
// with calls that nobody waits for any more.
func TestFleetThatStartsAtOnceLeavesTheListServiceTimeToAnswer(t *testing.T) {
	var everybody []int
	for number := range 80 {
		everybody = append(everybody, number)
	}
	for _, c := range []struct {
		each    Time // what a call takes the service
		numbers []int
		within  Time
	}{
		{630, everybody, 8 * Second},
		{800, everybody[:56], 8 * Second},
		{800, everybody, 15 * Second},  // more than the service can do in the time in which they spread
		{1250, everybody, 30 * Second}, // twice as much
	} {
		t.Run(fmt.Sprint(len(c.numbers), "x", c.each), func(t *testing.T) {
			have, calls := startTogether(80, c.numbers, &queue{each: c.each, patience: 2 * Second})
			if assert.Len(t, have, len(c.numbers), "all have the list") {
				assert.Less(t, slices.Max(have), c.within)
			}
			assert.Less(t, calls, 3*len(c.numbers))
		})
	}
}

func TestFewDispatchersAskForTheListAtOnce(t *testing.T) {
	have, calls := startTogether(2, []int{0, 1}, &queue{each: 600, patience: 2 * Second})
	assert.Equal(t, 2, calls)
	assert.Less(t, slices.Max(have), Time(Second/4))
}

// toldTerms are those of a platform on which a change counts as told 6 s after it could be had.
func toldTerms(dispatchers, position int) Config {
	terms := testConfig
	terms.PollEndpoints, terms.NotifyDeadline = true, 6*Second
	terms.Dispatchers, terms.Position = dispatchers, position
	return terms
}

// Guards against work sent to a worker that has gone while this dispatcher was away: what counts as told does so
// from the first moment of a new process.
func TestNothingIsSentByAListFromBeforeTheStartUntilACallHasEnded(t *testing.T) {
	for name, end := range map[string]func(*Balancer){
		"answered": func(d *Balancer) {
			d.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w", State: Gone}, {Worker: 1, ID: "v"}}, false, true)
		},
		"failed": (*Balancer).EndpointsUnavailable,
	} {
		t.Run(name, func(t *testing.T) {
			b := &recorder{}
			d := New(toldTerms(3, 2), 1, b)
			d.SetTime(100 * Second)
			d.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w"}, {Worker: 1, ID: "v"}}, true, false)
			d.RequestArrived(0, Arrival{Timeout: 10 * Second})
			d.RunDueRules()
			assert.Empty(t, b.lines, "the list may be old")
			d.SetTime(d.discovery.nextPoll)
			d.RunDueRules()
			assert.Equal(t, []string{"subscribe"}, b.lines)
			end(d)
			d.RunDueRules()
			assert.Contains(t, b.lines[1:], map[string]string{
				"answered": "forward 0 to 1",
				"failed":   fmt.Sprint("forward 0 to ", d.requests.byID[0].attempts[0].worker),
			}[name])
			d.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w"}}, false, false) // what others tell of does not hold up what is known
			assert.False(t, d.discovery.endpointsStale)
		})
	}
}

// Guards against a process that goes on for another one, whose list is followed, and would wait for its own.
func TestSuccessorGoesByItsPredecessorsListAtOnce(t *testing.T) {
	s := NewShards(toldTerms(3, 2), 1, 1, func() Time { return 100 * Second }, func(string) {})
	s.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w"}}, true, true)
	assert.True(t, s.pickers[0].balancer.discovery.endpointsStale)
	assert.True(t, s.RestoreFromPredecessor(s.Snapshot()))
	assert.False(t, s.pickers[0].balancer.discovery.endpointsStale)
}

func TestListIsAskedForAgainInTimeWhateverBecameOfTheCallsBefore(t *testing.T) {
	for _, n := range []int{1, 30, 350, 1024} {
		for position := 0; position < n; position += 1 + n/10 {
			d := New(toldTerms(n, position), uint64(position), &recorder{})
			d.SetTime(100 * Second)
			d.UpdateEndpoints([]Endpoint{{ID: "w"}}, true, false)
			assert.LessOrEqual(t, d.discovery.nextPoll-d.now, 2*Time(Second), "the first call")
			for call := range 20 { // and 2 s at most for the answer
				d.EndpointsUnavailable()
				assert.LessOrEqual(t, d.discovery.nextPoll-d.now, 4*Time(Second), "%d dispatchers, call %d", n, call)
				assert.Greater(t, d.discovery.nextPoll, d.now)
			}
			d.UpdateEndpoints(nil, false, true)
			d.discovery.retrySpeedup = 2 // it has taken up to 3 s of the 6 already
			d.EndpointsUnavailable()
			assert.LessOrEqual(t, d.discovery.nextPoll-d.now, 2*Time(Second), "after silence")
		}
	}
}

// outage is a list service that is down until a time, and then works through calls in turn; it turns away at once
// what it would answer too late.
type outage struct {
	until, each, patience, freeAt Time
	turnedAway                    int
}

func (o *outage) call(now Time) (at Time, list bool) {
	if now < o.until {
		return now + Second/500, false
	}
	if max(o.freeAt, now)+o.each > now+o.patience {
		o.turnedAway++
		return now + Second/500, false
	}
	o.freeAt = max(o.freeAt, now) + o.each
	return o.freeAt, true
}

// service is a list service as a simulation has it: when an answer comes, and whether it is the list.
type service interface {
	call(now Time) (at Time, list bool)
}

// askAll follows the calls of dispatchers whose watches have just ended, or that start with a list from before. It
// returns when each has its list, in order, and the number of calls.
func askAll(n int, starts bool, s service, until Time) (told []Time, calls int) {
	type asker struct {
		d            *Balancer
		came, answer Time
		list         bool
	}
	var askers []*asker
	for position := range n {
		d := New(toldTerms(n, position), uint64(position), &recorder{})
		d.SetTime(100 * Second)
		if d.UpdateEndpoints([]Endpoint{{ID: "w"}}, true, !starts); !starts {
			d.EndpointsUnavailable() // all watches end as the service goes down
		}
		askers = append(askers, &asker{d: d, answer: never})
	}
	for now := Time(100 * Second); now < until && len(told) < n; now += 20 {
		for _, a := range askers {
			a.d.SetTime(now)
			switch {
			case a.answer <= now && a.list:
				a.d.UpdateEndpoints([]Endpoint{{ID: "w"}}, true, true)
				told, a.answer = append(told, now), never
			case a.answer <= now:
				if a.d.discovery.consecutiveBusy++; now-a.came < Second { // as the network tells
					a.d.discovery.consecutiveBusy = 0
				}
				a.d.EndpointsUnavailable()
				a.answer = never
			case a.answer == never && !a.d.discovery.watching && a.d.discovery.nextPoll <= now:
				calls++
				a.came = now
				a.answer, a.list = s.call(now)
			}
		}
	}
	slices.Sort(told)
	return told, calls
}

// Guards against dispatchers that learn too late of what changed while the list service was down. It can take one
// call from each in 4 s.
func TestAllAreToldInTimeOnceTheListServiceIsBack(t *testing.T) {
	for n, most := range map[int]float64{3: 7, 30: 5, 350: 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			s := &outage{until: 108 * Second, each: 4 * Second / Time(n), patience: 2 * Second}
			told, calls := askAll(n, false, s, 130*Second)
			if assert.Len(t, told, n) {
				assert.LessOrEqual(t, told[n-1]-s.until, 6*Time(Second))
			}
			assert.Less(t, float64(calls)/float64(n), most, "calls of each")
			t.Logf("%d dispatchers: %.1f calls each, %d turned away, the last told after %v", n,
				float64(calls)/float64(n), s.turnedAway, (told[len(told)-1] - s.until).Duration())
		})
	}
}

// Guards against calls that come again so soon that a service with too many callers, which works through those given
// up as well, never gets to those that still wait: all have their list in the end, also where it can take one call
// from each in no less than 12 s.
func TestServiceWithTooManyCallersIsNotKeptFromAnswering(t *testing.T) {
	for _, c := range []struct {
		all, within Time // in seconds
		calls       float64
	}{{4, 6, 1.5}, {6, 16, 2}, {8, 50, 4}, {12, 90, 6}} {
		for _, n := range []int{30, 350} {
			for _, starts := range []bool{true, false} {
				name := fmt.Sprintf("%d calls in %d s, starts %t", n, c.all, starts)
				told, calls := askAll(n, starts, &queue{each: c.all * Second / Time(n), patience: 2 * Second}, 300*Second)
				if assert.Len(t, told, n, name) {
					assert.LessOrEqual(t, told[n-1], 100*Second+c.within*Second, name)
				}
				assert.LessOrEqual(t, float64(calls)/float64(n), c.calls, name)
			}
		}
	}
}
