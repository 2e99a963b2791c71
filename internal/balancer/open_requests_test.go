package balancer

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Regression test for gaps that were never removed, and for wrong order indexes after their removal.
func TestOpenRequestsKeepTheirOrderAsGapsAreRemoved(t *testing.T) {
	const arrivals = 1000
	balancer, _ := newWarmBalancer(1, 1)
	balancer.requests.byID = make([]request, arrivals)
	for id := range RequestID(arrivals) {
		balancer.requests.addOpen(id)
		if id >= 3 {
			balancer.requests.removeOpen(id - 2)
		}
	}
	assert.Equal(t, []RequestID{999, 998, 0}, slices.Collect(balancer.requests.newestFirst()))
	assert.LessOrEqual(t, len(balancer.requests.order), 2*3+minGaps+2)
	assert.Equal(t, 3, balancer.requests.openCount)
}
