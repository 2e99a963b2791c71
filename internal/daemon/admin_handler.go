package daemon

import (
	"sync/atomic"
	"time"

	"canvasroute/internal/fleet"
	"canvasroute/internal/lifecycle"
	"canvasroute/internal/protocol"
	"canvasroute/internal/proxy"
)

// Commands that the predecessor forwards to its successor.
const (
	commandLeave = string(protocol.CommandLeave)
	commandJoin  = string(protocol.CommandJoin)
)

// adminHandler implements admin.Handler. LEAVE and JOIN apply to the dispatcher as a whole: if a successor is serving,
// they are forwarded to it. HEALTH and DUMP report on this process only.
type adminHandler struct {
	proxy   *proxy.Proxy
	state   *lifecycle.State
	restart *hotRestart // nil if there is no admin address
	node    *fleet.Node // nil if LB_FLEET is not set

	// Counters since the process started.
	reloadsApplied  atomic.Int64
	reloadsRejected atomic.Int64
}

// Health returns nil if this process accepts new clients. Otherwise it returns an error with the reason.
func (a *adminHandler) Health() error { return a.proxy.Ready() }

// Drain starts draining the dispatcher; the drain lasts until Rejoin. With LB_FLEET the drain is persisted so that it
// survives restarts. If that fails, Drain returns the error, but this process drains anyway. Drain also returns the
// error from forwarding the command.
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

// Rejoin ends a drain. It returns lifecycle.ErrStopping if the process is stopping, or the error from forwarding the
// command or from persisting the end of the drain.
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

// Metrics returns the metrics of this process in the order of the DUMP response.
func (a *adminHandler) Metrics() []protocol.Metric {
	metrics := a.proxy.Metrics()
	if a.node != nil {
		metrics = append(metrics, a.node.Metrics()...)
	}
	return append(metrics,
		protocol.Metric{Name: "sighup_applied", Value: a.reloadsApplied.Load()},
		protocol.Metric{Name: "sighup_rejected", Value: a.reloadsRejected.Load()})
}
