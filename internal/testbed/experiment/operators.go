package experiment

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"canvasroute/internal/testbed/fault"
)

// What operators do: commands to the admin server, new settings, upgrades.

// reconfigure gives dispatchers a configuration with another number of attempts, and has them reload it.
func (env *environment) reconfigure(targets []int, maxAttempts int) {
	for _, n := range targets {
		config, err := env.dispatcherConfig(n, env.process(n).adminAddr, maxAttempts)
		if err == nil {
			err = env.process(n).writeConfig(config)
		}
		env.recordFailure(err)
		env.process(n).signal(syscall.SIGHUP)
	}
}

// applyOperators does what an operator would do, or a client that misbehaves.
func (env *environment) applyOperators(ctx context.Context, action fault.Action) {
	switch action.Kind {
	case fault.DispatcherLeave:
		env.setDrained(action.Targets, commandDrain)
	case fault.DispatcherJoin:
		env.setDrained(action.Targets, commandAccept)
	case fault.DispatcherReconfigure:
		maxAttempts := int(action.Value)
		if maxAttempts == 0 {
			maxAttempts = env.plan.Dispatchers.MaxAttempts
		}
		env.reconfigure(action.Targets, maxAttempts)
	case fault.DispatcherUpgrade:
		for _, n := range action.Targets {
			env.actions.Go(func() { env.upgrade(ctx, n) })
		}
	case fault.ClientsIdle, fault.ClientsTrickle:
		behaviour := stayIdle
		if action.Kind == fault.ClientsTrickle {
			behaviour = trickle
		}
		connected, stop := context.WithTimeout(ctx, action.Duration)
		context.AfterFunc(connected, stop)
		env.openMisbehavingClients(connected, int(action.Value), behaviour)
	}
}

// setDrained sends commandDrain or commandAccept to dispatchers.
func (env *environment) setDrained(targets []int, command adminCommand) {
	for _, n := range targets {
		env.mu.Lock()
		env.drainedByOperator[n] = command == commandDrain
		env.mu.Unlock()
		env.callOperators(n, command)
	}
}

// drainCheckInterval is how often watchDrained polls a dispatcher's health.
const drainCheckInterval = 20 * time.Millisecond

// watchDrained checks that a dispatcher that restarted after an operator's LEAVE accepts no client until JOIN. It
// records a failure otherwise.
func (env *environment) watchDrained(ctx context.Context, n int) {
	p := env.process(n)
	for ctx.Err() == nil && p.running() && env.drainedBefore(n) {
		// The second drainedBefore excludes an answer that a JOIN has overtaken.
		answer, err := callAdmin(p.adminAddr, commandHealth)
		if err == nil && answer == answerDone && env.drainedBefore(n) {
			env.recordFailure(fmt.Errorf("%s accepts clients again after a LEAVE without a JOIN", dispatcherName(n)))
			return
		}
		time.Sleep(drainCheckInterval)
	}
}

// drainedBefore reports whether the last command to a dispatcher was LEAVE.
func (env *environment) drainedBefore(n int) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.drainedByOperator[n]
}
