package recovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestProbingAdmitsFewRequestsUntilOneSucceeds(t *testing.T) {
	s := newTestMachine(1, PreviousIncarnation{})
	admitted, _ := s.Admit(0, 100*ms)
	assert.False(t, admitted, "before it may serve")
	s.EndpointsReceived(0)
	s.Tick(time.Second)
	assert.Equal(t, Probing, s.Phase())
	s.SetCapacity(time.Second, Capacity{Workers: 1, Warm: 6, Now: 0.7})
	admitted, _ = s.Admit(time.Second, 100*ms)
	assert.True(t, admitted)
	delays := map[time.Duration]bool{}
	for range 20 {
		admitted, retryAfter := s.Admit(time.Second, 100*ms)
		assert.False(t, admitted)
		assert.True(t, retryAfter >= 500*ms && retryAfter <= 2*time.Second, "%v", retryAfter)
		delays[retryAfter] = true
	}
	assert.Len(t, delays, 20, "spread, so that clients do not return in step")
	s.RequestEnded(1100*ms, false)
	assert.Equal(t, Probing, s.Phase())
	admitted, _ = s.Admit(1200*ms, 100*ms)
	assert.True(t, admitted, "its place is free")
	s.RequestEnded(1300*ms, true)
	assert.Equal(t, SlowStart, s.Phase())
	s.SetCapacity(1400*ms, Capacity{Workers: 2, Warm: 6, Now: 3})
	assert.Equal(t, SlowStart, s.Phase())
	s.SetCapacity(6*time.Second, Capacity{Workers: 2, Warm: 6, Now: 5.5})
	assert.Equal(t, Serving, s.Phase())
}
