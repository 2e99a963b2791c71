// Package polling decides when a dispatcher polls the endpoint list, and until when it may rely on an old one.
//
// Once a poll is answered the list is watched: changes come by themselves until the watch ends. The discovery service
// serves many dispatchers, and a poll that is given up costs it as much as one that it answers. So dispatchers that
// start together poll in turn, and after a failure all of them together poll no faster than at a start.
package polling

import "canvasroute/internal/balancer/tick"

const (
	// pollsPerInterval is how many polls the discovery service takes from all dispatchers within MaxInterval.
	pollsPerInterval = 128
	// maxSpreadShare bounds the span over which one poll of each dispatcher is spread, as a share of MaxInterval.
	maxSpreadShare = 0.6

	// firstBackoff is doubled with each consecutive failure, the first one included.
	firstBackoff        = tick.Duration(tick.Second / 2)
	maxBackoffDoublings = 4

	// toleratedRejections is the number of consecutive rejected polls after which waits may exceed the usual longest one.
	toleratedRejections   = 2
	maxRejectionDoublings = 2

	// silenceSpeedup divides the longest wait after a watch that fell silent, as the silence was noticed late.
	silenceSpeedup = 2
)

var (
	// longestWait is the longest bound of a wait after a failed poll, as a share of MaxInterval.
	longestWait = tick.Ratio{Numerator: 4, Denominator: 5}
	// certainShare and randomShare divide a wait: its first part is certain, and the rest is drawn at random.
	certainShare = tick.Ratio{Numerator: 1, Denominator: 4}
	randomShare  = tick.Ratio{Numerator: 3, Denominator: 4}
	// firstPollShare and retryShare divide the time in which a change has to be known: between the first polls after a
	// start, and the wait after a failed poll.
	firstPollShare = tick.Ratio{Numerator: 1, Denominator: 3}
	retryShare     = tick.Ratio{Numerator: 2, Denominator: 3}
)

// Config is what a Schedule goes by.
type Config struct {
	Dispatchers int // that poll the same service, from 1
	Position    int // of this dispatcher among them, from 0

	// MaxInterval is the longest time without a poll that the platform allows. Waits exceed it only while the service
	// rejects polls for having too many callers.
	MaxInterval tick.Duration
	// ChangeDeadline is how long after a change every dispatcher is expected to know it, even if its polls failed; 0
	// where there is no such deadline.
	ChangeDeadline tick.Duration
	// AwaitFirstPoll forbids attempts by a list from before the start until the first poll has ended.
	AwaitFirstPoll bool
}

// spread returns the span over which one poll of each dispatcher is spread.
func (c *Config) spread() tick.Duration {
	return min(c.MaxInterval*tick.Duration(c.Dispatchers)/pollsPerInterval,
		tick.Duration(maxSpreadShare*float64(c.MaxInterval)))
}

// firstSpread is the same for the first polls after a start.
func (c *Config) firstSpread() tick.Duration {
	if c.ChangeDeadline > 0 {
		return min(c.spread(), firstPollShare.Of(c.ChangeDeadline))
	}
	return c.spread()
}

// longestRetry returns the longest bound of a wait after a failed poll, unless the service has rejected polls.
func (c *Config) longestRetry() tick.Duration {
	longest := longestWait.Of(c.MaxInterval)
	if c.ChangeDeadline > 0 {
		return min(longest, retryShare.Of(c.ChangeDeadline))
	}
	return longest
}

// WatchEnd is how a poll of the endpoint list, or the watch that it began, ended.
type WatchEnd uint8

// The ends of a watch.
const (
	WatchFailed   WatchEnd = iota // refused, given up, or not understood
	WatchRejected                 // rejected after it had waited: the service has too many callers
	WatchCut                      // the watch had begun, and its connection ended
	WatchSilent                   // the watch had begun, and fell silent some time ago
)

// Schedule owns when the endpoint list is polled next. Its methods take the current time; none blocks.
type Schedule struct {
	config Config

	watching       bool
	watchingSince  tick.Time
	answered       bool // a poll has been answered since the start
	endpointsStale bool // the list is from before the start, and the first poll has not ended
	failures       int  // consecutive failed polls
	rejections     int  // consecutive polls that were rejected after a wait
	silent         bool // the last watch fell silent
	nextPoll       tick.Time
}

// NewSchedule returns a Schedule whose first poll is due at once.
func NewSchedule(config Config) Schedule { return Schedule{config: config} }

// Reconfigure replaces the configuration. Waits that were drawn stay.
func (s *Schedule) Reconfigure(config Config) { s.config = config }

// DueAt returns when the list has to be polled, Never while it is watched.
func (s *Schedule) DueAt() tick.Time {
	if s.watching {
		return tick.Never
	}
	return s.nextPoll
}

// Watching reports whether changes of the list come by themselves.
func (s *Schedule) Watching() bool { return s.watching }

// WatchedSince reports whether the list has been watched for MaxInterval, and for that long after a moment. It names all
// that happened up to then.
func (s *Schedule) WatchedSince(moment, now tick.Time) bool {
	return s.watching && now >= max(s.watchingSince, moment).Add(s.config.MaxInterval)
}

// Answered reports whether a poll has been answered since the start.
func (s *Schedule) Answered() bool { return s.answered }

// Failing reports whether the latest poll failed.
func (s *Schedule) Failing() bool { return s.failures > 0 }

// EndpointsStale reports whether no attempt may be sent, as the list is from before the start.
func (s *Schedule) EndpointsStale() bool { return s.endpointsStale }

// AcceptStaleEndpoints permits attempts by a list from before the start.
func (s *Schedule) AcceptStaleEndpoints() { s.endpointsStale = false }

// RecordPoll notes that the list is polled now. It is polled again if no answer comes within MaxInterval.
func (s *Schedule) RecordPoll(now tick.Time) { s.nextPoll = now.Add(s.config.MaxInterval) }

// RecordAnswer notes that a poll was answered. The list is watched from now on.
func (s *Schedule) RecordAnswer(now tick.Time) {
	s.failures = 0
	s.answered = true
	s.endpointsStale = false
	if !s.watching {
		s.watching = true
		s.watchingSince = now
	}
}

// RecordInitialList notes a list from before the start. Workers may have been drained or removed since. Dispatchers
// that start together poll in the order of their positions.
func (s *Schedule) RecordInitialList(now tick.Time) {
	c := &s.config
	s.nextPoll = now.Add(c.firstSpread() * tick.Duration(c.Position) / tick.Duration(c.Dispatchers))
	s.endpointsStale = c.AwaitFirstPoll && !s.answered && s.failures == 0
}

// RecordWatchEnd notes how a poll or a watch ended; RecordFailure has to follow. A service that had answered is not
// overloaded, so waits start over after a watch that had begun.
func (s *Schedule) RecordWatchEnd(end WatchEnd) {
	s.rejections++
	if end != WatchRejected {
		s.rejections = 0
	}
	s.silent = end == WatchSilent
	if end == WatchSilent || end == WatchCut {
		s.failures = 0
	}
}

// RecordFailure notes that a poll failed or the watch has ended, and draws the wait for the next poll. random returns
// numbers of which all bits are random.
func (s *Schedule) RecordFailure(now tick.Time, random func() uint64) {
	s.failures++
	s.watching = false
	s.endpointsStale = false
	wait := s.retryWait()
	s.nextPoll = now.Add(certainShare.Of(wait) + tick.Duration(random()%uint64(randomShare.Of(wait)+1)))
}

// retryWait returns the bound of the next wait, by the failures so far. The wait itself is drawn between a quarter of the
// bound and all of it.
func (s *Schedule) retryWait() tick.Duration {
	backoff := firstBackoff << min(s.failures, maxBackoffDoublings)
	spread := s.config.spread() << min(s.failures-1, maxBackoffDoublings)
	longest := longestWait.Of(s.config.MaxInterval) <<
		min(max(s.rejections-toleratedRejections, 0), maxRejectionDoublings)
	wait := min(backoff+spread, longest)
	if s.rejections > 0 {
		return wait
	}
	// The service does not say that it has too many callers: a change has to be known soon after it is back.
	if s.silent {
		return min(wait, s.config.longestRetry()/silenceSpeedup)
	}
	return min(wait, s.config.longestRetry())
}

// PollNow makes a poll due at once, however long the wait was to be: the service has another address.
func (s *Schedule) PollNow(now tick.Time) {
	s.watching = false
	s.failures = 0
	s.nextPoll = now
}
