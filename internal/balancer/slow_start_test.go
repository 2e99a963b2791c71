package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A worker of two slots at half of its capacity bears 4 * 0.5 * 2 = 4 s of work in a window of 1 s.
func TestSlowStartLimits(t *testing.T) {
	gossiping := slowStart{overloadFactor: 4, window: Second, dispatchers: 10, gossip: true}
	few := slowStart{overloadFactor: 4, window: Second, dispatchers: 2, smallestUsefulShare: Second / 10}
	const usable = 4 * Second * 65 / 100 // without what the worker does itself, and the reserve
	for name, c := range map[string]struct {
		rule   slowStart
		worker warmingWorker
		size   Work
		want   exclusion
	}{
		"loads shared":                {gossiping, warmingWorker{load: 1, loadShared: true}, Second, eligible},
		"loads shared, slots taken":   {gossiping, warmingWorker{load: 2, loadShared: true}, Second, noFreeSlot},
		"loads shared, but not here":  {gossiping, warmingWorker{}, Second, loadUnknown},
		"loads shared, too large":     {gossiping, warmingWorker{loadShared: true}, usable/2 + 1, beyondWarmupBudget},
		"loads shared, budget spent":  {gossiping, warmingWorker{loadShared: true, recentWork: usable}, 1, beyondWarmupBudget},
		"own share":                   {few, warmingWorker{load: 9}, Second / 2, eligible},
		"own share, spent":            {few, warmingWorker{recentWork: Second / 2}, Second / 5, beyondWarmupBudget},
		"own share, larger than that": {few, warmingWorker{}, Second, beyondWarmupBudget},
	} {
		t.Run(name, func(t *testing.T) {
			c.worker.warmupFactor = 0.5
			c.worker.slots = 2
			assert.False(t, c.rule.dividesByCredit(c.worker))
			assert.Equal(t, c.want, c.rule.admits(c.worker, c.size))
		})
	}
	many := slowStart{overloadFactor: 4, window: Second, dispatchers: 300, smallestUsefulShare: Second / 10}
	assert.True(t, many.dividesByCredit(warmingWorker{warmupFactor: 0.5, slots: 2}), "a share would hold no request")
}
