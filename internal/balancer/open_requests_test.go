package balancer

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Regression test for gaps that are never closed, and for a place that is wrong once they have been.
func TestOpenRequestsKeepTheirOrderThroughGaps(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	balancer.requests.byID = make([]request, 1000)
	for id := range RequestID(1000) {
		balancer.requests.addOpen(id)
		if id >= 3 {
			balancer.requests.removeOpen(id - 2)
		}
	}
	assert.Equal(t, []RequestID{999, 998, 0}, slices.Collect(balancer.requests.newestFirst()))
	assert.LessOrEqual(t, len(balancer.requests.order), 2*3+minGaps+2)
	assert.Equal(t, 3, balancer.requests.openCount)
}
