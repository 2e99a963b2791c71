package experiment

import (
	"context"
	"sync"

	"canvasroute/internal/testbed/fault"
)

// cutPower kills the target dispatchers at the same time. It saves the endpoint list of each for the restart, because a
// dispatcher receives no updates while it has no power.
func (env *environment) cutPower(targets []int) {
	var kills sync.WaitGroup
	for _, n := range targets {
		endpoints := env.discovery.CompleteList(n)
		env.mu.Lock()
		if env.endpointsAtPowerLoss[n] == nil {
			env.endpointsAtPowerLoss[n] = endpoints
		}
		env.mu.Unlock()
		env.recordOutageStart(n)
		kills.Go(env.process(n).kill)
	}
	kills.Wait()
}

// restorePower starts the target dispatchers again, with their state folders in the disk state that the action's mode
// selects and their clocks shifted by the action's duration.
func (env *environment) restorePower(ctx context.Context, action fault.Action) {
	for _, n := range action.Targets {
		if env.process(n).isRunning() {
			continue
		}
		if env.links != nil {
			env.recordFailure(env.damageDisk(n, action))
			if action.Duration != 0 {
				env.recordFailure(shiftClock(env.process(n).stateFolder, dispatcherName(n), action.Duration))
			}
		}
		env.recordFailure(env.launchDispatcher(n))
		if env.links != nil && action.Mode == fault.DiskIntact && env.isDrainedByOperator(n) {
			env.actions.Go(func() { env.watchDrained(ctx, n) })
		}
		env.mu.Lock()
		delete(env.endpointsAtPowerLoss, n)
		env.mu.Unlock()
		env.recordOutageEnd(n)
	}
}
