package worker

import (
	"sync"
	"time"
)

// DedupGroup deduplicates jobs among the workers that share it. Within the window from the start of the first job under a
// key, other jobs under that key do not run. It is safe for concurrent use.
type DedupGroup struct {
	window time.Duration

	mu        sync.Mutex
	firsts    map[string]*firstRun // by key
	expiredAt time.Duration        // when expired keys were last removed
}

// firstRun is the first job under a key.
type firstRun struct {
	id        string        // of the job
	startedAt time.Duration // since the start of the experiment
	done      bool
	result    string // once it is done
}

// keyState is what a dedup group knows of a key.
type keyState uint8

const (
	keyUnused  keyState = iota // no job has run within the window
	keyRunning                 // the first job runs
	keyDone                    // the first job is done
)

// NewDedupGroup returns a group with a dedup window.
func NewDedupGroup(window time.Duration) *DedupGroup {
	return &DedupGroup{window: window, firsts: map[string]*firstRun{}}
}

// start decides whether a job under a key runs. For keyUnused it must run; for keyDone the result is that of the first
// job.
func (g *DedupGroup) start(key, id string, now time.Duration) (result string, state keyState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	first := g.firsts[key]
	switch {
	case first == nil || g.expired(first, now):
		g.firsts[key] = &firstRun{id: id, startedAt: now}
		return "", keyUnused
	case first.done:
		return first.result, keyDone
	}
	return "", keyRunning
}

// expired reports whether the window of a job that is done has passed. The caller holds the lock.
func (g *DedupGroup) expired(first *firstRun, now time.Duration) bool {
	return first.done && now >= first.startedAt+g.window
}

// complete records that the job with an ID, if it is the first under its key, is done.
func (g *DedupGroup) complete(key, id, result string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if first := g.firsts[key]; first != nil && first.id == id {
		first.done = true
		first.result = result
	}
}

// release frees the key of a job that ended before it was done, so that the next one runs.
func (g *DedupGroup) release(key, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if first := g.firsts[key]; first != nil && first.id == id && !first.done {
		delete(g.firsts, key)
	}
}

// expire removes keys whose window has passed, once per window, to bound the memory. The caller holds the lock.
func (g *DedupGroup) expire(now time.Duration) {
	if now < g.expiredAt+g.window {
		return
	}
	g.expiredAt = now
	for key, first := range g.firsts {
		if g.expired(first, now) {
			delete(g.firsts, key)
		}
	}
}
