package outlier

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer/tick"
)

const now = tick.Time(100 * tick.Second)

func TestWorkerIsEjectedOnceTheNextAttemptWouldFailToo(t *testing.T) {
	for name, c := range map[string]struct {
		failures []Failure
		want     []bool // ejected by each
	}{
		"nobody there":              {[]Failure{NeverRan}, []bool{true}},
		"cut off once":              {[]Failure{MayHaveRun}, []bool{false}},
		"cut off twice":             {[]Failure{MayHaveRun, MayHaveRun}, []bool{false, true}},
		"again during its ejection": {[]Failure{NeverRan, NeverRan}, []bool{true, false}},
	} {
		t.Run(name, func(t *testing.T) {
			var w Worker
			for n, failure := range c.failures {
				assert.Equal(t, c.want[n], w.RecordFailure(now, failure), "failure %d", n)
			}
		})
	}
}

func TestEjectionsOfAWorkerGrowToABound(t *testing.T) {
	var w Worker
	at := now
	for _, seconds := range []tick.Duration{1, 2, 4, 8, 8} {
		assert.True(t, w.RecordFailure(at, NeverRan))
		assert.Equal(t, at.Add(seconds*tick.Second), w.ProbeAfter)
		assert.True(t, w.Ejected(at))
		at = w.ProbeAfter
		assert.False(t, w.Ejected(at), "it is probed")
		assert.True(t, w.Suspect())
	}
	w.RecordSuccess()
	assert.False(t, w.Suspect())
}

func TestNonIdempotentRequestProbesLastWhereAnAttemptMayHaveRun(t *testing.T) {
	var w Worker
	assert.True(t, w.AcceptsNonIdempotent(now))
	w.RecordFailure(now, NeverRan)
	assert.True(t, w.AcceptsNonIdempotent(now), "nothing has run there")
	w.RecordFailure(w.ProbeAfter, MayHaveRun)
	assert.False(t, w.AcceptsNonIdempotent(w.ProbeAfter))
	assert.True(t, w.AcceptsNonIdempotent(w.ProbeAfter.Add(8*tick.Second)), "no other request has probed it")
}

func TestZoneIsEjectedAfterConsecutiveFailuresUnlessItIsTheLast(t *testing.T) {
	for name, hasOther := range map[string]bool{"another zone is left": true, "the last zone": false} {
		t.Run(name, func(t *testing.T) {
			var z Zone
			for range ZoneThreshold - 1 {
				assert.False(t, z.RecordFailure(now, func() bool { return hasOther }))
			}
			assert.Equal(t, hasOther, z.RecordFailure(now, func() bool { return hasOther }))
			assert.Equal(t, hasOther, z.Ejected(now))
			z.RecordSuccess()
			assert.False(t, z.Ejected(now))
			assert.Zero(t, z.Failures)
		})
	}
}
