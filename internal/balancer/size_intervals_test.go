package balancer

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer/sizeinterval"
)

func TestIntervalsHoldEqualWork(t *testing.T) {
	balancer, _ := newWarmBalancer(4, 1)
	for n := range 60 {
		balancer.observeSize(Work(1 + n*7%60))
		if n < sizeinterval.MinSample-1 {
			assert.Empty(t, balancer.sizes.CutPoints(), "one lane until there are enough hints")
		}
	}
	balancer.updateCutPoints()
	small, all := Work(0), Work(0)
	for _, s := range balancer.sizes.Sample() {
		all += s
		if s < balancer.sizes.CutPoints()[0] {
			small += s
		}
	}
	assert.Len(t, balancer.sizes.CutPoints(), sizeinterval.Count-1)
	assert.InDelta(t, 0.5, float64(small)/float64(all), 0.04)
}

func TestSampleIsBounded(t *testing.T) {
	balancer, _ := newWarmBalancer(4, 1)
	for range 3 * sizeinterval.MaxSample {
		balancer.observeSize(10)
	}
	for range sizeinterval.MaxSample {
		balancer.observeSize(500) // a shift to large jobs displaces all that was known
	}
	assert.Len(t, balancer.sizes.Sample(), sizeinterval.MaxSample)
	assert.EqualValues(t, 500, slices.Min(balancer.sizes.Sample()))
}
