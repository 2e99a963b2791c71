package main

import (
	"fmt"
	"sync"
	"time"
)

// keyGroup is what the workers of one group know of the keys that they have run. They drop a repeat within the window.
type keyGroup struct {
	window time.Duration

	mu      sync.Mutex
	ranAt   map[string]time.Time
	effects map[string][]string // the runs of each key that had an effect
}

// apply runs a key, unless it is a repeat within the window. It reports whether it had an effect.
func (g *keyGroup) apply(key, run string, receivedAt time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if first, known := g.ranAt[key]; known && receivedAt.Sub(first) < g.window {
		return false
	}
	g.ranAt[key] = receivedAt
	g.effects[key] = append(g.effects[key], run)
	return true
}

// windowCase: one of four workers runs its jobs, and its answers get lost. The class is deduplicated by all workers for
// a time that ends before the client's.
func windowCase(env *environment) ([]string, error) {
	const window, timeout, count = 2 * time.Second, 3 * time.Second, 16
	group := &keyGroup{window: window, ranAt: map[string]time.Time{}, effects: map[string][]string{}}
	var mute sync.Map // names of the workers whose answers get lost
	run := func(w *worker, j job, say func(string, ...any)) {
		w.sayStarted(j, say)
		time.Sleep(100 * time.Millisecond)
		had := group.apply(j.key, w.name+" for "+j.id, j.complete)
		env.note("%s: ran %s, key %s, effect %v", w.name, j.id, j.key, had)
		if _, lost := mute.Load(w.name); lost {
			time.Sleep(5 * time.Second)
			return
		}
		w.sayDone(j, say)
	}
	d, err := startDiscovery(env)
	if err != nil {
		return nil, err
	}
	workers, err := startWorkers(env, d, 4, run)
	if err != nil {
		return nil, err
	}
	ops := []operation{{
		name: "choices", repeat: "deduplicated", scope: "all", windowS: window.Seconds(), aimS: 0.5, timeS: timeout.Seconds(),
	}}
	p, err := env.startDispatcher(dispatcherConfig{
		name: "n0", discovery: d.address, settings: newSettings(0, 1, "subscribe", ops),
	})
	if err != nil {
		return nil, err
	}
	if err := p.awaitHealthy(20 * time.Second); err != nil {
		return nil, err
	}
	if env.trouble {
		mute.Store(workers[1].name, nil)
		env.note("answers of %s get lost from now on", workers[1].name)
	}
	var clients sync.WaitGroup
	for n := range count {
		clients.Go(func() { keyedClient(env, p.listen, fmt.Sprintf("key-%02d", n), window, timeout) })
		time.Sleep(150 * time.Millisecond)
	}
	clients.Wait()
	return group.breaks(), nil
}

// keyedClient sends a request. It repeats it up to twice where the pages say so: after a refusal, when the advised time
// has passed, and after any other failure within the window.
func keyedClient(env *environment, address, key string, window, timeout time.Duration) {
	var first time.Time
	for try := range 3 {
		a := send(env, address, request{id: newID(), kind: "choices", key: key, deadline: timeout}, timeout+time.Second)
		if try == 0 {
			first = a.sentAt
		}
		switch {
		case a.status == 200:
			return
		case a.refused():
			time.Sleep(max(min(a.retryAfter, 2*time.Second), 100*time.Millisecond))
		case time.Since(first) < window:
			time.Sleep(100 * time.Millisecond)
		default:
			return
		}
	}
}

// breaks returns the keys that had an effect more than once.
func (g *keyGroup) breaks() (breaks []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, runs := range g.effects {
		if len(runs) > 1 {
			breaks = append(breaks, fmt.Sprintf("%s had its effect %d times: %v", key, len(runs), runs))
		}
	}
	return breaks
}
