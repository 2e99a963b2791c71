package balancer

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPollsBackOff(t *testing.T) {
	balancer, effects := newWarmBalancer(1, 1)
	balancer.config.pollEndpoints = true
	balancer.polling.PollNow(LongAgo)
	balancer.RunDueRules()
	balancer.RunDueRules()
	assert.Equal(t, []string{"poll"}, effects.lines, "once, until an answer comes")
	last := Time(0)
	for range 4 {
		balancer.EndpointsUnavailable()
		assert.Greater(t, balancer.polling.DueAt()-balancer.now, last/2)
		last = balancer.polling.DueAt() - balancer.now
		assert.Less(t, last, balancer.config.maxPollInterval)
	}
}

// queue is an endpoint service of fixed capacity: it works through calls in turn, those given up as well, as it
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

// pollTogether starts dispatchers in one tick and follows their calls; it returns when each has its list.
func pollTogether(n int, numbers []int, q *queue) (have []Time, calls int) {
	type asker struct {
		balancer *Balancer
		answer   Time
		list     bool
	}
	var askers []*asker
	for _, number := range numbers {
		config := testConfig
		config.PollEndpoints, config.Dispatchers, config.Position = true, n, number
		balancer := New(config, uint64(number), &recorder{})
		balancer.SetTime(100 * Second)
		balancer.UpdateEndpoints([]Endpoint{{ID: "w"}}, AllEndpoints, FromBeforeStart)
		askers = append(askers, &asker{balancer: balancer, answer: never})
	}
	for now := Time(100 * Second); now < 160*Second && len(have) < len(askers); now += 20 {
		for _, a := range askers {
			switch balancer := a.balancer; {
			case a.answer <= now && a.list:
				balancer.UpdateEndpoints([]Endpoint{{ID: "w"}}, AllEndpoints, FromDiscovery)
				have, a.answer = append(have, now-100*Second), never
			case a.answer <= now:
				balancer.SetTime(now)
				balancer.EndpointsUnavailable()
				a.answer = never
			case a.answer == never && !balancer.polling.Watching() && balancer.polling.DueAt() <= now:
				calls++
				a.answer, a.list = q.call(now)
			}
		}
	}
	return have, calls
}

// Regression test for a fleet that starts at once and asks at once, and whose repeats then keep the service busy
// with calls that nobody waits for any more.
func TestStartingFleetLeavesTheEndpointServiceTimeToAnswer(t *testing.T) {
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
			have, calls := pollTogether(80, c.numbers, &queue{each: c.each, patience: 2 * Second})
			if assert.Len(t, have, len(c.numbers), "all have the list") {
				assert.Less(t, slices.Max(have), c.within)
			}
			assert.Less(t, calls, 3*len(c.numbers))
		})
	}
}

func TestFewDispatchersPollAtOnce(t *testing.T) {
	have, calls := pollTogether(2, []int{0, 1}, &queue{each: 600, patience: 2 * Second})
	assert.Equal(t, 2, calls)
	assert.Less(t, slices.Max(have), Time(Second/4))
}

// notifyDeadlineConfig are those of a platform on which a change counts as told 6 s after it could be had.
func notifyDeadlineConfig(dispatchers, position int) Config {
	config := testConfig
	config.PollEndpoints, config.EndpointChangeDeadline = true, 6*Second
	config.Dispatchers, config.Position = dispatchers, position
	return config
}

// Regression test for work sent to a worker that has gone while this dispatcher was away: what counts as known does so
// from the first moment of a new process.
func TestNoAttemptByAStaleListBeforeTheFirstPollEnds(t *testing.T) {
	for name, end := range map[string]func(*Balancer){
		"answered": func(balancer *Balancer) {
			balancer.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w", State: Gone}, {Worker: 1, ID: "v"}}, ChangedEndpoints, FromDiscovery)
		},
		"failed": (*Balancer).EndpointsUnavailable,
	} {
		t.Run(name, func(t *testing.T) {
			effects := &recorder{}
			balancer := New(notifyDeadlineConfig(3, 2), 1, effects)
			balancer.SetTime(100 * Second)
			balancer.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w"}, {Worker: 1, ID: "v"}}, AllEndpoints, FromBeforeStart)
			balancer.RequestArrived(0, Arrival{Timeout: 10 * Second})
			balancer.RunDueRules()
			assert.Empty(t, effects.lines, "the list may be old")
			balancer.SetTime(balancer.polling.DueAt())
			balancer.RunDueRules()
			assert.Equal(t, []string{"poll"}, effects.lines)
			end(balancer)
			balancer.RunDueRules()
			assert.Contains(t, effects.lines[1:], map[string]string{
				"answered": "attempt 0 to 1",
				"failed":   fmt.Sprint("attempt 0 to ", balancer.requests.byID[0].attempts[0].worker),
			}[name])
			balancer.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w"}}, ChangedEndpoints, FromBeforeStart) // what others tell of does not hold up what is known
			assert.False(t, balancer.polling.EndpointsStale())
		})
	}
}

// Regression test for a process that goes on for another one, whose list is followed, and would wait for its own.
func TestSuccessorUsesItsPredecessorsListAtOnce(t *testing.T) {
	s := NewShards(notifyDeadlineConfig(3, 2), 1, 1, func() Time { return 100 * Second }, func(Event) {})
	s.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w"}}, AllEndpoints, FromBeforeStart)
	assert.True(t, s.pickers[0].balancer.polling.EndpointsStale())
	assert.True(t, s.RestoreFromPredecessor(s.Snapshot()))
	assert.False(t, s.pickers[0].balancer.polling.EndpointsStale())
}

func TestPollsRepeatInTimeWhateverBecameOfTheLast(t *testing.T) {
	for _, n := range []int{1, 30, 350, 1024} {
		for position := 0; position < n; position += 1 + n/10 {
			balancer := New(notifyDeadlineConfig(n, position), uint64(position), &recorder{})
			balancer.SetTime(100 * Second)
			balancer.UpdateEndpoints([]Endpoint{{ID: "w"}}, AllEndpoints, FromBeforeStart)
			assert.LessOrEqual(t, balancer.polling.DueAt()-balancer.now, 2*Time(Second), "the first call")
			for call := range 20 { // and 2 s at most for the answer
				balancer.EndpointsUnavailable()
				assert.LessOrEqual(t, balancer.polling.DueAt()-balancer.now, 4*Time(Second), "%d dispatchers, call %d", n, call)
				assert.Greater(t, balancer.polling.DueAt(), balancer.now)
			}
			balancer.UpdateEndpoints(nil, ChangedEndpoints, FromDiscovery)
			balancer.polling.RecordWatchEnd(WatchSilent) // it has taken up to 3 s of the 6 already
			balancer.EndpointsUnavailable()
			assert.LessOrEqual(t, balancer.polling.DueAt()-balancer.now, 2*Time(Second), "after silence")
		}
	}
}

// outage is an endpoint service that is down until a time, and then works through calls in turn; it turns away at once
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

// service is an endpoint service as a simulation has it: when an answer comes, and whether it is the list.
type service interface {
	call(now Time) (at Time, list bool)
}

// pollAll follows the calls of dispatchers whose watches have just ended, or that start with a list from before. It
// returns when each has its list, in order, and the number of calls.
func pollAll(n int, starts bool, s service, until Time) (told []Time, calls int) {
	type asker struct {
		balancer     *Balancer
		came, answer Time
		list         bool
	}
	var askers []*asker
	for position := range n {
		balancer := New(notifyDeadlineConfig(n, position), uint64(position), &recorder{})
		balancer.SetTime(100 * Second)
		source := FromBeforeStart
		if !starts {
			source = FromDiscovery
		}
		balancer.UpdateEndpoints([]Endpoint{{ID: "w"}}, AllEndpoints, source)
		if !starts {
			balancer.EndpointsUnavailable() // all watches end as the service goes down
		}
		askers = append(askers, &asker{balancer: balancer, answer: never})
	}
	for now := Time(100 * Second); now < until && len(told) < n; now += 20 {
		for _, a := range askers {
			a.balancer.SetTime(now)
			switch {
			case a.answer <= now && a.list:
				a.balancer.UpdateEndpoints([]Endpoint{{ID: "w"}}, AllEndpoints, FromDiscovery)
				told, a.answer = append(told, now), never
			case a.answer <= now:
				end := WatchRejected // as the network tells
				if now-a.came < Second {
					end = WatchFailed
				}
				a.balancer.polling.RecordWatchEnd(end)
				a.balancer.EndpointsUnavailable()
				a.answer = never
			case a.answer == never && !a.balancer.polling.Watching() && a.balancer.polling.DueAt() <= now:
				calls++
				a.came = now
				a.answer, a.list = s.call(now)
			}
		}
	}
	slices.Sort(told)
	return told, calls
}

// Regression test for dispatchers that learn too late of what changed while the endpoint service was down. It can take one
// call from each in 4 s.
func TestAllKnowInTimeOnceTheEndpointServiceIsBack(t *testing.T) {
	for n, most := range map[int]float64{3: 7, 30: 5, 350: 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			s := &outage{until: 108 * Second, each: 4 * Second / Time(n), patience: 2 * Second}
			told, calls := pollAll(n, false, s, 130*Second)
			if assert.Len(t, told, n) {
				assert.LessOrEqual(t, told[n-1]-s.until, 6*Time(Second))
			}
			assert.Less(t, float64(calls)/float64(n), most, "calls of each")
			t.Logf("%d dispatchers: %.1f calls each, %d turned away, the last told after %v", n,
				float64(calls)/float64(n), s.turnedAway, told[len(told)-1].Sub(s.until).Standard())
		})
	}
}

// Regression test for calls that come again so soon that a service with too many callers, which works through those given
// up as well, never gets to those that still wait: all have their list in the end, also where it can take one call
// from each in no less than 12 s.
func TestBusyEndpointServiceIsNotKeptFromAnswering(t *testing.T) {
	for _, c := range []struct {
		all, within Time // in seconds
		calls       float64
	}{{4, 6, 1.5}, {6, 16, 2}, {8, 50, 4}, {12, 90, 6}} {
		for _, n := range []int{30, 350} {
			for _, starts := range []bool{true, false} {
				name := fmt.Sprintf("%d calls in %d s, starts %t", n, c.all, starts)
				told, calls := pollAll(n, starts, &queue{each: c.all * Second / Time(n), patience: 2 * Second}, 300*Second)
				if assert.Len(t, told, n, name) {
					assert.LessOrEqual(t, told[n-1], 100*Second+c.within*Second, name)
				}
				assert.LessOrEqual(t, float64(calls)/float64(n), c.calls, name)
			}
		}
	}
}
