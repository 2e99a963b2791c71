package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Regression test for workers that send start notices although these are not configured. After one attempt each worker
// appeared to have an unstarted attempt permanently, and was sent no further attempts.
func TestUnconfiguredStartNoticesExcludeNoWorker(t *testing.T) {
	config := testConfig
	config.Attempts.StartNotices = false
	balancer, effects := newTestBalancer(config, 1, []Endpoint{{Worker: 0, ID: "w0"}})
	for range 3 {
		submitRequest(balancer, 0, Arrival{Timeout: 3 * Second})
		balancer.AttemptStarted(0, 0)
		balancer.AttemptStarted(0, 0)
		balancer.AttemptEnded(0, 0, Succeeded, FinalAnswer)
		balancer.RunDueRules()
		assert.Zero(t, balancer.workers[0].unstarted)
	}
	assert.Equal(t, []string{"attempt 0 to 0", "attempt 0 to 0", "attempt 0 to 0"}, effects.lines[len(effects.lines)-3:])
}

// Regression test for a repeated start notice: it counted another attempt that was still unstarted as started.
func TestRepeatedStartNoticeIsIgnored(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	for id := range RequestID(2) {
		balancer.RequestArrived(id, Arrival{Timeout: 3 * Second})
		balancer.startAttempt(id, 0)
	}
	balancer.AttemptStarted(0, 0)
	balancer.AttemptStarted(0, 0)
	assert.Equal(t, 1, balancer.workers[0].unstarted)
}
