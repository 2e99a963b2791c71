package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// drainGrace is the grace of the settings, the 50 ms that each time limit is longer on sockets, and 100 ms for the
// delays of this machine.
const drainGrace = 500*time.Millisecond + 50*time.Millisecond + 100*time.Millisecond

// The classes of the cases on drains.
var (
	lookup  = []operation{{name: "status", repeat: "idempotent", aimS: 0.5, timeS: 2}}
	confirm = []operation{{name: "confirm", repeat: "at_most_once", aimS: 0.5, timeS: 2}}
)

// startFleet starts dispatchers that share one discovery.
func startFleet(env *environment, d *discovery, count int, mode string, operations []operation) ([]*dispatcher, error) {
	var fleet []*dispatcher
	for n := range count {
		p, err := env.startDispatcher(dispatcherConfig{
			name: fmt.Sprintf("n%d", n), discovery: d.address, settings: newSettings(n, count, mode, operations),
		})
		if err != nil {
			return nil, err
		}
		fleet = append(fleet, p)
	}
	for _, p := range fleet {
		if err := p.awaitHealthy(20 * time.Second); err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

// load sends requests to each dispatcher at an interval until stop is called. cost is the guess that they carry.
func load(env *environment, fleet []*dispatcher, interval time.Duration, kind string, cost time.Duration) (stop func()) {
	var clients sync.WaitGroup
	done := make(chan struct{})
	for _, p := range fleet {
		clients.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-ticker.C:
				case <-done:
					return
				}
				clients.Go(func() {
					send(env, p.listen, request{id: newID(), kind: kind, deadline: 2 * time.Second, cost: cost}, 3*time.Second)
				})
			}
		})
	}
	return func() {
		close(done)
		clients.Wait()
	}
}

// lateSends returns the jobs that a worker got after the grace that follows the time when its drain counts as told.
func lateSends(env *environment, w *worker, toldAt time.Time) (breaks []string) {
	late := 0
	var last time.Duration
	for _, j := range w.received() {
		if after := j.begun.Sub(toldAt); after > drainGrace {
			late++
			last = after
			env.noteAt(j.begun, "%s: %s came %.3f s after the drain counted as told", w.name, j.id, after.Seconds())
		}
	}
	if late > 0 {
		breaks = append(breaks, fmt.Sprintf("%d requests were sent to %s later than the grace, the last %.3f s after the "+
			"drain counted as told", late, w.name, last.Seconds()))
	}
	return breaks
}

// rejectedCase: discovery has too many callers for 20 s, and rejects each call after a wait. After that it serves, and
// a worker begins to drain.
func rejectedCase(env *environment) ([]string, error) {
	const crowdFor, callWait = 20 * time.Second, 1200 * time.Millisecond
	d, err := startDiscovery(env)
	if err != nil {
		return nil, err
	}
	workers, err := startWorkers(env, d, 5, runFor(20*time.Millisecond))
	if err != nil {
		return nil, err
	}
	fleet, err := startFleet(env, d, 10, "subscribe", lookup)
	if err != nil {
		return nil, err
	}
	stop := load(env, fleet, 100*time.Millisecond, lookup[0].name, 0)
	time.Sleep(time.Second)
	if env.trouble {
		d.become(crowded, callWait)
	}
	time.Sleep(crowdFor)
	if env.trouble {
		d.become(serving, 0)
	}
	time.Sleep(callWait) // calls that still wait end as before
	drainedAt := time.Now()
	d.set(workers[1].listed("Terminating"))
	time.Sleep(16 * time.Second)
	stop()
	return lateSends(env, workers[1], drainedAt.Add(6*time.Second)), nil
}

// pushCase: lists are pushed to two dispatchers. Twice discovery is down for 8 s, and a worker begins to drain in that
// time. It has finished what it had, and what it was sent within the grace, when it ends.
func pushCase(env *environment) ([]string, error) {
	d, err := startDiscovery(env)
	if err != nil {
		return nil, err
	}
	leaving := leavingWorkers{endsAt: map[string]time.Time{}, killed: map[string]int{}}
	workers, err := startWorkers(env, d, 6, leaving.run)
	if err != nil {
		return nil, err
	}
	fleet, err := startFleet(env, d, 2, "automatic", confirm)
	if err != nil {
		return nil, err
	}
	stop := load(env, fleet, 40*time.Millisecond, confirm[0].name, 0)
	toldAt := map[*worker]time.Time{}
	for _, w := range workers[1:3] {
		time.Sleep(2 * time.Second)
		toldAt[w] = outage(env, d, w)
		leaving.end(env, w.name, toldAt[w].Add(1200*time.Millisecond))
		time.Sleep(6 * time.Second)
	}
	stop()
	var breaks []string
	for w, told := range toldAt {
		breaks = append(breaks, lateSends(env, w, told)...)
		if n := leaving.killed[w.name]; n > 0 {
			breaks = append(breaks, fmt.Sprintf("%d jobs ended with %s, unfinished", n, w.name))
		}
	}
	return breaks, nil
}

// leavingWorkers are workers of which some end at a given time. Their jobs take 0.3 s.
type leavingWorkers struct {
	mu     sync.Mutex
	endsAt map[string]time.Time
	killed map[string]int // jobs that ran when the worker ended
}

// end lets a worker end.
func (l *leavingWorkers) end(env *environment, name string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endsAt[name] = at
	env.noteAt(at, "%s ends", name)
}

func (l *leavingWorkers) run(w *worker, j job, say func(string, ...any)) {
	end := func() (at time.Time, ends bool) {
		l.mu.Lock()
		defer l.mu.Unlock()
		at, ends = l.endsAt[w.name]
		return at, ends
	}
	if at, ends := end(); ends && time.Now().After(at) {
		panic(http.ErrAbortHandler) // there is no process any more
	}
	w.sayStarted(j, say)
	time.Sleep(300 * time.Millisecond)
	if at, ends := end(); ends && time.Now().After(at) {
		l.mu.Lock()
		l.killed[w.name]++
		l.mu.Unlock()
		w.env.note("%s: %s ended with the worker", w.name, j.id)
		panic(http.ErrAbortHandler)
	}
	w.sayDone(j, say)
}

// outage takes discovery down, lets a worker begin to drain in the middle, and returns when discovery is back. The
// result is the time when the drain counts as told.
func outage(env *environment, d *discovery, w *worker) (toldAt time.Time) {
	const downFor = 8 * time.Second
	if env.trouble {
		d.become(down, 0)
	}
	time.Sleep(downFor / 2)
	d.set(w.listed("Terminating"))
	toldAt = time.Now()
	time.Sleep(downFor / 2)
	if env.trouble {
		d.become(serving, 0)
		toldAt = time.Now()
	}
	return toldAt
}
