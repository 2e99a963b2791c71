package worker

import (
	"sync"
	"time"
)

// DedupGroup deduplicates jobs by idempotency key among the workers that share it. A key's dedup window begins when its
// first job starts. Other jobs with the key do not run until the window has ended and the first job is done, or until
// the first job ends before it is done. DedupGroup is safe for concurrent use.
type DedupGroup struct {
	window time.Duration

	mu            sync.Mutex
	firstJobs     map[string]*firstJob // by key
	lastCleanupAt time.Duration        // time of the last removal of expired keys
}

// firstJob is the first job with a key.
type firstJob struct {
	id        string        // ID of the job
	startedAt time.Duration // since the start of the experiment
	done      bool
	result    string // valid if done
}

// keyState is the state of a key in a dedup group.
type keyState uint8

const (
	keyUnused  keyState = iota // no job has started within the window
	keyRunning                 // the first job is running
	keyDone                    // the first job is done
)

// NewDedupGroup returns an empty group with the given dedup window.
func NewDedupGroup(window time.Duration) *DedupGroup {
	return &DedupGroup{window: window, firstJobs: map[string]*firstJob{}}
}

// start returns the state of a key before the start of a job. For keyUnused, it records the job as the first job with
// the key, and the caller must run the job. For keyDone, it also returns the result of the first job.
func (g *DedupGroup) start(key, id string, now time.Duration) (result string, state keyState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeExpired(now)
	first := g.firstJobs[key]
	switch {
	case first == nil || g.isExpired(first, now):
		g.firstJobs[key] = &firstJob{id: id, startedAt: now}
		return "", keyUnused
	case first.done:
		return first.result, keyDone
	}
	return "", keyRunning
}

// isExpired reports whether a job is done and its dedup window has passed. The caller holds the lock.
func (g *DedupGroup) isExpired(first *firstJob, now time.Duration) bool {
	return first.done && now >= first.startedAt+g.window
}

// complete records the result of a job if the job holds the key.
func (g *DedupGroup) complete(key, id, result string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if first := g.firstJobs[key]; first != nil && first.id == id {
		first.done = true
		first.result = result
	}
}

// release frees the key of a job that ended before it was done, so that the next job with the key can run.
func (g *DedupGroup) release(key, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if first := g.firstJobs[key]; first != nil && first.id == id && !first.done {
		delete(g.firstJobs, key)
	}
}

// removeExpired removes keys whose window has passed, at most once per window, to limit memory use. The caller holds
// the lock.
func (g *DedupGroup) removeExpired(now time.Duration) {
	if now < g.lastCleanupAt+g.window {
		return
	}
	g.lastCleanupAt = now
	for key, first := range g.firstJobs {
		if g.isExpired(first, now) {
			delete(g.firstJobs, key)
		}
	}
}
