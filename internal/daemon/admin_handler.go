package daemon

import (
	"sync/atomic"
	"time"

	"canvasroute/internal/fleet"
	"canvasroute/internal/lifecycle"
	"canvasroute/internal/protocol"
	"canvasroute/internal/proxy"
)

// Commands in messages to a successor.
const (
	commandLeave = string(protocol.CommandLeave)
	commandJoin  = string(protocol.CommandJoin)
)

// adminHandler runs operators' commands, as admin.Handler describes them. LEAVE and JOIN are meant for the dispatcher
// as a whole: where a successor serves, they are forwarded to it. HEALTH and DUMP are answered for this process.
type adminHandler struct {
	proxy   *proxy.Proxy
	state   *lifecycle.State
	restart *hotRestart // nil without an admin address
	node    *fleet.Node // nil without LB_FLEET

	// Metrics since the start of the process.
	reloadsApplied  atomic.Int64
	reloadsRejected atomic.Int64
}

// Health returns nil while this process should get new clients, or else an error that says why not.
func (a *adminHandler) Health() error { return a.proxy.Ready() }

// Drain begins to drain the dispatcher, until Rejoin. With LB_FLEET it fails where the drain cannot be persisted, by
// which it outlasts restarts; this process drains all the same.
func (a *adminHandler) Drain() error {
	if forwarded, err := a.restart.forwardCommand(commandLeave); forwarded {
		return err
	}
	a.state.Drain(time.Now())
	if a.node == nil {
		return nil
	}
	return a.node.PersistDrain()
}

// Rejoin ends a drain. It fails with lifecycle.ErrStopping, and as Drain does where the end cannot be persisted.
func (a *adminHandler) Rejoin() error {
	if a.state.PhaseAt(time.Now()).IsStopping() {
		return lifecycle.ErrStopping
	}
	if forwarded, err := a.restart.forwardCommand(commandJoin); forwarded {
		return err
	}
	if err := a.state.Rejoin(time.Now()); err != nil {
		return err
	}
	if a.node == nil {
		return nil
	}
	return a.node.PersistRejoin()
}

// Metrics returns the metrics of this process in the order of the answer to DUMP.
func (a *adminHandler) Metrics() []protocol.Metric {
	metrics := a.proxy.Metrics()
	if a.node != nil {
		metrics = append(metrics, a.node.Metrics()...)
	}
	return append(metrics,
		protocol.Metric{Name: "sighup_applied", Value: a.reloadsApplied.Load()},
		protocol.Metric{Name: "sighup_rejected", Value: a.reloadsRejected.Load()})
}
