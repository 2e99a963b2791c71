package balancer

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against gaps that are never closed, and against a place that is wrong once they have been.
func TestOpenInvocationsKeepTheirOrderThroughGaps(t *testing.T) {
	d, _ := newWarmBalancer(1, 1)
	d.requests.byID = make([]request, 1000)
	for inv := range RequestID(1000) {
		d.requests.addOpen(inv)
		if inv >= 3 {
			d.requests.removeOpen(inv - 2)
		}
	}
	assert.Equal(t, []RequestID{999, 998, 0}, slices.Collect(d.requests.newestFirst()))
	assert.LessOrEqual(t, len(d.requests.order), 2*3+minGaps+2)
	assert.Equal(t, 3, d.requests.openCount)
}
