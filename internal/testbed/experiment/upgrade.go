package experiment

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"canvasroute/internal/lifecycle"
)

const (
	upgradeTimeout     = 6 * time.Second // until the second process of an upgrade must accept clients
	healthPollInterval = 20 * time.Millisecond
)

// upgradeDispatcher starts a second process of a dispatcher, and stops the first one once the second accepts clients.
func (env *environment) upgradeDispatcher(ctx context.Context, n int) {
	old := env.process(n)
	next, err := env.startSuccessor(n, old)
	if err != nil {
		env.recordFailure(err)
		return
	}
	if err := env.awaitSuccessor(ctx, n, next); err != nil {
		env.recordFailure(err)
		next.kill()
		return
	}
	env.mu.Lock()
	env.processes[n] = next
	env.mu.Unlock()
	env.recordFailure(old.stop(stopTimeout))
	old.log.Close()
	next.mergeStatistics(old)
}

// startSuccessor starts the second process of an upgrade.
func (env *environment) startSuccessor(n int, old *process) (*process, error) {
	next, err := newProcess(fmt.Sprintf("%s-%d", dispatcherName(n), old.incarnations+1), env.folder, env.dispatcherCommand)
	if err != nil {
		return nil, err
	}
	next.tempFolder = old.tempFolder
	next.incarnations = old.incarnations
	next.fleetConfigPath = old.fleetConfigPath
	next.stateFolder = old.stateFolder
	adminAddr, err := freePort()
	if err != nil {
		return nil, err
	}
	next.adminAddr = adminAddr.String()
	config, err := env.dispatcherConfig(n, next.adminAddr, env.plan.Dispatchers.MaxAttempts)
	if err != nil {
		return nil, err
	}
	return next, next.start(config)
}

// awaitSuccessor waits until the second process of an upgrade accepts clients, or until it reports a drain that it
// inherits from an operator's LEAVE. It returns an error after upgradeTimeout or if the experiment is interrupted. It
// does not stop waiting when the load ends before the upgrade is complete.
func (env *environment) awaitSuccessor(ctx context.Context, n int, next *process) error {
	for deadline := time.Now().Add(upgradeTimeout); ; {
		answer, err := callAdmin(next.adminAddr, commandHealth)
		inheritedDrain := env.isDrainedByOperator(n) && reportsDrain(answer)
		if err == nil && (answer == answerDone || inheritedDrain) {
			return nil
		}
		if err := ctx.Err(); err != nil && !errors.Is(context.Cause(ctx), errLoadEnded) {
			return fmt.Errorf("%s: waiting for its second process: %w", dispatcherName(n), err)
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: its second process does not accept clients within %v", dispatcherName(n), upgradeTimeout)
		}
		time.Sleep(healthPollInterval)
	}
}

// reportsDrain reports whether an answer to commandHealth is that of a draining or drained dispatcher, which never
// returns answerDone.
func reportsDrain(health string) bool {
	return strings.Contains(health, lifecycle.Draining.String()) || strings.Contains(health, lifecycle.Drained.String())
}
