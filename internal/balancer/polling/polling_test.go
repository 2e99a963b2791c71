package polling

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer/tick"
)

const now = tick.Time(100 * tick.Second)

// longWaitRandom is a random source that results in a long wait.
func longWaitRandom() uint64 { return 1<<62 - 1 }

// shortestWaitRandom is a random source that results in the shortest wait.
func shortestWaitRandom() uint64 { return 0 }

// newTestSchedule returns the Schedule of the dispatcher with the last position.
func newTestSchedule(dispatchers int) Schedule {
	return NewSchedule(Config{
		Dispatchers:    dispatchers,
		Position:       dispatchers - 1,
		MaxInterval:    10 * tick.Second,
		ChangeDeadline: 6 * tick.Second,
		AwaitFirstPoll: true,
	})
}

func TestFirstPollIsDueAtOnceOrByPositionWithNonDiscoveryList(t *testing.T) {
	schedule := newTestSchedule(4)
	assert.LessOrEqual(t, schedule.DueAt(), now)
	schedule.RecordNonDiscoveryList(now)
	spread := tick.Duration(10 * tick.Second * 4 / 128)
	assert.Equal(t, now.Add(spread*3/4), schedule.DueAt())
	assert.True(t, schedule.EndpointsStale())
	schedule.RecordAnswer(now)
	assert.Equal(t, tick.Never, schedule.DueAt(), "the list is watched")
	assert.False(t, schedule.EndpointsStale())
}

func TestWaitAfterFailureIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		ends    []WatchEnd
		maxWait tick.Duration
	}{
		"first failure":      {[]WatchEnd{WatchFailed}, tick.Second + 10*tick.Second/128},
		"third failure":      {[]WatchEnd{WatchFailed, WatchFailed, WatchFailed}, 4 * tick.Second},
		"fourth rejection":   {[]WatchEnd{WatchRejected, WatchRejected, WatchRejected, WatchRejected}, 8*tick.Second + 8*10*tick.Second/128},
		"disconnected watch": {[]WatchEnd{WatchFailed, WatchFailed, WatchDisconnected}, tick.Second + 10*tick.Second/128},
		"silent watch":       {[]WatchEnd{WatchFailed, WatchFailed, WatchSilent}, tick.Second + 10*tick.Second/128},
	} {
		t.Run(name, func(t *testing.T) {
			schedule := newTestSchedule(1)
			for _, end := range c.ends {
				schedule.RecordWatchEnd(end)
				schedule.RecordFailure(now, longWaitRandom)
			}
			assert.LessOrEqual(t, schedule.DueAt(), now.Add(c.maxWait))
			shortest := schedule
			shortest.RecordWatchEnd(c.ends[len(c.ends)-1])
			shortest.RecordFailure(now, shortestWaitRandom)
			assert.Greater(t, shortest.DueAt(), now)
		})
	}
}

// Where lists are pushed, what the service has must be in use within a grace period. A dispatcher that waited longer after
// an outage would send attempts to workers that had started to drain meanwhile.
func TestPushedListIsPolledAgainWithinTheGracePeriod(t *testing.T) {
	const grace = tick.Duration(tick.Second / 2)
	for _, end := range []WatchEnd{WatchFailed, WatchRejected, WatchDisconnected, WatchSilent} {
		schedule := NewSchedule(Config{
			Dispatchers:    350,
			MaxInterval:    10 * tick.Second,
			ChangeDeadline: 6 * tick.Second,
			PushGrace:      grace,
		})
		for range 12 {
			schedule.RecordWatchEnd(end)
			schedule.RecordFailure(now, longWaitRandom)
			assert.LessOrEqual(t, schedule.DueAt(), now.Add(grace/2), "half of it is for the poll")
		}
	}
}

func TestFirstPollOfAPushedListIsDueAtOnce(t *testing.T) {
	schedule := NewSchedule(Config{
		Dispatchers: 350,
		Position:    349,
		MaxInterval: 10 * tick.Second,
		PushGrace:   tick.Second,
	})
	schedule.RecordNonDiscoveryList(now)
	assert.Equal(t, now, schedule.DueAt())
}

func TestPollAfterASilentWatchIsDueSooner(t *testing.T) {
	disconnected := newTestSchedule(350)
	silent := newTestSchedule(350)
	disconnected.RecordWatchEnd(WatchDisconnected)
	disconnected.RecordFailure(now, shortestWaitRandom)
	silent.RecordWatchEnd(WatchSilent)
	silent.RecordFailure(now, shortestWaitRandom)
	assert.Equal(t, disconnected.DueAt().Sub(now), 2*silent.DueAt().Sub(now))
}

func TestPollIsRepeatedIfItIsNotAnswered(t *testing.T) {
	schedule := newTestSchedule(1)
	schedule.RecordPoll(now)
	assert.Equal(t, now.Add(10*tick.Second), schedule.DueAt())
	schedule.PollNow(now)
	assert.Equal(t, now, schedule.DueAt())
}

func TestWatchedSinceCountsFromTheWatchAndTheGivenTime(t *testing.T) {
	schedule := newTestSchedule(1)
	interval := schedule.config.MaxInterval
	assert.False(t, schedule.WatchedSince(0, now), "before a watch")
	schedule.RecordAnswer(now)
	assert.False(t, schedule.WatchedSince(0, now.Add(interval-1)))
	assert.True(t, schedule.WatchedSince(0, now.Add(interval)))
	assert.False(t, schedule.WatchedSince(now.Add(5), now.Add(interval)))
}
