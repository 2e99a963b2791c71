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
	upgradeTimeout     = 6 * time.Second // for the second process of an upgrade to accept clients
	healthPollInterval = 20 * time.Millisecond
)

// upgrade starts a second process of a dispatcher, and stops the first one once the second accepts clients.
func (env *environment) upgrade(ctx context.Context, n int) {
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
	next.absorb(old)
}

// startSuccessor starts the second process of an upgrade.
func (env *environment) startSuccessor(n int, old *process) (*process, error) {
	next, err := newProcess(fmt.Sprintf("%s-%d", dispatcherName(n), old.incarnations+1), env.folder, env.dispatcherCommand)
	if err != nil {
		return nil, err
	}
	next.directory = old.directory
	next.incarnations = old.incarnations
	next.fleet = old.fleet
	next.disk = old.disk
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

// awaitSuccessor waits until the second process of an upgrade accepts clients, or has taken over a LEAVE. It waits for as
// long as upgradeTimeout though all calls may be over before, and ends early only if the experiment is interrupted.
func (env *environment) awaitSuccessor(ctx context.Context, n int, next *process) error {
	for limit := time.Now().Add(upgradeTimeout); ; {
		answer, err := callAdmin(next.adminAddr, commandHealth)
		takesOverDrain := env.drainedBefore(n) && reportsDrain(answer)
		if err == nil && (answer == answerDone || takesOverDrain) {
			return nil
		}
		if err := ctx.Err(); err != nil && !errors.Is(context.Cause(ctx), errLoadOver) {
			return fmt.Errorf("%s: waiting for its second process: %w", dispatcherName(n), err)
		}
		if time.Now().After(limit) {
			return fmt.Errorf("%s: its second process does not accept clients within %v", dispatcherName(n), upgradeTimeout)
		}
		time.Sleep(healthPollInterval)
	}
}

// reportsDrain reports whether an answer to commandHealth says that the dispatcher is drained. Such a one never answers
// done.
func reportsDrain(health string) bool {
	return strings.Contains(health, lifecycle.Draining.String()) || strings.Contains(health, lifecycle.Drained.String())
}
