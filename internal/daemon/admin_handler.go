package daemon

import (
	"sync/atomic"
	"time"

	"canvasroute/internal/fleet"
	"canvasroute/internal/lifecycle"
	"canvasroute/internal/protocol"
	"canvasroute/internal/proxy"
)

// Commands as they are forwarded to a successor.
const (
	commandLeave = string(protocol.CommandLeave)
	commandJoin  = string(protocol.CommandJoin)
)

// adminHandler runs operators' commands. LEAVE and JOIN that come while a successor serves are meant for the dispatcher
// as a whole, and are forwarded to the successor.
type adminHandler struct {
	proxy   *proxy.Proxy
	state   *lifecycle.State
	restart *hotRestart // nil without an address for operators
	node    *fleet.Node // nil without LB_FLEET

	reloadsApplied  atomic.Int64
	reloadsRejected atomic.Int64
}

// Health returns nil once this process takes clients, or why it does not.
func (a *adminHandler) Health() error { return a.proxy.Ready() }

// Drain stops taking clients. With a folder to keep it in, that holds after a restart too.
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

// Rejoin takes clients again. It fails with lifecycle.ErrStopping.
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

// Metrics returns the dispatcher's figures in the order of the answer to DUMP.
func (a *adminHandler) Metrics() []protocol.Metric {
	metrics := a.proxy.Metrics()
	if a.node != nil {
		metrics = append(metrics, a.node.Metrics()...)
	}
	return append(metrics,
		protocol.Metric{Name: "sighup_applied", Value: a.reloadsApplied.Load()},
		protocol.Metric{Name: "sighup_rejected", Value: a.reloadsRejected.Load()})
}
