package experiment

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"canvasroute/internal/lifecycle"
	"canvasroute/internal/testbed/fault"
	"canvasroute/internal/testbed/history"
)

// What operators do: commands to the admin server, new settings, upgrades.

// Timing of operators' actions.
const (
	adminTimeout       = time.Second
	upgradeTimeout     = 6 * time.Second // for the second process of an upgrade to accept clients
	healthPollInterval = 20 * time.Millisecond
	trickleInterval    = 100 * time.Millisecond // between two bytes of a slow client
	reconnectDelay     = 200 * time.Millisecond // of idle and slow clients
)

// answerDone is the admin server's answer to a successful command, and to HEALTH while clients are accepted.
const answerDone = "done\n"

// callAdmin sends one command to an admin server and returns the whole answer.
func callAdmin(addr, call string) (string, error) {
	c, err := net.DialTimeout("tcp", addr, adminTimeout)
	if err != nil {
		return "", fmt.Errorf("admin server: %w", err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(adminTimeout))
	if _, err := io.WriteString(c, call+"\n"); err != nil {
		return "", fmt.Errorf("admin server: %w", err)
	}
	b, err := io.ReadAll(c)
	if err != nil {
		return "", fmt.Errorf("admin server: %s: %w", call, err)
	}
	return string(b), nil
}

func (env *environment) callOperators(n int, call string) {
	answer, err := callAdmin(env.process(n).operatorsAddr, call)
	if err == nil && answer != answerDone {
		err = fmt.Errorf("%s: %s answered %q", dispatcherName(n), call, answer)
	}
	env.recordFailure(err)
}

// reconfigure gives dispatchers a configuration with another number of attempts, and has them reload it.
func (env *environment) reconfigure(targets []int, maxAttempts int) {
	for _, n := range targets {
		config, err := env.dispatcherConfig(n, env.process(n).operatorsAddr, maxAttempts)
		if err == nil {
			err = env.process(n).writeConfig(config)
		}
		env.recordFailure(err)
		env.process(n).signal(syscall.SIGHUP, false)
	}
}

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
	operatorsAddr, err := freePort()
	if err != nil {
		return nil, err
	}
	next.operatorsAddr = operatorsAddr.String()
	config, err := env.dispatcherConfig(n, next.operatorsAddr, env.plan.Dispatchers.MaxAttempts)
	if err != nil {
		return nil, err
	}
	return next, next.start(config)
}

// awaitSuccessor waits until the second process of an upgrade accepts clients, or has taken over a LEAVE.
func (env *environment) awaitSuccessor(ctx context.Context, n int, next *process) error {
	for limit := time.Now().Add(upgradeTimeout); ; {
		answer, err := callAdmin(next.operatorsAddr, "HEALTH")
		if err == nil && (answer == answerDone || env.drainedBefore(n) && staysDrained(answer)) {
			return nil
		}
		if time.Now().After(limit) || ctx.Err() != nil {
			return fmt.Errorf("%s: its second process does not accept clients within %v", dispatcherName(n), upgradeTimeout)
		}
		time.Sleep(healthPollInterval)
	}
}

// staysDrained reports whether a second process goes on with an earlier LEAVE, in which case it never answers done.
func staysDrained(health string) bool {
	return strings.Contains(health, lifecycle.Draining.String()) || strings.Contains(health, lifecycle.Drained.String())
}

// openIdleClients holds connections on which no request is ever complete, until ctx ends: idle ones, or for an interval
// above 0 ones that send a byte at a time. A connection that ends is opened again.
func (env *environment) openIdleClients(ctx context.Context, connections int, every time.Duration) {
	const text = "POST /api HTTP/1.1\r\nReq-Id: never\r\nReq-Kind: never\r\n"
	for n := range connections {
		addr := env.listenAddrs[n%len(env.listenAddrs)].String()
		env.actions.Go(func() {
			for ctx.Err() == nil {
				env.holdConnection(ctx, addr, text, every)
				select {
				case <-time.After(reconnectDelay):
				case <-ctx.Done():
				}
			}
		})
	}
}

func (env *environment) holdConnection(ctx context.Context, addr, text string, every time.Duration) {
	c, err := net.DialTimeout("tcp", addr, adminTimeout)
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { c.Close() })()
	defer c.Close()
	if every > 0 {
		go func() { // ends with the connection
			for _, b := range []byte(text) {
				if _, err := c.Write([]byte{b}); err != nil {
					return
				}
				time.Sleep(every)
			}
		}()
	}
	_, _ = io.Copy(io.Discard, c) // until either side ends it
}

// applyOperators does what an operator, or a client that misbehaves, would do.
func (env *environment) applyOperators(ctx context.Context, action fault.Action) {
	switch action.Kind {
	case fault.DispatcherLeave:
		env.setDrained(action.Targets, true)
	case fault.DispatcherJoin:
		env.setDrained(action.Targets, false)
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
		every := time.Duration(0)
		if action.Kind == fault.ClientsTrickle {
			every = trickleInterval
		}
		holding, stop := context.WithTimeout(ctx, action.Duration)
		context.AfterFunc(holding, stop)
		env.openIdleClients(holding, int(action.Value), every)
	}
}

// setDrained sends LEAVE or JOIN to dispatchers.
func (env *environment) setDrained(targets []int, drained bool) {
	command := "JOIN"
	if drained {
		command = "LEAVE"
	}
	for _, n := range targets {
		env.mu.Lock()
		env.drainedByOperator[n] = drained
		env.mu.Unlock()
		env.callOperators(n, command)
	}
}

// Tolerances between a dispatcher's own counters and the recorded history, relative and absolute.
const (
	counterTolerance    = 0.01
	minCounterTolerance = 3
)

// compareCounters compares the counters of each dispatcher that has had only one process with the outcomes of its
// requests. Requests whose client left without an answer may be counted or not.
func (env *environment) compareCounters() {
	for n := range env.listenAddrs {
		p := env.process(n)
		if env.plan.Dispatchers.Policy != Canvasroute || p.incarnations != 1 || !p.running() {
			continue
		}
		dump, err := callAdmin(p.operatorsAddr, "DUMP")
		if err != nil {
			env.recordFailure(fmt.Errorf("%s: %w", dispatcherName(n), err))
			continue
		}
		env.compareCountersOf(n, parseCounters(dump))
	}
}

func (env *environment) compareCountersOf(n int, reported map[string]int) {
	observed := map[string]int{}
	for _, request := range env.history.Requests() {
		if request.Dispatcher == n {
			observed[history.OutcomeNames[request.Outcome]]++
		}
	}
	uncertain := observed["unanswered"] + observed["broken"] + observed["unreachable"] + observed["interrupted"]
	for _, pair := range []struct{ counter, outcome string }{
		{"succeeded", "succeeded"},
		{"declined", "throttled"},
		{"aborted", "errored"},
	} {
		counter, outcomes := reported[pair.counter], observed[pair.outcome]
		tolerance := uncertain + max(minCounterTolerance, int(counterTolerance*float64(outcomes)))
		if counter < outcomes-tolerance || counter > outcomes+tolerance {
			env.recordFailure(fmt.Errorf("%s: svc.%s says %d, clients saw %d", dispatcherName(n), pair.counter, counter,
				outcomes))
		}
	}
}

// parseCounters sums the counters of a dump over operations, by name.
func parseCounters(dump string) map[string]int {
	sum := map[string]int{}
	for line := range strings.Lines(dump) {
		key, value, found := strings.Cut(strings.TrimSpace(strings.TrimPrefix(line, "svc.")), "=")
		v, err := strconv.Atoi(value)
		if !found || err != nil {
			continue
		}
		name, _, _ := strings.Cut(key, ".")
		sum[name] += v
	}
	return sum
}

// drainCheckInterval is how often watchDrained polls a dispatcher's health.
const drainCheckInterval = 20 * time.Millisecond

// watchDrained checks that a dispatcher that restarted after an operator's LEAVE accepts no client until JOIN.
func (env *environment) watchDrained(ctx context.Context, n int) {
	p := env.process(n)
	for ctx.Err() == nil && p.running() && env.drainedBefore(n) {
		// The second drainedBefore excludes an answer that a JOIN has overtaken.
		answer, err := callAdmin(p.operatorsAddr, "HEALTH")
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
