package outlier

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer/tick"
)

const now = tick.Time(100 * tick.Second)

func TestWorkerIsEjectedWhenTheNextAttemptWouldProbablyFail(t *testing.T) {
	for name, c := range map[string]struct {
		failures []Failure
		want     []bool // whether each failure ejects the worker
	}{
		"no connection":                      {[]Failure{NeverRan}, []bool{true}},
		"one attempt that may have run":      {[]Failure{MayHaveRun}, []bool{false}},
		"two attempts that may have run":     {[]Failure{MayHaveRun, MayHaveRun}, []bool{false, true}},
		"second failure during the ejection": {[]Failure{NeverRan, NeverRan}, []bool{true, false}},
	} {
		t.Run(name, func(t *testing.T) {
			var worker Worker
			for n, failure := range c.failures {
				assert.Equal(t, c.want[n], worker.RecordFailure(now, failure), "failure %d", n)
			}
		})
	}
}

func TestEjectionDurationDoublesUpToALimit(t *testing.T) {
	var worker Worker
	at := now
	for _, seconds := range []tick.Duration{1, 2, 4, 8, 8} {
		assert.True(t, worker.RecordFailure(at, NeverRan))
		assert.Equal(t, at.Add(seconds*tick.Second), worker.ProbeAfter)
		assert.True(t, worker.Ejected(at))
		at = worker.ProbeAfter
		assert.False(t, worker.Ejected(at), "the probe is due")
		assert.True(t, worker.Suspect())
	}
	worker.RecordSuccess()
	assert.False(t, worker.Suspect())
}

func TestNonIdempotentRequestProbesLastIfAnAttemptMayHaveRun(t *testing.T) {
	var worker Worker
	assert.True(t, worker.AcceptsNonIdempotent(now))
	worker.RecordFailure(now, NeverRan)
	assert.True(t, worker.AcceptsNonIdempotent(now), "no failed attempt has run")
	worker.RecordFailure(worker.ProbeAfter, MayHaveRun)
	assert.False(t, worker.AcceptsNonIdempotent(worker.ProbeAfter))
	assert.True(t, worker.AcceptsNonIdempotent(worker.ProbeAfter.Add(8*tick.Second)), "no idempotent probe so far")
}

func TestZoneIsEjectedAfterConsecutiveFailuresUnlessItIsTheLast(t *testing.T) {
	for name, hasOtherZone := range map[string]bool{"another zone is left": true, "the last zone": false} {
		t.Run(name, func(t *testing.T) {
			var zone Zone
			for range ZoneThreshold - 1 {
				assert.False(t, zone.RecordFailure(now, func() bool { return hasOtherZone }))
			}
			assert.Equal(t, hasOtherZone, zone.RecordFailure(now, func() bool { return hasOtherZone }))
			assert.Equal(t, hasOtherZone, zone.Ejected(now))
			zone.RecordSuccess()
			assert.False(t, zone.Ejected(now))
			assert.Zero(t, zone.Failures)
		})
	}
}
