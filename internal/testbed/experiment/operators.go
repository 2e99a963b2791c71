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

// What operators do by hand at the dispatchers: calls at their door, new settings, upgrades.

// Bounds on operators' work.
const (
	adminTimeout   = time.Second
	upgradeTimeout = 6 * time.Second // for the second process of an upgrade to take clients
)

// done is what the door says to a call that was carried out, and to HEALTH where clients are taken.
const answerDone = "done\n"

// callAdmin makes one call at an operators' door and returns all of the answer.
func callAdmin(addr, call string) (string, error) {
	c, err := net.DialTimeout("tcp", addr, adminTimeout)
	if err != nil {
		return "", fmt.Errorf("operators' door: %w", err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(adminTimeout))
	if _, err := io.WriteString(c, call+"\n"); err != nil {
		return "", fmt.Errorf("operators' door: %w", err)
	}
	b, err := io.ReadAll(c)
	if err != nil {
		return "", fmt.Errorf("operators' door: %s: %w", call, err)
	}
	return string(b), nil
}

func (w *environment) callOperators(n int, call string) {
	answer, err := callAdmin(w.process(n).operatorsAddr, call)
	if err == nil && answer != answerDone {
		err = fmt.Errorf("%s: %s answered %q", dispatcherName(n), call, answer)
	}
	w.recordFailure(err)
}

// reconfigure gives dispatchers a file with another number of forwards, and tells them so.
func (w *environment) reconfigure(targets []int, maxAttempts int) {
	for _, n := range targets {
		config, err := w.dispatcherConfig(n, w.process(n).operatorsAddr, maxAttempts)
		if err == nil {
			err = w.process(n).writeConfig(config)
		}
		w.recordFailure(err)
		w.process(n).signal(syscall.SIGHUP, false)
	}
}

// upgrade starts a second process of a dispatcher, and asks the first one to end once the second takes
// clients.
func (w *environment) upgrade(ctx context.Context, n int) {
	old := w.process(n)
	next, err := newProcess(fmt.Sprintf("%s-%d", dispatcherName(n), old.incarnations+1), w.folder, w.dispatcherCommand)
	if err != nil {
		w.recordFailure(err)
		return
	}
	next.directory, next.incarnations, next.fleet, next.disk = old.directory, old.incarnations, old.fleet, old.disk
	at, err := freePort()
	if err != nil {
		w.recordFailure(err)
		return
	}
	next.operatorsAddr = at.String()
	config, err := w.dispatcherConfig(n, next.operatorsAddr, w.plan.Dispatchers.MaxAttempts)
	if err == nil {
		err = next.start(config)
	}
	if err != nil {
		w.recordFailure(err)
		return
	}
	for limit := time.Now().Add(upgradeTimeout); ; {
		answer, err := callAdmin(next.operatorsAddr, "HEALTH")
		if err == nil && (answer == answerDone || w.drainedBefore(n) && staysDrained(answer)) {
			break
		}
		if time.Now().After(limit) || ctx.Err() != nil {
			w.recordFailure(fmt.Errorf("%s: its second process does not take clients within %v", dispatcherName(n),
				upgradeTimeout))
			next.kill()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.mu.Lock()
	w.processes[n] = next
	w.mu.Unlock()
	w.recordFailure(old.stop(stopTimeout))
	old.log.Close()
	next.absorb(old)
}

// staysDrained tells whether a second process says that it goes on with a LEAVE of before: it will never say done.
func staysDrained(health string) bool {
	return strings.Contains(health, lifecycle.Draining.String()) || strings.Contains(health, lifecycle.Drained.String())
}

// openIdleClients opens connections of clients that never ask for anything whole, until ctx ends: silent ones, or ones
// that send a byte now and then. One that is ended is opened again.
func (w *environment) openIdleClients(ctx context.Context, connections int, every time.Duration) {
	const text = "POST /api HTTP/1.1\r\nReq-Id: never\r\nReq-Kind: never\r\n"
	for n := range connections {
		addr := w.listenAddrs[n%len(w.listenAddrs)].String()
		w.actions.Go(func() {
			for ctx.Err() == nil {
				w.holdConnection(ctx, addr, text, every)
				select {
				case <-time.After(200 * time.Millisecond):
				case <-ctx.Done():
				}
			}
		})
	}
}

func (w *environment) holdConnection(ctx context.Context, addr, text string, every time.Duration) {
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

// applyOperators carries out what a person would do.
func (w *environment) applyOperators(ctx context.Context, a fault.Action) {
	switch a.Kind {
	case fault.DispatcherLeave, fault.DispatcherJoin:
		call := map[fault.ActionKind]string{fault.DispatcherLeave: "LEAVE", fault.DispatcherJoin: "JOIN"}[a.Kind]
		for _, n := range a.Targets {
			w.mu.Lock()
			w.drainedByOperator[n] = a.Kind == fault.DispatcherLeave
			w.mu.Unlock()
			w.callOperators(n, call)
		}
	case fault.DispatcherReconfigure:
		maxAttempts := int(a.Value)
		if maxAttempts == 0 {
			maxAttempts = w.plan.Dispatchers.MaxAttempts
		}
		w.reconfigure(a.Targets, maxAttempts)
	case fault.DispatcherUpgrade:
		for _, n := range a.Targets {
			w.actions.Go(func() { w.upgrade(ctx, n) })
		}
	case fault.ClientsIdle, fault.ClientsTrickle:
		every := time.Duration(0)
		if a.Kind == fault.ClientsTrickle {
			every = 100 * time.Millisecond
		}
		holding, stop := context.WithTimeout(ctx, a.Duration)
		context.AfterFunc(holding, stop)
		w.openIdleClients(holding, int(a.Value), every)
	}
}

// Bounds within which a dispatcher's own figures may differ from the ledger's.
const (
	counterTolerance    = 0.01
	minCounterTolerance = 3
)

// compareCounters holds the figures of each dispatcher that has had one process against what the ledger saw at
// clients and workers. What clients left may be counted or not.
func (w *environment) compareCounters() {
	for n := range w.listenAddrs {
		p := w.process(n)
		if w.plan.Dispatchers.Policy != Canvasroute || p.incarnations != 1 || !p.running() {
			continue
		}
		dump, err := callAdmin(p.operatorsAddr, "DUMP")
		if err != nil {
			w.recordFailure(fmt.Errorf("%s: %w", dispatcherName(n), err))
			continue
		}
		report, seen := parseCounters(dump), map[string]int{}
		for _, t := range w.history.Requests() {
			if t.Dispatcher == n {
				seen[history.OutcomeNames[t.Outcome]]++
			}
		}
		uncertain := seen["unanswered"] + seen["broken"] + seen["unreachable"] + seen["interrupted"]
		for _, pair := range [][2]string{
			{"succeeded", "succeeded"},
			{"declined", "throttled"},
			{"aborted", "errored"},
		} {
			reported, observed := report[pair[0]], seen[pair[1]]
			if slack := uncertain + max(minCounterTolerance, int(counterTolerance*float64(observed))); reported < observed-slack || reported > observed+slack {
				w.recordFailure(fmt.Errorf("%s: svc.%s says %d, clients saw %d", dispatcherName(n), pair[0], reported, observed))
			}
		}
	}
}

// parseCounters sums a dump by the name of each figure, over operations.
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
