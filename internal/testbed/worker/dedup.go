package worker

import (
	"sync"
	"time"
)

// DedupGroup deduplicates jobs among the workers that share it: within the window from the start of the first job under
// a key, others under that key do not run. It is safe for concurrent use.
type DedupGroup struct {
	window time.Duration

	mu        sync.Mutex
	firsts    map[string]*firstRun
	expiredAt time.Duration
}

type firstRun struct {
	id        string
	startedAt time.Duration
	done      bool
	result    string
}

type keyState uint8

const (
	keyUnused keyState = iota
	keyRunning
	keyDone
)

// NewDedupGroup returns a group with a dedup window.
func NewDedupGroup(window time.Duration) *DedupGroup {
	return &DedupGroup{window: window, firsts: map[string]*firstRun{}}
}

// start asks to run a job under a key. For keyUnused the job must run; for keyDone the result is that of the first job.
func (g *DedupGroup) start(key, id string, now time.Duration) (result string, state keyState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	f := g.firsts[key]
	switch {
	case f == nil || now >= f.startedAt+g.window && f.done:
		g.firsts[key] = &firstRun{id: id, startedAt: now}
		return "", keyUnused
	case f.done:
		return f.result, keyDone
	}
	return "", keyRunning
}

func (g *DedupGroup) complete(key, id, result string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f := g.firsts[key]; f != nil && f.id == id {
		f.done = true
		f.result = result
	}
}

// release frees the key of a job that ended before it was done, so that the next one runs.
func (g *DedupGroup) release(key, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f := g.firsts[key]; f != nil && f.id == id && !f.done {
		delete(g.firsts, key)
	}
}

// expire removes keys whose window has passed, once per window, to bound the memory.
func (g *DedupGroup) expire(now time.Duration) {
	if now < g.expiredAt+g.window {
		return
	}
	g.expiredAt = now
	for key, f := range g.firsts {
		if f.done && now >= f.startedAt+g.window {
			delete(g.firsts, key)
		}
	}
}
