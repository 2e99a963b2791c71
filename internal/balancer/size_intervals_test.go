package balancer

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCutPointsGiveEqualWork(t *testing.T) {
	d, _ := newWarmBalancer(4, 1)
	for n := range 60 {
		d.observeSize(Work(1 + n*7%60))
		if n < minSample-1 {
			assert.Empty(t, d.sizes.cutPoints, "one lane until there are enough hints")
		}
	}
	d.updateCutPoints()
	small, all := Work(0), Work(0)
	for _, s := range d.sizes.sample {
		all += s
		if s < d.sizes.cutPoints[0] {
			small += s
		}
	}
	assert.Len(t, d.sizes.cutPoints, intervals-1)
	assert.InDelta(t, 0.5, float64(small)/float64(all), 0.04)
}

func TestSampleIsBounded(t *testing.T) {
	d, _ := newWarmBalancer(4, 1)
	for range 3 * maxSample {
		d.observeSize(10)
	}
	for range maxSample {
		d.observeSize(500) // a shift to large jobs displaces all that was known
	}
	assert.Len(t, d.sizes.sample, maxSample)
	assert.EqualValues(t, 500, slices.Min(d.sizes.sample))
}
