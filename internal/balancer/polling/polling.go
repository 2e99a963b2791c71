// Package polling schedules the polls of the endpoint list and decides how long an old list may be used.
//
// A successful poll starts a watch: the service sends changes of the list until the watch ends. Where lists are polled,
// the discovery service serves many dispatchers, and a poll that times out costs it as much as a poll that it answers.
// Therefore dispatchers that start together poll one after the other, and after a failure their total poll rate is no
// higher than at a start. Where lists are pushed, an agent serves this dispatcher alone, and is polled again soon.
package polling

import "canvasroute/internal/balancer/tick"

const (
	// pollsPerInterval is the number of polls from all dispatchers that the discovery service can handle within
	// MaxInterval.
	pollsPerInterval = 128
	// maxSpreadShare limits the period over which one poll of each dispatcher is spread, as a share of MaxInterval.
	maxSpreadShare = 0.6

	// initialBackoff is doubled with each consecutive failure, including the first one.
	initialBackoff      = tick.Duration(tick.Second / 2)
	maxBackoffDoublings = 4

	// toleratedRejections is the number of consecutive rejected polls after which waits may exceed the usual maximum.
	toleratedRejections   = 2
	maxRejectionDoublings = 2

	// silentWatchDivisor divides the maximum wait after a watch that fell silent, because the silence is detected late.
	silentWatchDivisor = 2
)

var (
	// maxWaitShare is the maximum wait after a failed poll, as a share of MaxInterval.
	maxWaitShare = tick.Ratio{Numerator: 4, Denominator: 5}
	// fixedShare and randomShare split a wait into a fixed part and a random part (jitter).
	fixedShare  = tick.Ratio{Numerator: 1, Denominator: 4}
	randomShare = tick.Ratio{Numerator: 3, Denominator: 4}
	// firstPollShare and retryShare are shares of ChangeDeadline: firstPollShare limits the period over which the first
	// polls after a start are spread, and retryShare limits the wait after a failed poll.
	firstPollShare = tick.Ratio{Numerator: 1, Denominator: 3}
	retryShare     = tick.Ratio{Numerator: 2, Denominator: 3}
	// pushRetryShare is the maximum wait after a failed poll if lists are pushed, as a share of PushGrace. The rest is
	// for the poll.
	pushRetryShare = tick.Ratio{Numerator: 1, Denominator: 2}
)

// Config holds the configuration of a Schedule.
type Config struct {
	Dispatchers int // number of dispatchers that poll the same service, at least 1
	Position    int // position of this dispatcher among them, from 0

	// MaxInterval is the longest interval between polls that the platform allows. Waits exceed it only while the
	// service rejects polls because it has too many callers.
	MaxInterval tick.Duration
	// ChangeDeadline is the maximum delay between a change and its arrival at every dispatcher, even if polls fail. 0
	// means that there is no deadline.
	ChangeDeadline tick.Duration
	// PushGrace is the time in which a change that the service has must be in use, if lists are pushed: the service is
	// then an agent of this dispatcher alone. 0 means that lists are polled.
	PushGrace tick.Duration
	// AwaitFirstPoll forbids attempts based on a list from before the start until the first poll has ended.
	AwaitFirstPoll bool
}

// spread returns the period over which one poll of each dispatcher is spread.
func (c *Config) spread() tick.Duration {
	return min(c.MaxInterval*tick.Duration(c.Dispatchers)/pollsPerInterval,
		tick.Duration(maxSpreadShare*float64(c.MaxInterval)))
}

// initialSpread returns the period over which the first polls after a start are spread. An agent that pushes lists has no
// other dispatchers to serve.
func (c *Config) initialSpread() tick.Duration {
	if c.PushGrace > 0 {
		return 0
	}
	if c.ChangeDeadline > 0 {
		return min(c.spread(), firstPollShare.Of(c.ChangeDeadline))
	}
	return c.spread()
}

// maxRetryWait returns the maximum wait after a failed poll, unless the service has rejected polls.
func (c *Config) maxRetryWait() tick.Duration {
	longest := maxWaitShare.Of(c.MaxInterval)
	if c.ChangeDeadline > 0 {
		return min(longest, retryShare.Of(c.ChangeDeadline))
	}
	return longest
}

// WatchEnd is the way in which a poll of the endpoint list, or the watch that it started, ended.
type WatchEnd uint8

// Values of WatchEnd.
const (
	WatchFailed       WatchEnd = iota // the poll was refused, timed out, or got an invalid response
	WatchRejected                     // the poll was rejected after a wait: the service has too many callers
	WatchDisconnected                 // the connection of the watch was lost
	WatchSilent                       // the watch has sent nothing for too long
)

// Schedule determines when the endpoint list is polled next. Its methods take the current time as an argument and never
// block.
type Schedule struct {
	config Config

	watching        bool
	watchingSince   tick.Time
	answered        bool // a poll has been answered since the start
	endpointsStale  bool // the list is from before the start, and the first poll has not ended
	failures        int  // consecutive failed polls
	rejections      int  // consecutive polls that were rejected after a wait
	lastWatchSilent bool // the latest watch or poll ended with WatchSilent
	nextPoll        tick.Time
}

// NewSchedule returns a Schedule whose first poll is due at once.
func NewSchedule(config Config) Schedule { return Schedule{config: config} }

// Reconfigure replaces the configuration. A poll that is already scheduled keeps its time.
func (s *Schedule) Reconfigure(config Config) { s.config = config }

// DueAt returns the time of the next poll, or Never while the list is watched.
func (s *Schedule) DueAt() tick.Time {
	if s.watching {
		return tick.Never
	}
	return s.nextPoll
}

// Watching reports whether the list is watched.
func (s *Schedule) Watching() bool { return s.watching }

// WatchedSince reports whether the list is watched and MaxInterval has elapsed since both the start of the watch and
// the given time. If so, the list includes all changes up to that time.
func (s *Schedule) WatchedSince(since, now tick.Time) bool {
	return s.watching && now >= max(s.watchingSince, since).Add(s.config.MaxInterval)
}

// Answered reports whether a poll has been answered since the start.
func (s *Schedule) Answered() bool { return s.answered }

// Failing reports whether the latest poll failed.
func (s *Schedule) Failing() bool { return s.failures > 0 }

// EndpointsStale reports whether attempts are forbidden because the list is from before the start.
func (s *Schedule) EndpointsStale() bool { return s.endpointsStale }

// AcceptStaleEndpoints permits attempts based on a list from before the start.
func (s *Schedule) AcceptStaleEndpoints() { s.endpointsStale = false }

// RecordPoll records that a poll is sent now. The next poll is due after MaxInterval if this one is not answered.
func (s *Schedule) RecordPoll(now tick.Time) { s.nextPoll = now.Add(s.config.MaxInterval) }

// RecordAnswer records that a poll was answered. The list is watched from now on.
func (s *Schedule) RecordAnswer(now tick.Time) {
	s.failures = 0
	s.answered = true
	s.endpointsStale = false
	if !s.watching {
		s.watching = true
		s.watchingSince = now
	}
}

// RecordNonDiscoveryList records that a list is in use that did not come from the discovery service: it is from before
// the start, or from a peer or the predecessor. It schedules the next poll, because workers may have been drained or
// removed since that list. Dispatchers that start together poll in the order of their positions.
func (s *Schedule) RecordNonDiscoveryList(now tick.Time) {
	c := &s.config
	s.nextPoll = now.Add(c.initialSpread() * tick.Duration(c.Position) / tick.Duration(c.Dispatchers))
	s.endpointsStale = c.AwaitFirstPoll && !s.answered && s.failures == 0
}

// RecordWatchEnd records how a poll or a watch ended. RecordFailure has to be called next. A service that answered the
// poll is not overloaded, so the backoff is reset if a watch was running.
func (s *Schedule) RecordWatchEnd(end WatchEnd) {
	s.rejections++
	if end != WatchRejected {
		s.rejections = 0
	}
	s.lastWatchSilent = end == WatchSilent
	if end == WatchSilent || end == WatchDisconnected {
		s.failures = 0
	}
}

// RecordFailure records that a poll failed or that the watch ended, and schedules the next poll after a randomized
// wait. random returns uniformly distributed 64-bit numbers.
func (s *Schedule) RecordFailure(now tick.Time, random func() uint64) {
	s.failures++
	s.watching = false
	s.endpointsStale = false
	wait := s.nextWaitLimit()
	s.nextPoll = now.Add(fixedShare.Of(wait) + tick.Duration(random()%uint64(randomShare.Of(wait)+1)))
}

// nextWaitLimit returns the upper limit of the next wait, based on the failures so far. The actual wait is drawn at
// random between a quarter of the limit and the limit.
func (s *Schedule) nextWaitLimit() tick.Duration {
	backoff := initialBackoff << min(s.failures, maxBackoffDoublings)
	spread := s.config.spread() << min(s.failures-1, maxBackoffDoublings)
	longest := maxWaitShare.Of(s.config.MaxInterval) <<
		min(max(s.rejections-toleratedRejections, 0), maxRejectionDoublings)
	wait := min(backoff+spread, longest)
	if s.config.PushGrace > 0 {
		return min(wait, pushRetryShare.Of(s.config.PushGrace))
	}
	if s.rejections > 0 {
		return wait
	}
	// The service has not rejected the poll for having too many callers, so it may just be down. The list has to be up
	// to date soon after it recovers.
	if s.lastWatchSilent {
		return min(wait, s.config.maxRetryWait()/silentWatchDivisor)
	}
	return min(wait, s.config.maxRetryWait())
}

// PollNow makes a poll due at once and discards the remaining wait, because the address of the service has changed.
func (s *Schedule) PollNow(now tick.Time) {
	s.watching = false
	s.failures = 0
	s.nextPoll = now
}
