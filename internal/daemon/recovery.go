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

// openNode opens the dispatcher's node of the fleet, where LB_FLEET configures one. The proxy then waits for its
// recovery.
func (p *process) openNode() error {
	isSuccessor := p.restart.snapshot() != nil
	node, err := newNode(p.config, p.clock, isSuccessor, p.log)
	if err != nil || node == nil {
		return err
	}
	p.node = node
	p.config.Proxy.InitialEndpoints = node.InitialEndpoints(p.config.Proxy.InitialEndpoints)
	p.config.Proxy.Recovery = node
	return nil
}

// newNode opens the node that a configuration describes, nil where it describes none. A successor has its predecessor's
// state, and gets the folder and the address when that process leaves them. It fails with a *fleet.NameConflictError.
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
		MaxRetryAfter:  c.Proxy.MaxRetryAfter,
		DedupWindow:    maxPartialDedupWindow(c.Balancer.Operations),
		IsSuccessor:    isSuccessor,
		Now:            now,
		Log:            log,
	})
}

// maxPartialDedupWindow returns the longest deduplication window of the operations whose keys only a zone or a cell
// shares, 0 without such an operation. Where all workers share keys, a repeat is dropped wherever it is sent.
func maxPartialDedupWindow(operations []balancer.OperationConfig) time.Duration {
	longest := time.Duration(0)
	for _, operation := range operations {
		if operation.Idempotency == balancer.IdempotentByKey && operation.DedupScope != balancer.ScopeAll {
			longest = max(longest, operation.DedupWindow.Standard())
		}
	}
	return longest
}

// attachNode gives the node the parts whose state it restores. It has to be called before anything runs.
func attachNode(node *fleet.Node, requests *proxy.Proxy, shards *balancer.Shards, state *lifecycle.State) {
	node.Attach(requests, shards)
	if _, endpoints := requests.Endpoints(); len(endpoints) > 0 {
		node.StoredEndpointsLoaded()
	}
	if node.Drained() { // a drain by LEAVE outlasts restarts, until JOIN
		state.Drain(time.Now())
	}
}
