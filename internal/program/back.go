package program

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"canvasroute/decide"
	"canvasroute/internal/drain"
	"canvasroute/internal/fleet"
	"canvasroute/internal/routing"
)

// node opens the part that brings this dispatcher back, nil where operators have not asked for it.
func (p *Placement) node(now func() decide.Time, heir bool, log zerolog.Logger) (*fleet.Node, error) {
	if p.Fleet == nil {
		return nil, nil
	}
	t := fleet.Terms{
		Name: p.Name, Position: p.Decisions.Position, Settings: p.settings, Kinds: p.Routing.Kinds,
		Ramp: p.Decisions.WarmupDuration.Duration(), ComeBackMost: p.Routing.ComeBackMost, Heir: heir, Now: now, Log: log,
	}
	for _, o := range p.Decisions.Operations {
		if o.Idempotency == decide.IdempotentByKey && o.DedupScope != decide.ScopeAll {
			t.Window = max(t.Window, o.DedupWindow.Duration())
		}
	}
	node, err := fleet.Open(context.Background(), p.Fleet, t)
	if err != nil {
		return nil, err
	}
	p.Routing.Known, p.Routing.Back = node.Known(p.Routing.Known), node
	return node, nil
}

// bringBack gives the node what it brings back, before anything runs.
func bringBack(node *fleet.Node, router *routing.Router, facade *decide.Shards, state *drain.State) {
	node.Attach(router, facade)
	if _, entries := router.Entries(); len(entries) > 0 {
		node.Serves()
	}
	if node.Left() { // an operator's word holds until an operator takes it back
		state.Leave(time.Now())
	}
}
