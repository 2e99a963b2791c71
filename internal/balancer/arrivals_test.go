package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestQuotaWeightFollowsUsage(t *testing.T) {
	counts := func(c TenantID, landings int, every Time) (last float64) {
		balancer, _ := newWarmBalancer(2, 1)
		for range landings {
			balancer.now += every
			last = balancer.quotaWeight(c)
		}
		return last
	}
	assert.EqualValues(t, 1, counts(0, 1000, 1), "no share")
	assert.EqualValues(t, 1, counts(1, 200, Second/10), "ten a second are its share here")
	assert.InDelta(t, 0.1+0.9*1.5/4, counts(1, 400, Second/40), 0.02)
	assert.EqualValues(t, 1, counts(2, 4, Second), "too few to tell from chance, though beyond a share of 0.1")
}
