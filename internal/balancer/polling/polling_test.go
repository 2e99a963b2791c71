package polling

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer/tick"
)

const now = tick.Time(100 * tick.Second)

// latest draws the longest wait, and earliest the shortest one.
func latest() uint64 { return 1<<62 - 1 }

func earliest() uint64 { return 0 }

func newTestSchedule(dispatchers int) Schedule {
	return NewSchedule(Config{
		Dispatchers: dispatchers, Position: dispatchers - 1,
		MaxInterval: 10 * tick.Second, ChangeDeadline: 6 * tick.Second, AwaitFirstPoll: true,
	})
}

func TestFirstPollIsDueAtOnceAndInTurnWithAList(t *testing.T) {
	s := newTestSchedule(4)
	assert.LessOrEqual(t, s.DueAt(), now)
	s.RecordInitialList(now)
	spread := tick.Duration(10 * tick.Second * 4 / 128)
	assert.Equal(t, now.Add(spread*3/4), s.DueAt())
	assert.True(t, s.EndpointsStale())
	s.RecordAnswer(now)
	assert.Equal(t, tick.Never, s.DueAt(), "the list is watched")
	assert.False(t, s.EndpointsStale())
}

func TestWaitAfterAFailure(t *testing.T) {
	for name, c := range map[string]struct {
		ends    []WatchEnd
		longest tick.Duration
	}{
		"first failure":            {[]WatchEnd{WatchFailed}, tick.Second + 10*tick.Second/128},
		"third failure":            {[]WatchEnd{WatchFailed, WatchFailed, WatchFailed}, 4 * tick.Second},
		"rejected":                 {[]WatchEnd{WatchRejected, WatchRejected, WatchRejected, WatchRejected}, 8*tick.Second + 8*10*tick.Second/128},
		"a watch that was cut":     {[]WatchEnd{WatchFailed, WatchFailed, WatchCut}, tick.Second + 10*tick.Second/128},
		"a watch that fell silent": {[]WatchEnd{WatchFailed, WatchFailed, WatchSilent}, tick.Second + 10*tick.Second/128},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestSchedule(1)
			for _, end := range c.ends {
				s.RecordWatchEnd(end)
				s.RecordFailure(now, latest)
			}
			assert.LessOrEqual(t, s.DueAt(), now.Add(c.longest))
			shortest := s
			shortest.RecordWatchEnd(c.ends[len(c.ends)-1])
			shortest.RecordFailure(now, earliest)
			assert.Greater(t, shortest.DueAt(), now)
		})
	}
}

func TestSilentWatchIsRepeatedSooner(t *testing.T) {
	cut, silent := newTestSchedule(350), newTestSchedule(350)
	cut.RecordWatchEnd(WatchCut)
	cut.RecordFailure(now, earliest)
	silent.RecordWatchEnd(WatchSilent)
	silent.RecordFailure(now, earliest)
	assert.Equal(t, cut.DueAt().Sub(now), 2*silent.DueAt().Sub(now))
}

func TestPollIsRepeatedWithoutAnAnswer(t *testing.T) {
	s := newTestSchedule(1)
	s.RecordPoll(now)
	assert.Equal(t, now.Add(10*tick.Second), s.DueAt())
	s.PollNow(now)
	assert.Equal(t, now, s.DueAt())
}

func TestWatchedForCountsFromTheWatchAndTheMoment(t *testing.T) {
	s := newTestSchedule(1)
	assert.False(t, s.WatchedFor(0, 0, now), "not watched")
	s.RecordAnswer(now)
	assert.False(t, s.WatchedFor(10, 0, now.Add(9)))
	assert.True(t, s.WatchedFor(10, 0, now.Add(10)))
	assert.False(t, s.WatchedFor(10, now.Add(5), now.Add(10)))
}
