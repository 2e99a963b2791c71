package recovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestProbingAdmitsFewRequestsUntilOneSucceeds(t *testing.T) {
	s := newTestMachine(1, PreviousIncarnation{})
	const size = 100 * ms
	assert.False(t, s.Admit(0, size).Admitted, "request admitted before Probing")
	s.EndpointsReceived(0)
	s.Tick(time.Second)
	assert.Equal(t, Probing, s.Phase())
	s.SetCapacity(time.Second, Capacity{Workers: 1, Warm: 6, Current: 0.7})
	assert.True(t, s.Admit(time.Second, size).Admitted)
	delays := map[time.Duration]bool{}
	for range 20 {
		rejected := s.Admit(time.Second, size)
		assert.False(t, rejected.Admitted)
		retryAfter := rejected.RetryAfter
		assert.True(t, retryAfter >= 500*ms && retryAfter <= 2*time.Second, "%v", retryAfter)
		delays[retryAfter] = true
	}
	assert.Len(t, delays, 20, "retry delays must differ, so that clients do not retry simultaneously")
	s.RequestFailed(1100 * ms)
	assert.Equal(t, Probing, s.Phase())
	assert.True(t, s.Admit(1200*ms, size).Admitted, "the failed request must free its slot")
	s.RequestSucceeded(1300 * ms)
	assert.Equal(t, SlowStart, s.Phase())
	s.SetCapacity(1400*ms, Capacity{Workers: 2, Warm: 6, Current: 3})
	assert.Equal(t, SlowStart, s.Phase())
	s.SetCapacity(6*time.Second, Capacity{Workers: 2, Warm: 6, Current: 5.5})
	assert.Equal(t, Serving, s.Phase())
}
