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
	assert.Equal(t, []string{"poll"}, effects.lines, "one poll until an answer comes")
	lastWait := Duration(0)
	for range 4 {
		balancer.EndpointsUnavailable()
		wait := balancer.polling.DueAt().Sub(balancer.now)
		assert.Greater(t, wait, lastWait/2)
		lastWait = wait
		assert.Less(t, wait, balancer.config.polling.MaxInterval)
	}
}

// Regression test for a fleet whose dispatchers all start and poll at once, and whose repeated polls then keep the
// service busy with polls that were given up.
func TestStartingFleetDoesNotOverloadDiscovery(t *testing.T) {
	const dispatchers = 80
	for _, c := range []struct {
		name      string
		pollTime  Duration // what a poll takes the service
		starting  int      // of the dispatchers
		within    Duration // all have the list
		mostPolls int      // of each
	}{
		{name: "all start", pollTime: 630, starting: dispatchers, within: 8 * Second, mostPolls: 3},
		{name: "some start", pollTime: 800, starting: 56, within: 8 * Second, mostPolls: 3},
		{name: "longer than polls are spread", pollTime: 800, starting: dispatchers, within: 15 * Second, mostPolls: 3},
		{name: "twice as long", pollTime: 1250, starting: dispatchers, within: 30 * Second, mostPolls: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			service := &slowDiscovery{pollTime: c.pollTime, patience: 2 * Second}
			fleet := newStartingFleet(dispatchers, c.starting, service)
			fleet.run(startingFleetEnd)
			if assert.Len(t, fleet.listedAt, c.starting, "all have the list") {
				assert.Less(t, fleet.lastListedAt(), testStart.Add(c.within))
			}
			assert.Less(t, fleet.polls, c.mostPolls*c.starting)
		})
	}
}

func TestFewDispatchersPollAtOnce(t *testing.T) {
	const dispatchers = 2
	fleet := newStartingFleet(dispatchers, dispatchers, &slowDiscovery{pollTime: 600, patience: 2 * Second})
	fleet.run(startingFleetEnd)
	assert.Equal(t, dispatchers, fleet.polls)
	assert.Less(t, fleet.lastListedAt(), testStart.Add(Second/4))
}

// Regression test for attempts to a worker that has gone while this dispatcher was away. A change counts as known from
// the first moment of a new process.
func TestNoAttemptByAStaleListBeforeTheFirstPollEnds(t *testing.T) {
	const removed, listed WorkerID = 0, 1
	for name, c := range map[string]struct {
		endPoll func(*Balancer)
		target  func(*Balancer) WorkerID // of the first attempt
	}{
		"answered": {
			endPoll: func(balancer *Balancer) {
				answer := []Endpoint{{Worker: removed, ID: "w", State: Gone}, {Worker: listed, ID: "v"}}
				balancer.UpdateEndpoints(answer, ChangedEndpoints, FromDiscovery)
			},
			target: func(*Balancer) WorkerID { return listed },
		},
		"failed": {
			endPoll: (*Balancer).EndpointsUnavailable,
			target: func(balancer *Balancer) WorkerID {
				return balancer.requests.byID[0].attempts[0].worker
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			effects := &recorder{}
			balancer := New(changeDeadlineConfig(3, 2), 1, effects)
			balancer.SetTime(testStart)
			stale := []Endpoint{{Worker: removed, ID: "w"}, {Worker: listed, ID: "v"}}
			balancer.UpdateEndpoints(stale, AllEndpoints, NotFromDiscovery)
			balancer.RequestArrived(0, Arrival{Timeout: 10 * Second})
			balancer.RunDueRules()
			assert.Empty(t, effects.lines, "the list may be stale")
			balancer.SetTime(balancer.polling.DueAt())
			balancer.RunDueRules()
			assert.Equal(t, []string{"poll"}, effects.lines)
			c.endPoll(balancer)
			balancer.RunDueRules()
			assert.Contains(t, effects.lines[1:], fmt.Sprint("attempt 0 to ", c.target(balancer)))
			balancer.UpdateEndpoints([]Endpoint{{Worker: removed, ID: "w"}}, ChangedEndpoints, NotFromDiscovery)
			assert.False(t, balancer.polling.EndpointsStale(), "a list from a peer does not make the own one stale")
		})
	}
}

// Regression test for a successor that waits for a poll of its own, though its predecessor watches the list.
func TestSuccessorUsesItsPredecessorsListAtOnce(t *testing.T) {
	shards := NewShards(changeDeadlineConfig(3, 2), 1, 1, func() Time { return testStart }, func(Event) {})
	shards.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w"}}, AllEndpoints, NotFromDiscovery)
	assert.True(t, shards.pickers[0].balancer.polling.EndpointsStale())
	assert.True(t, shards.RestoreFromPredecessor(shards.Snapshot()))
	assert.False(t, shards.pickers[0].balancer.polling.EndpointsStale())
}

// A change counts as known after 6 s, of which 2 s at most are the wait for the answer to a poll.
func TestWaitBetweenPollsIsBoundedByTheChangeDeadline(t *testing.T) {
	const failedPolls = 20
	for _, dispatchers := range []int{1, 30, 350, 1024} {
		for position := 0; position < dispatchers; position += 1 + dispatchers/10 {
			balancer := New(changeDeadlineConfig(dispatchers, position), uint64(position), &recorder{})
			balancer.SetTime(testStart)
			balancer.UpdateEndpoints([]Endpoint{{ID: "w"}}, AllEndpoints, NotFromDiscovery)
			assertPollDueWithin(t, balancer, 2*Second, "the first poll")
			for poll := range failedPolls {
				balancer.EndpointsUnavailable()
				assertPollDueWithin(t, balancer, 4*Second, "%d dispatchers, poll %d", dispatchers, poll)
				assert.Greater(t, balancer.polling.DueAt(), balancer.now)
			}
			balancer.UpdateEndpoints(nil, ChangedEndpoints, FromDiscovery)
			balancer.polling.RecordWatchEnd(WatchSilent) // its silence may be noticed up to 3 s late
			balancer.EndpointsUnavailable()
			assertPollDueWithin(t, balancer, 2*Second, "after a watch that fell silent")
		}
	}
}

// Regression test for dispatchers that learn too late of what changed during an outage of the discovery service. It can
// answer one poll of each in 4 s.
func TestFleetHasItsListInTimeAfterADiscoveryOutage(t *testing.T) {
	for _, c := range []struct {
		dispatchers int
		mostPolls   float64 // of each, on average
	}{
		{dispatchers: 3, mostPolls: 7},
		{dispatchers: 30, mostPolls: 5},
		{dispatchers: 350, mostPolls: 5},
	} {
		t.Run(fmt.Sprint(c.dispatchers), func(t *testing.T) {
			service := &recoveringDiscovery{
				downUntil: 108 * Second,
				pollTime:  4 * Second / Duration(c.dispatchers),
				patience:  2 * Second,
			}
			fleet := newChangeDeadlineFleet(c.dispatchers, watchesEnded, service)
			fleet.run(130 * Second)
			pollsOfEach := float64(fleet.polls) / float64(c.dispatchers)
			if assert.Len(t, fleet.listedAt, c.dispatchers) {
				assert.LessOrEqual(t, fleet.lastListedAt(), service.downUntil.Add(6*Second))
			}
			assert.Less(t, pollsOfEach, c.mostPolls, "polls of each")
			t.Logf("%d dispatchers: %.1f polls of each, %d rejected, the last list %v after the outage", c.dispatchers,
				pollsOfEach, service.rejected, fleet.lastListedAt().Sub(service.downUntil).Standard())
		})
	}
}

// Regression test for polls that are repeated so soon that an overloaded service, which also works through those that
// were given up, never gets to those that still wait. All have their list in the end, also where one poll of each takes
// the service 12 s.
func TestOverloadedDiscoveryAnswersAllDispatchers(t *testing.T) {
	for _, c := range []struct {
		allPolls  Duration // what one poll of each dispatcher takes the service
		within    Duration // all have the list
		mostPolls float64  // of each, on average
	}{
		{allPolls: 4 * Second, within: 6 * Second, mostPolls: 1.5},
		{allPolls: 6 * Second, within: 16 * Second, mostPolls: 2},
		{allPolls: 8 * Second, within: 50 * Second, mostPolls: 4},
		{allPolls: 12 * Second, within: 90 * Second, mostPolls: 6},
	} {
		for _, dispatchers := range []int{30, 350} {
			for _, begin := range []fleetBegin{listsFromBeforeStart, watchesEnded} {
				name := fmt.Sprintf("%d polls in %v, %s", dispatchers, c.allPolls.Standard(), begin)
				service := &slowDiscovery{pollTime: c.allPolls / Duration(dispatchers), patience: 2 * Second}
				fleet := newChangeDeadlineFleet(dispatchers, begin, service)
				fleet.run(300 * Second)
				if assert.Len(t, fleet.listedAt, dispatchers, name) {
					assert.LessOrEqual(t, fleet.lastListedAt(), testStart.Add(c.within), name)
				}
				assert.LessOrEqual(t, float64(fleet.polls)/float64(dispatchers), c.mostPolls, name)
			}
		}
	}
}

// changeDeadlineConfig returns the configuration of a platform on which a change counts as known after 6 s.
func changeDeadlineConfig(dispatchers, position int) Config {
	config := testConfig
	config.Discovery.Poll = true
	config.Discovery.ChangeDeadline = 6 * Second
	config.Dispatchers = dispatchers
	config.Position = position
	return config
}

// discoveryService simulates a service that answers polls of the endpoint list.
type discoveryService interface {
	// poll returns the answer to a poll that comes now.
	poll(now Time) pollAnswer
}

// pollAnswer is the end of a poll.
type pollAnswer struct {
	at   Time // never where no poll is open
	list bool // the answer is the list; else the poll has failed
}

var noOpenPoll = pollAnswer{at: never}

// slowDiscovery answers polls one after the other. It also works through polls that were given up.
type slowDiscovery struct {
	pollTime Duration // that one poll takes
	patience Duration // after which a dispatcher gives up a poll
	freeAt   Time     // when the polls so far are done
}

func (s *slowDiscovery) poll(now Time) pollAnswer {
	givenUpAt := now.Add(s.patience)
	s.freeAt = max(s.freeAt, now).Add(s.pollTime)
	if s.freeAt > givenUpAt {
		return pollAnswer{at: givenUpAt}
	}
	return pollAnswer{at: s.freeAt, list: true}
}

// recoveringDiscovery is down until a moment, and then answers polls one after the other. It rejects those at once that
// it would answer too late.
type recoveringDiscovery struct {
	downUntil Time
	pollTime  Duration // that one poll takes
	patience  Duration // after which a dispatcher gives up a poll
	freeAt    Time     // when the polls so far are done
	rejected  int      // polls
}

func (s *recoveringDiscovery) poll(now Time) pollAnswer {
	const rejectionTime = Duration(Second / 500)
	rejection := pollAnswer{at: now.Add(rejectionTime)}
	if now < s.downUntil {
		return rejection
	}
	doneAt := max(s.freeAt, now).Add(s.pollTime)
	if doneAt > now.Add(s.patience) {
		s.rejected++
		return rejection
	}
	s.freeAt = doneAt
	return pollAnswer{at: doneAt, list: true}
}

// pollingFleet simulates dispatchers that poll a discovery service until each has its list.
type pollingFleet struct {
	service     discoveryService
	dispatchers []*pollingDispatcher

	clocksAdvance bool                           // the dispatchers' clocks are set in each step
	pollFailed    func(*pollingDispatcher, Time) // reports a poll that failed to its dispatcher

	listedAt []Time // when dispatchers got the list, in order
	polls    int    // that the service got
}

// pollingDispatcher is one dispatcher of a pollingFleet.
type pollingDispatcher struct {
	balancer *Balancer
	polledAt Time
	answer   pollAnswer // to the open poll
}

// startingFleetEnd is when the simulation of a starting fleet ends.
const startingFleetEnd = Time(160 * Second)

// newStartingFleet returns a fleet of which the first dispatchers start at once, with a list from before the start.
func newStartingFleet(dispatchers, starting int, service discoveryService) *pollingFleet {
	fleet := &pollingFleet{service: service, pollFailed: func(d *pollingDispatcher, now Time) {
		d.balancer.SetTime(now)
		d.balancer.EndpointsUnavailable()
	}}
	for position := range starting {
		config := testConfig
		config.Discovery.Poll = true
		config.Dispatchers = dispatchers
		config.Position = position
		fleet.add(config, NotFromDiscovery)
	}
	return fleet
}

// fleetBegin is why the dispatchers of a fleet have to poll.
type fleetBegin string

const (
	listsFromBeforeStart fleetBegin = "all start with a list from before"
	watchesEnded         fleetBegin = "all watches have ended"
)

// newChangeDeadlineFleet returns a fleet with changeDeadlineConfig.
func newChangeDeadlineFleet(dispatchers int, begin fleetBegin, service discoveryService) *pollingFleet {
	fleet := &pollingFleet{service: service, clocksAdvance: true, pollFailed: func(d *pollingDispatcher, now Time) {
		d.balancer.polling.RecordWatchEnd(endOfPollAfter(now.Sub(d.polledAt)))
		d.balancer.EndpointsUnavailable()
	}}
	for position := range dispatchers {
		config := changeDeadlineConfig(dispatchers, position)
		if begin == listsFromBeforeStart {
			fleet.add(config, NotFromDiscovery)
			continue
		}
		fleet.add(config, FromDiscovery).EndpointsUnavailable()
	}
	return fleet
}

// endOfPollAfter returns how a poll that failed after a span has ended: a rejection after a wait is one by a service
// that has too many callers.
func endOfPollAfter(span Duration) WatchEnd {
	if span < Second {
		return WatchFailed
	}
	return WatchRejected
}

// add adds a dispatcher that has a list from a source. The position is its seed.
func (f *pollingFleet) add(config Config, source ListSource) *Balancer {
	balancer := New(config, uint64(config.Position), &recorder{})
	balancer.SetTime(testStart)
	balancer.UpdateEndpoints([]Endpoint{{ID: "w"}}, AllEndpoints, source)
	f.dispatchers = append(f.dispatchers, &pollingDispatcher{balancer: balancer, answer: noOpenPoll})
	return balancer
}

// run plays from testStart until all dispatchers have their list, or until a moment.
func (f *pollingFleet) run(until Time) {
	const step = Duration(20)
	for now := testStart; now < until && len(f.listedAt) < len(f.dispatchers); now = now.Add(step) {
		for _, dispatcher := range f.dispatchers {
			if f.clocksAdvance {
				dispatcher.balancer.SetTime(now)
			}
			f.step(dispatcher, now)
		}
	}
}

// step gives a dispatcher the answer to its poll, or takes its next poll.
func (f *pollingFleet) step(d *pollingDispatcher, now Time) {
	switch {
	case d.answer.at <= now && d.answer.list:
		d.balancer.UpdateEndpoints([]Endpoint{{ID: "w"}}, AllEndpoints, FromDiscovery)
		f.listedAt = append(f.listedAt, now)
		d.answer = noOpenPoll
	case d.answer.at <= now:
		f.pollFailed(d, now)
		d.answer = noOpenPoll
	case d.answer == noOpenPoll && !d.balancer.polling.Watching() && d.balancer.polling.DueAt() <= now:
		f.polls++
		d.polledAt = now
		d.answer = f.service.poll(now)
	}
}

// lastListedAt returns when the last dispatcher got its list.
func (f *pollingFleet) lastListedAt() Time { return slices.Max(f.listedAt) }
