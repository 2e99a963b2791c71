package experiment

import (
	"context"
	"sync"

	"canvasroute/internal/testbed/fault"
)

// losePower kills dispatchers, all at once. Each starts again with the endpoint list of this time, as it learns of no
// change while it has no power.
func (env *environment) losePower(targets []int) {
	var kills sync.WaitGroup
	for _, n := range targets {
		endpoints := env.discovery.CompleteList(n)
		env.mu.Lock()
		if env.endpointsAtPowerLoss[n] == nil {
			env.endpointsAtPowerLoss[n] = endpoints
		}
		env.mu.Unlock()
		env.dispatcherDown(n)
		kills.Go(env.process(n).kill)
	}
	kills.Wait()
}

// returnPower starts dispatchers again. Their disks are in the state of the action's mode, and their clocks have moved
// by its duration.
func (env *environment) returnPower(ctx context.Context, action fault.Action) {
	for _, n := range action.Targets {
		if env.process(n).running() {
			continue
		}
		if env.links != nil {
			env.recordFailure(env.damageDisk(n, action))
			if action.Duration != 0 {
				env.recordFailure(shiftClock(env.process(n).disk, dispatcherName(n), action.Duration))
			}
		}
		env.recordFailure(env.launchDispatcher(n))
		if env.links != nil && action.Mode == fault.DiskIntact && env.drainedBefore(n) {
			env.actions.Go(func() { env.watchDrained(ctx, n) })
		}
		env.mu.Lock()
		delete(env.endpointsAtPowerLoss, n)
		env.mu.Unlock()
		env.dispatcherUp(n)
	}
}
