package experiment

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"canvasroute/internal/testbed/fault"
)

// Operator actions: commands to the admin server, configuration reloads and upgrades.

// reconfigure writes a configuration with the given limit on attempts for each target, and signals the dispatcher to
// reload it.
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

// applyOperatorAction applies an action of an operator, or starts misbehaving clients.
func (env *environment) applyOperatorAction(ctx context.Context, action fault.Action) {
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
			env.actions.Go(func() { env.upgradeDispatcher(ctx, n) })
		}
	case fault.ClientsIdle, fault.ClientsTrickle:
		behaviour := sendNothing
		if action.Kind == fault.ClientsTrickle {
			behaviour = sendSlowly
		}
		clientsCtx, stop := context.WithTimeout(ctx, action.Duration)
		context.AfterFunc(clientsCtx, stop)
		env.startMisbehavingClients(clientsCtx, int(action.Value), behaviour)
	}
}

// setDrained sends commandDrain or commandAccept to the targets, and records it as their last command.
func (env *environment) setDrained(targets []int, command adminCommand) {
	for _, n := range targets {
		env.mu.Lock()
		env.drainedByOperator[n] = command == commandDrain
		env.mu.Unlock()
		env.sendAdminCommand(n, command)
	}
}

// drainCheckInterval is the interval at which watchDrained polls a dispatcher's health.
const drainCheckInterval = 20 * time.Millisecond

// watchDrained polls a dispatcher that was restarted after an operator's LEAVE, and records a failure if the dispatcher
// accepts clients before a JOIN.
func (env *environment) watchDrained(ctx context.Context, n int) {
	p := env.process(n)
	for ctx.Err() == nil && p.isRunning() && env.isDrainedByOperator(n) {
		// The second check excludes a JOIN that was sent while the health command was in progress.
		answer, err := callAdmin(p.adminAddr, commandHealth)
		if err == nil && answer == answerDone && env.isDrainedByOperator(n) {
			env.recordFailure(fmt.Errorf("%s accepts clients after LEAVE without a JOIN", dispatcherName(n)))
			return
		}
		time.Sleep(drainCheckInterval)
	}
}

// isDrainedByOperator reports whether the last command to a dispatcher was LEAVE.
func (env *environment) isDrainedByOperator(n int) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.drainedByOperator[n]
}
