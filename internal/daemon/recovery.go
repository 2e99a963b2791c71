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

// openNode opens the dispatcher's member of the fleet, if LB_FLEET asks for one, and has the proxy wait for it.
func (p *process) openNode() error {
	node, err := newNode(p.config, p.clock, p.restart.snapshot() != nil, p.log)
	if err != nil || node == nil {
		return err
	}
	p.node = node
	p.config.Proxy.InitialEndpoints = node.InitialEndpoints(p.config.Proxy.InitialEndpoints)
	p.config.Proxy.Recovery = node
	return nil
}

// newNode opens the member of the fleet that a configuration describes, nil where it describes none. takesOver says
// that a predecessor has handed over its state.
func newNode(c *Config, now func() balancer.Time, takesOver bool, log zerolog.Logger) (*fleet.Node, error) {
	if c.Fleet == nil {
		return nil, nil
	}
	return fleet.Open(context.Background(), c.Fleet, fleet.Config{
		Name:           c.Name,
		Position:       c.Balancer.Position,
		SettingsHash:   c.settingsHash,
		Kinds:          c.Proxy.Kinds,
		WarmupDuration: c.Balancer.WarmupDuration.Standard(),
		MaxRetryAfter:  c.Proxy.MaxRetryAfter,
		DedupWindow:    maxPartialDedupWindow(c.Balancer.Operations),
		IsSuccessor:    takesOver,
		Now:            now,
		Log:            log,
	})
}

// maxPartialDedupWindow is the longest deduplication window of the operations whose keys are shared by a zone or a cell
// only, and not by all workers; 0 without such an operation.
func maxPartialDedupWindow(operations []balancer.OperationConfig) time.Duration {
	longest := time.Duration(0)
	for _, o := range operations {
		if o.Idempotency == balancer.IdempotentByKey && o.DedupScope != balancer.ScopeAll {
			longest = max(longest, o.DedupWindow.Standard())
		}
	}
	return longest
}

// attachNode gives the node the state that it restores. It has to be called before anything runs.
func attachNode(node *fleet.Node, requests *proxy.Proxy, shards *balancer.Shards, state *lifecycle.State) {
	node.Attach(requests, shards)
	if _, endpoints := requests.Endpoints(); len(endpoints) > 0 {
		node.StoredEndpointsLoaded()
	}
	if node.Drained() { // LEAVE holds across restarts, until JOIN
		state.Drain(time.Now())
	}
}
