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
	callWithin = time.Second
	yesWithin  = 6 * time.Second // for the second process of an upgrade to take clients
)

// done is what the door says to a call that was carried out, and to HEALTH where clients are taken.
const done = "done\n"

// called makes one call at an operators' door and returns all of the answer.
func called(addr, call string) (string, error) {
	c, err := net.DialTimeout("tcp", addr, callWithin)
	if err != nil {
		return "", fmt.Errorf("operators' door: %w", err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(callWithin))
	if _, err := io.WriteString(c, call+"\n"); err != nil {
		return "", fmt.Errorf("operators' door: %w", err)
	}
	b, err := io.ReadAll(c)
	if err != nil {
		return "", fmt.Errorf("operators' door: %s: %w", call, err)
	}
	return string(b), nil
}

func (w *world) call(n int, call string) {
	answer, err := called(w.process(n).mgmt, call)
	if err == nil && answer != done {
		err = fmt.Errorf("%s: %s answered %q", dispatcherName(n), call, answer)
	}
	w.failed(err)
}

// retune gives dispatchers a file with another number of forwards, and tells them so.
func (w *world) retune(targets []int, forwards int) {
	for _, n := range targets {
		config, err := w.config(n, w.process(n).mgmt, forwards)
		if err == nil {
			err = w.process(n).write(config)
		}
		w.failed(err)
		w.process(n).signal(syscall.SIGHUP, false)
	}
}

// upgrade starts a second process of a dispatcher, and asks the first one to end once the second takes
// clients.
func (w *world) upgrade(ctx context.Context, n int) {
	old := w.process(n)
	next, err := newProcess(fmt.Sprintf("%s-%d", dispatcherName(n), old.lives+1), w.folder, w.command)
	if err != nil {
		w.failed(err)
		return
	}
	next.directory, next.lives, next.fleet, next.disk = old.directory, old.lives, old.fleet, old.disk
	at, err := freePort()
	if err != nil {
		w.failed(err)
		return
	}
	next.mgmt = at.String()
	config, err := w.config(n, next.mgmt, w.plan.Dispatchers.Forwards)
	if err == nil {
		err = next.start(config)
	}
	if err != nil {
		w.failed(err)
		return
	}
	for limit := time.Now().Add(yesWithin); ; {
		answer, err := called(next.mgmt, "HEALTH")
		if err == nil && (answer == done || w.left(n) && stays(answer)) {
			break
		}
		if time.Now().After(limit) || ctx.Err() != nil {
			w.failed(fmt.Errorf("%s: its second process does not take clients within %v", dispatcherName(n),
				yesWithin))
			next.kill()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.mu.Lock()
	w.processes[n] = next
	w.mu.Unlock()
	w.failed(old.end(endWithin))
	old.log.Close()
	next.follows(old)
}

// stays tells whether a second process says that it goes on with a LEAVE of before: it will never say done.
func stays(health string) bool {
	return strings.Contains(health, lifecycle.Draining.String()) || strings.Contains(health, lifecycle.Drained.String())
}

// crowd opens connections of clients that never ask for anything whole, until ctx ends: silent ones, or ones
// that send a byte now and then. One that is ended is opened again.
func (w *world) crowd(ctx context.Context, connections int, every time.Duration) {
	const text = "POST /api HTTP/1.1\r\nReq-Id: never\r\nReq-Kind: never\r\n"
	for n := range connections {
		addr := w.listen[n%len(w.listen)].String()
		w.during.Go(func() {
			for ctx.Err() == nil {
				w.sit(ctx, addr, text, every)
				select {
				case <-time.After(200 * time.Millisecond):
				case <-ctx.Done():
				}
			}
		})
	}
}

func (w *world) sit(ctx context.Context, addr, text string, every time.Duration) {
	c, err := net.DialTimeout("tcp", addr, callWithin)
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

// operators carries out what a person would do.
func (w *world) operators(ctx context.Context, a fault.Action) {
	switch a.Do {
	case fault.DispatcherLeave, fault.DispatcherJoin:
		call := map[fault.Do]string{fault.DispatcherLeave: "LEAVE", fault.DispatcherJoin: "JOIN"}[a.Do]
		for _, n := range a.Targets {
			w.mu.Lock()
			w.leaving[n] = a.Do == fault.DispatcherLeave
			w.mu.Unlock()
			w.call(n, call)
		}
	case fault.DispatcherRetune:
		forwards := int(a.Figure)
		if forwards == 0 {
			forwards = w.plan.Dispatchers.Forwards
		}
		w.retune(a.Targets, forwards)
	case fault.DispatcherUpgrade:
		for _, n := range a.Targets {
			w.during.Go(func() { w.upgrade(ctx, n) })
		}
	case fault.ClientsSilent, fault.ClientsPieces:
		every := time.Duration(0)
		if a.Do == fault.ClientsPieces {
			every = 100 * time.Millisecond
		}
		sitting, stop := context.WithTimeout(ctx, a.Span)
		context.AfterFunc(sitting, stop)
		w.crowd(sitting, int(a.Figure), every)
	}
}

// Bounds within which a dispatcher's own figures may differ from the ledger's.
const (
	figureShare = 0.01
	figureLeast = 3
)

// reconcile holds the figures of each dispatcher that has had one process against what the ledger saw at
// clients and workers. What clients left may be counted or not.
func (w *world) reconcile() {
	for n := range w.listen {
		p := w.process(n)
		if w.plan.Dispatchers.Policy != Canvasroute || p.lives != 1 || !p.up() {
			continue
		}
		dump, err := called(p.mgmt, "DUMP")
		if err != nil {
			w.failed(fmt.Errorf("%s: %w", dispatcherName(n), err))
			continue
		}
		told, seen := figures(dump), map[string]int{}
		for _, t := range w.ledger.Tries() {
			if t.Dispatcher == n {
				seen[history.Kinds[t.Kind]]++
			}
		}
		unsure := seen["unanswered"] + seen["broken"] + seen["unreachable"] + seen["interrupted"]
		for _, pair := range [][2]string{
			{"succeeded", "succeeded"},
			{"declined", "throttled"},
			{"aborted", "errored"},
		} {
			was, is := told[pair[0]], seen[pair[1]]
			if slack := unsure + max(figureLeast, int(figureShare*float64(is))); was < is-slack || was > is+slack {
				w.failed(fmt.Errorf("%s: svc.%s says %d, clients saw %d", dispatcherName(n), pair[0], was, is))
			}
		}
	}
}

// figures sums a dump by the name of each figure, over operations.
func figures(dump string) map[string]int {
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
