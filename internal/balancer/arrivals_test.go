package balancer

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer/sizeinterval"
)

func TestQuotaWeightFollowsUsage(t *testing.T) {
	weightOfLast := func(tenant TenantID, arrivals int, gap Duration) (weight float64) {
		balancer, _ := newWarmBalancer(2, 1)
		for range arrivals {
			balancer.now = balancer.now.Add(gap)
			weight = balancer.recordQuotaUsage(tenant)
		}
		return weight
	}
	assert.EqualValues(t, 1, weightOfLast(unlimitedTenant, 1000, 1), "no quota")
	assert.EqualValues(t, 1, weightOfLast(twentyRPSTenant, 200, Second/10), "ten RPS are the quota at one dispatcher")
	assert.InDelta(t, 0.1+0.9*1.5/4, weightOfLast(twentyRPSTenant, 400, Second/40), 0.02, "four times the quota")
	assert.EqualValues(t, 1, weightOfLast(fifthOfRPSTenant, 4, Second), "beyond the quota, but too few requests to rule out random variation")
}

func TestIntervalsHoldEqualWork(t *testing.T) {
	const arrivals = 60
	balancer, _ := newWarmBalancer(4, 1)
	for n := range arrivals {
		balancer.observeSize(Work(1 + n*7%arrivals))
		if n < sizeinterval.MinSample-1 {
			assert.Empty(t, balancer.sizes.CutPoints(), "sizes are not divided until there are enough hints")
		}
	}
	balancer.updateCutPoints()
	smallWork := Work(0)
	allWork := Work(0)
	for _, size := range balancer.sizes.Sample() {
		allWork += size
		if size < balancer.sizes.CutPoints()[0] {
			smallWork += size
		}
	}
	assert.Len(t, balancer.sizes.CutPoints(), sizeinterval.Count-1)
	assert.InDelta(t, 0.5, float64(smallWork)/float64(allWork), 0.04)
}

func TestSizeSampleIsBounded(t *testing.T) {
	const small, large = 10, 500
	balancer, _ := newWarmBalancer(4, 1)
	for range 3 * sizeinterval.MaxSample {
		balancer.observeSize(small)
	}
	for range sizeinterval.MaxSample { // enough to displace all earlier sizes
		balancer.observeSize(large)
	}
	assert.Len(t, balancer.sizes.Sample(), sizeinterval.MaxSample)
	assert.EqualValues(t, large, slices.Min(balancer.sizes.Sample()))
}
