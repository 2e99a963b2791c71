package balancer

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Value is earned per request, so the number of probes is limited by the number of arrivals, not by elapsed time.
func TestNumberOfProbesIsLimitedByArrivals(t *testing.T) {
	balancer, effects := newWarmBalancer(3, 1)
	balancer.config.probes = true
	for id := range RequestID(5) {
		balancer.RequestArrived(id, Arrival{Timeout: 10 * Second, SizeHint: 100})
		for range 3 {
			balancer.RunDueRules()
			balancer.now += Second / 100
		}
	}
	probes := slices.DeleteFunc(effects.lines, func(line string) bool { return !strings.HasPrefix(line, "probe") })
	assert.Len(t, probes, 3, "expected three probes for five requests")
}
