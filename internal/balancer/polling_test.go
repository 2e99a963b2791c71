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
	balancer.polling.PollNow(DistantPast)
	balancer.RunDueRules()
	balancer.RunDueRules()
	assert.Equal(t, []string{"poll"}, effects.lines, "no second poll before the first one is answered")
	lastWait := Duration(0)
	for range 4 {
		balancer.EndpointsUnavailable()
		wait := balancer.polling.DueAt().Sub(balancer.now)
		assert.Greater(t, wait, lastWait/2)
		lastWait = wait
		assert.Less(t, wait, balancer.config.polling.MaxInterval)
	}
}

// Regression test: all dispatchers of a fleet started and polled at the same time. Their polls timed out and were
// repeated, which kept the service busy with polls that had already timed out.
func TestStartingFleetDoesNotOverloadDiscovery(t *testing.T) {
	const dispatchers = 80
	for _, c := range []struct {
		name     string
		pollTime Duration // service time of one poll
		starting int      // number of dispatchers that start
		within   Duration // time limit for all dispatchers to get the list
		maxPolls int      // upper bound of the mean number of polls per dispatcher
	}{
		{name: "all start", pollTime: 630, starting: dispatchers, within: 8 * Second, maxPolls: 3},
		{name: "some start", pollTime: 800, starting: 56, within: 8 * Second, maxPolls: 3},
		{name: "all start, polls take longer than the spread", pollTime: 800, starting: dispatchers, within: 15 * Second, maxPolls: 3},
		{name: "all start, twice the service time", pollTime: 1250, starting: dispatchers, within: 30 * Second, maxPolls: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			service := &slowDiscovery{pollTime: c.pollTime, pollTimeout: 2 * Second}
			fleet := newStartingFleet(dispatchers, c.starting, service)
			fleet.run(startingFleetEnd)
			if assert.Len(t, fleet.listedAt, c.starting, "not all dispatchers have the list") {
				assert.Less(t, fleet.lastListedAt(), testStart.Add(c.within))
			}
			assert.Less(t, fleet.polls, c.maxPolls*c.starting)
		})
	}
}

func TestSmallFleetPollsWithoutDelay(t *testing.T) {
	const dispatchers = 2
	fleet := newStartingFleet(dispatchers, dispatchers, &slowDiscovery{pollTime: 600, pollTimeout: 2 * Second})
	fleet.run(startingFleetEnd)
	assert.Equal(t, dispatchers, fleet.polls)
	assert.Less(t, fleet.lastListedAt(), testStart.Add(Second/4))
}

// Regression test: attempts were sent to a worker that had been removed while this dispatcher was down. A change must
// be known to a new process from its start, so it sends no attempts based on an earlier list until its first poll ends.
func TestNoAttemptIsBasedOnStaleListBeforeFirstPollEnds(t *testing.T) {
	const removed, listed WorkerID = 0, 1
	for name, c := range map[string]struct {
		endPoll func(*Balancer)
		target  func(*Balancer) WorkerID // expected worker of the first attempt
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
			assert.False(t, balancer.polling.EndpointsStale(), "a list from a peer must not mark this one as stale")
		})
	}
}

// Regression test: a successor process waited for a poll of its own although its predecessor was watching the list.
func TestSuccessorUsesItsPredecessorsListAtOnce(t *testing.T) {
	shards := NewShards(changeDeadlineConfig(3, 2), 1, 1, func() Time { return testStart }, func(Event) {})
	shards.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w"}}, AllEndpoints, NotFromDiscovery)
	assert.True(t, shards.pickers[0].balancer.polling.EndpointsStale())
	assert.True(t, shards.RestoreFromPredecessor(shards.Snapshot()))
	assert.False(t, shards.pickers[0].balancer.polling.EndpointsStale())
}

// A change has to be known after 6 s. Up to 2 s of that are the wait for the answer to a poll.
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
			balancer.polling.RecordWatchEnd(WatchSilent) // the silence may be detected up to 3 s late
			balancer.EndpointsUnavailable()
			assertPollDueWithin(t, balancer, 2*Second, "after a watch that fell silent")
		}
	}
}

// Regression test: dispatchers received the changes that were made during an outage of the discovery service too late.
// The service can answer one poll of each dispatcher within 4 s.
func TestFleetHasItsListInTimeAfterADiscoveryOutage(t *testing.T) {
	for _, c := range []struct {
		dispatchers int
		maxPolls    float64 // upper bound of the mean number of polls per dispatcher
	}{
		{dispatchers: 3, maxPolls: 7},
		{dispatchers: 30, maxPolls: 5},
		{dispatchers: 350, maxPolls: 5},
	} {
		t.Run(fmt.Sprint(c.dispatchers), func(t *testing.T) {
			service := &recoveringDiscovery{
				downUntil:   108 * Second,
				pollTime:    4 * Second / Duration(c.dispatchers),
				pollTimeout: 2 * Second,
			}
			fleet := newChangeDeadlineFleet(c.dispatchers, watchesEnded, service)
			fleet.run(130 * Second)
			pollsOfEach := float64(fleet.polls) / float64(c.dispatchers)
			if assert.Len(t, fleet.listedAt, c.dispatchers) {
				assert.LessOrEqual(t, fleet.lastListedAt(), service.downUntil.Add(6*Second))
			}
			assert.Less(t, pollsOfEach, c.maxPolls, "polls per dispatcher")
			t.Logf("%d dispatchers: %.1f polls per dispatcher, %d rejected, last list %v after the outage", c.dispatchers,
				pollsOfEach, service.rejected, fleet.lastListedAt().Sub(service.downUntil).Standard())
		})
	}
}

// Regression test: polls were repeated so soon that an overloaded service, which also handles polls that have timed
// out, never reached the polls that were still waiting. All dispatchers have to get the list eventually, even if the
// service takes 12 s for one poll of each.
func TestOverloadedDiscoveryAnswersAllDispatchers(t *testing.T) {
	for _, c := range []struct {
		allPolls Duration // total service time of one poll of each dispatcher
		within   Duration // time limit for all dispatchers to get the list
		maxPolls float64  // maximum of the mean number of polls per dispatcher
	}{
		{allPolls: 4 * Second, within: 6 * Second, maxPolls: 1.5},
		{allPolls: 6 * Second, within: 16 * Second, maxPolls: 2},
		{allPolls: 8 * Second, within: 50 * Second, maxPolls: 4},
		{allPolls: 12 * Second, within: 90 * Second, maxPolls: 6},
	} {
		for _, dispatchers := range []int{30, 350} {
			for _, reason := range []pollReason{staleLists, watchesEnded} {
				name := fmt.Sprintf("%d polls in %v, %s", dispatchers, c.allPolls.Standard(), reason)
				service := &slowDiscovery{pollTime: c.allPolls / Duration(dispatchers), pollTimeout: 2 * Second}
				fleet := newChangeDeadlineFleet(dispatchers, reason, service)
				fleet.run(300 * Second)
				if assert.Len(t, fleet.listedAt, dispatchers, name) {
					assert.LessOrEqual(t, fleet.lastListedAt(), testStart.Add(c.within), name)
				}
				assert.LessOrEqual(t, float64(fleet.polls)/float64(dispatchers), c.maxPolls, name)
			}
		}
	}
}

// changeDeadlineConfig returns a configuration with polling and a change deadline of 6 s.
func changeDeadlineConfig(dispatchers, position int) Config {
	config := testConfig
	config.Discovery.Poll = true
	config.Discovery.ChangeDeadline = 6 * Second
	config.Dispatchers = dispatchers
	config.Position = position
	return config
}

// discoveryService is a simulated service that answers polls of the endpoint list.
type discoveryService interface {
	// poll returns the answer to a poll that arrives now.
	poll(now Time) pollAnswer
}

// pollAnswer is the result of a poll.
type pollAnswer struct {
	at      Time // time at which the poll ends; never if no poll is open
	hasList bool // the answer contains the list; otherwise the poll failed
}

// noOpenPoll is the pollAnswer of a dispatcher without an open poll.
var noOpenPoll = pollAnswer{at: never}

// slowDiscovery answers polls one after the other. It also handles polls that have timed out.
type slowDiscovery struct {
	pollTime    Duration // service time of one poll
	pollTimeout Duration // timeout of a poll at the dispatcher
	idleAt      Time     // time at which all polls so far have been handled
}

func (s *slowDiscovery) poll(now Time) pollAnswer {
	timeoutAt := now.Add(s.pollTimeout)
	s.idleAt = max(s.idleAt, now).Add(s.pollTime)
	if s.idleAt > timeoutAt {
		return pollAnswer{at: timeoutAt}
	}
	return pollAnswer{at: s.idleAt, hasList: true}
}

// recoveringDiscovery is down until downUntil, and then answers polls one after the other. It immediately rejects polls
// that would time out before their answer.
type recoveringDiscovery struct {
	downUntil   Time
	pollTime    Duration // service time of one poll
	pollTimeout Duration // timeout of a poll at the dispatcher
	idleAt      Time     // time at which all accepted polls so far have been handled
	rejected    int      // number of polls rejected because of overload
}

func (s *recoveringDiscovery) poll(now Time) pollAnswer {
	const rejectionTime = Duration(Second / 500)
	rejection := pollAnswer{at: now.Add(rejectionTime)}
	if now < s.downUntil {
		return rejection
	}
	doneAt := max(s.idleAt, now).Add(s.pollTime)
	if doneAt > now.Add(s.pollTimeout) {
		s.rejected++
		return rejection
	}
	s.idleAt = doneAt
	return pollAnswer{at: doneAt, hasList: true}
}

// pollingFleet simulates dispatchers that poll a discovery service until each has its list.
type pollingFleet struct {
	service     discoveryService
	dispatchers []*pollingDispatcher

	clocksAdvance bool                           // the clocks of the dispatchers are set in each step
	pollFailed    func(*pollingDispatcher, Time) // reports a failed poll to its dispatcher

	listedAt []Time // times at which dispatchers got the list, in ascending order
	polls    int    // number of polls sent to the service
}

// pollingDispatcher is one dispatcher of a pollingFleet.
type pollingDispatcher struct {
	balancer *Balancer
	polledAt Time
	answer   pollAnswer // answer to the open poll, or noOpenPoll
}

// startingFleetEnd is when the simulation of a starting fleet ends.
const startingFleetEnd = Time(160 * Second)

// newStartingFleet returns a fleet in which the given number of dispatchers start at the same time, with a list from
// before the start.
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

// pollReason is the reason for which the dispatchers of a fleet poll at the start of a simulation.
type pollReason string

const (
	staleLists   pollReason = "all start with a stale list"
	watchesEnded pollReason = "all watches have ended"
)

// newChangeDeadlineFleet returns a fleet whose dispatchers use changeDeadlineConfig.
func newChangeDeadlineFleet(dispatchers int, reason pollReason, service discoveryService) *pollingFleet {
	fleet := &pollingFleet{service: service, clocksAdvance: true, pollFailed: func(d *pollingDispatcher, now Time) {
		d.balancer.polling.RecordWatchEnd(watchEndAfter(now.Sub(d.polledAt)))
		d.balancer.EndpointsUnavailable()
	}}
	for position := range dispatchers {
		config := changeDeadlineConfig(dispatchers, position)
		if reason == staleLists {
			fleet.add(config, NotFromDiscovery)
			continue
		}
		fleet.add(config, FromDiscovery).EndpointsUnavailable()
	}
	return fleet
}

// watchEndAfter returns the WatchEnd of a poll that failed after the given duration. A poll that failed after a wait
// was rejected by a service with too many callers.
func watchEndAfter(elapsed Duration) WatchEnd {
	if elapsed < Second {
		return WatchFailed
	}
	return WatchRejected
}

// add adds a dispatcher whose list comes from the given source, and returns its Balancer. The position is used as the
// seed.
func (f *pollingFleet) add(config Config, source ListSource) *Balancer {
	balancer := New(config, uint64(config.Position), &recorder{})
	balancer.SetTime(testStart)
	balancer.UpdateEndpoints([]Endpoint{{ID: "w"}}, AllEndpoints, source)
	f.dispatchers = append(f.dispatchers, &pollingDispatcher{balancer: balancer, answer: noOpenPoll})
	return balancer
}

// run simulates the fleet from testStart until all dispatchers have the list, or until the given time.
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

// step delivers the answer to the open poll of a dispatcher, or sends its next poll, if either is due.
func (f *pollingFleet) step(d *pollingDispatcher, now Time) {
	switch {
	case d.answer.at <= now && d.answer.hasList:
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

// lastListedAt returns the time at which the last dispatcher got the list.
func (f *pollingFleet) lastListedAt() Time { return slices.Max(f.listedAt) }
