package worker

import (
	"sync"
	"time"
)

// DedupGroup drops repeats among the workers that share it: within the window from the start of a first one,
// others under the same key don't run. Many machines use it at once.
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

// NewDedupGroup makes one that drops repeats for so long.
func NewDedupGroup(window time.Duration) *DedupGroup {
	return &DedupGroup{window: window, firsts: map[string]*firstRun{}}
}

// start asks to run an invocation under a key.
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
		f.done, f.result = true, result
	}
}

// release frees the key of one that was ended before it was done: the next one is a first one.
func (g *DedupGroup) release(key, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f := g.firsts[key]; f != nil && f.id == id && !f.done {
		delete(g.firsts, key)
	}
}

// expire forgets keys whose window has passed, once a window. It guards against memory that grows for good.
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
