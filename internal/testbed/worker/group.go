package worker

import (
	"sync"
	"time"
)

// Group drops repeats among the workers that share it: within the window from the start of a first one,
// others under the same key don't run. Many machines use it at once.
type Group struct {
	window time.Duration

	mu    sync.Mutex
	first map[string]*first
	swept time.Duration
}

type first struct {
	id     string
	begun  time.Duration
	over   bool
	result string
}

type keyState uint8

const (
	fresh keyState = iota
	runs
	hasRun
)

// NewGroup makes one that drops repeats for so long.
func NewGroup(window time.Duration) *Group {
	return &Group{window: window, first: map[string]*first{}}
}

// begin asks to run an invocation under a key.
func (g *Group) begin(key, id string, now time.Duration) (result string, state keyState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	f := g.first[key]
	switch {
	case f == nil || now >= f.begun+g.window && f.over:
		g.first[key] = &first{id: id, begun: now}
		return "", fresh
	case f.over:
		return f.result, hasRun
	}
	return "", runs
}

func (g *Group) done(key, id, result string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f := g.first[key]; f != nil && f.id == id {
		f.over, f.result = true, result
	}
}

// lost frees the key of one that was ended before it was done: the next one is a first one.
func (g *Group) lost(key, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f := g.first[key]; f != nil && f.id == id && !f.over {
		delete(g.first, key)
	}
}

// sweep forgets keys whose window has passed, once a window. It guards against memory that grows for good.
func (g *Group) sweep(now time.Duration) {
	if now < g.swept+g.window {
		return
	}
	g.swept = now
	for key, f := range g.first {
		if f.over && now >= f.begun+g.window {
			delete(g.first, key)
		}
	}
}
