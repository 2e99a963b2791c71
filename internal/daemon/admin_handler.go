package daemon

import (
	"sync/atomic"

	"canvasroute/internal/fleet"
	"canvasroute/internal/protocol"
	"canvasroute/internal/proxy"
)

// adminHandler implements admin.Handler. LEAVE and JOIN apply to the dispatcher as a whole, see drainControl. HEALTH and
// DUMP report on this process only.
type adminHandler struct {
	proxy *proxy.Proxy
	drain *drainControl
	node  *fleet.Node // nil if LB_FLEET is not set

	// Counters since the process started.
	reloadsApplied  atomic.Int64
	reloadsRejected atomic.Int64
}

// Health returns nil if this process accepts new clients. Otherwise it returns an error with the reason.
func (a *adminHandler) Health() error { return a.proxy.Ready() }

// Drain starts draining the dispatcher; the drain lasts until Rejoin. With LB_FLEET the drain is persisted so that it
// survives restarts. The errors are those of drainControl.run.
func (a *adminHandler) Drain() error { return a.drain.run(commandLeave) }

// Rejoin ends a drain. It returns lifecycle.ErrStopping if the process is stopping, or the errors of drainControl.run.
func (a *adminHandler) Rejoin() error { return a.drain.run(commandJoin) }

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
