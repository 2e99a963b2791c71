package balancer

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Value is paid for each request, so probes are bounded by arrivals, however long they take.
func TestProbesFollowArrivals(t *testing.T) {
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
	assert.Len(t, probes, 3, "three probes for five requests")
}
