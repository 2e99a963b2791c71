package quota

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer/tick"
)

// weightAfter returns the weight of the last of several requests of a new tenant, which arrive at the given rate in
// requests per second.
func weightAfter(requests int, rate, quota float64) (weight float64) {
	var tenants Tenants
	number := tenants.SetQuota("a", quota)
	now := tick.Time(0)
	for range requests {
		now = now.Add(tick.Duration(tick.Second / rate))
		weight = tenants.RecordRequest(number, now, 0.1)
	}
	return weight
}

func TestWeightDropsBeyondQuota(t *testing.T) {
	for name, c := range map[string]struct{ rate, quota, minWeight, maxWeight float64 }{
		"no quota":                  {1000, Unlimited, 1, 1},
		"within the quota":          {10, 10, 1, 1},
		"within the tolerance":      {12, 10, 1, 1},
		"twice the quota":           {20, 10, 0.7, 0.9},
		"a hundred times the quota": {1000, 10, 0.1, 0.15},
	} {
		t.Run(name, func(t *testing.T) {
			weight := weightAfter(2000, c.rate, c.quota)
			assert.GreaterOrEqual(t, weight, c.minWeight)
			assert.LessOrEqual(t, weight, c.maxWeight)
		})
	}
}

func TestTenantKeepsItsNumberAndUsage(t *testing.T) {
	var tenants, restored Tenants
	assert.Equal(t, 0, tenants.SetQuota("a", 1))
	assert.Equal(t, 1, tenants.SetQuota("b", 1))
	tenants.RecordRequest(0, 0, 0.1)
	assert.Equal(t, 0, tenants.SetQuota("a", 2), "the same tenant with another quota")
	restored.Add("a", 2)
	restored.Restore(tenants.Usage())
	assert.Equal(t, tenants.Usage()[:1], restored.Usage())
}
