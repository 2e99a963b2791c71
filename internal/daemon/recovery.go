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

// openNode opens the dispatcher's fleet node if LB_FLEET is set. The proxy then waits for the node's recovery.
func (p *process) openNode() error {
	isSuccessor := p.restart.predecessorSnapshot() != nil
	node, err := newNode(p.config, p.clock, isSuccessor, p.log)
	if err != nil || node == nil {
		return err
	}
	p.node = node
	p.config.Proxy.InitialEndpoints = node.InitialEndpoints(p.config.Proxy.InitialEndpoints)
	p.config.Proxy.Recovery = node
	return nil
}

// newNode opens the configured fleet node, or returns nil if there is none. A successor starts with the state of its
// predecessor, and gets the state folder and the address when the predecessor releases them. newNode fails with a
// *fleet.NameConflictError if another process uses the folder or the address.
func newNode(c *Config, now func() balancer.Time, isSuccessor bool, log zerolog.Logger) (*fleet.Node, error) {
	if c.Fleet == nil {
		return nil, nil
	}
	return fleet.Open(context.Background(), c.Fleet, fleet.Config{
		Name:           c.Name,
		Position:       c.Balancer.Position,
		SettingsHash:   c.settingsHash,
		Kinds:          c.Proxy.Kinds,
		WarmupDuration: c.Balancer.Warmup.Duration.Standard(),
		MaxRetryAfter:  c.Proxy.UnavailableRetryAfter,
		DedupWindow:    maxPartialDedupWindow(c.Balancer.Operations),
		IsSuccessor:    isSuccessor,
		Now:            now,
		Log:            log,
	})
}

// maxPartialDedupWindow returns the longest deduplication window of the operations whose keys are shared only within a
// zone or a cell, or 0 if there are none. If all workers share the keys, any worker drops a repeated request.
func maxPartialDedupWindow(operations []balancer.OperationConfig) time.Duration {
	longest := time.Duration(0)
	for _, operation := range operations {
		if operation.Idempotency == balancer.IdempotentByKey && operation.DedupScope != balancer.ScopeAll {
			longest = max(longest, operation.DedupWindow.Standard())
		}
	}
	return longest
}

// attachNode attaches the parts whose state the node restores. It must be called before any part runs.
func attachNode(node *fleet.Node, requestProxy *proxy.Proxy, shards *balancer.Shards, state *lifecycle.State) {
	node.Attach(requestProxy, shards)
	if _, endpoints := requestProxy.Endpoints(); len(endpoints) > 0 {
		node.StoredEndpointsLoaded()
	}
	if node.Drained() { // a drain by LEAVE persists across restarts until JOIN
		state.Drain(time.Now())
	}
}
