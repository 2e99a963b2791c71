package daemon

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"canvasroute/internal/balancer"
	"canvasroute/internal/fleet"
	"canvasroute/internal/lifecycle"
	"canvasroute/internal/proxy"
)

// node opens the part that brings this dispatcher back, nil where operators have not asked for it.
func (p *Config) node(now func() balancer.Time, heir bool, log zerolog.Logger) (*fleet.Node, error) {
	if p.Fleet == nil {
		return nil, nil
	}
	t := fleet.Config{
		Name: p.Name, Position: p.Balancer.Position, SettingsHash: p.settings, Kinds: p.Proxy.Kinds,
		WarmupDuration: p.Balancer.WarmupDuration.Duration(), MaxRetryAfter: p.Proxy.MaxRetryAfter, TakesOver: heir, Now: now, Log: log,
	}
	for _, o := range p.Balancer.Operations {
		if o.Idempotency == balancer.IdempotentByKey && o.DedupScope != balancer.ScopeAll {
			t.DedupWindow = max(t.DedupWindow, o.DedupWindow.Duration())
		}
	}
	node, err := fleet.Open(context.Background(), p.Fleet, t)
	if err != nil {
		return nil, err
	}
	p.Proxy.InitialEndpoints, p.Proxy.Recovery = node.InitialEndpoints(p.Proxy.InitialEndpoints), node
	return node, nil
}

// bringBack gives the node what it brings back, before anything runs.
func bringBack(node *fleet.Node, router *proxy.Proxy, facade *balancer.Shards, state *lifecycle.State) {
	node.Attach(router, facade)
	if _, entries := router.Endpoints(); len(entries) > 0 {
		node.PredecessorServed()
	}
	if node.Drained() { // an operator's word holds until an operator takes it back
		state.Drain(time.Now())
	}
}
