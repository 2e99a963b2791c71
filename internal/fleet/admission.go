package fleet

import (
	"fmt"

	"canvasroute/internal/balancer"
	"canvasroute/internal/fleet/recovery"
	"canvasroute/internal/proxy"
)

// NotReadyError reports that no requests may be sent to this dispatcher yet.
type NotReadyError struct {
	Phase  recovery.Phase
	Reason string // why the phase started
}

// Error returns the message in the response to HEALTH.
func (e *NotReadyError) Error() string { return fmt.Sprintf("returning, %v: %s", e.Phase, e.Reason) }

// Ready returns nil if requests may be sent to this dispatcher, and a NotReadyError otherwise.
func (n *Node) Ready() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if phase := n.machine.Phase(); !n.restored || phase == recovery.Superseded {
		return &NotReadyError{Phase: phase, Reason: n.phaseReason}
	}
	return nil
}

// Admit decides whether to admit a request. Before the stored state is restored all requests are rejected. After that
// the state machine decides by its phase and the expected size, which is the median size if the client gives no hint.
func (n *Node) Admit(arrival balancer.Arrival) proxy.RecoveryAdmission {
	n.mu.Lock()
	serving := n.machine.Phase() == recovery.Serving
	restored := n.restored
	n.mu.Unlock()
	if !restored {
		return proxy.RecoveryAdmission{RetryAfter: n.config.MaxRetryAfter}
	}
	if serving {
		return proxy.RecoveryAdmission{Admitted: true, Done: func(bool) {}}
	}
	size := arrival.SizeHint
	if size == 0 {
		size = n.balancer.MedianSize()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	admission := n.machine.Admit(n.uptime(), balancer.Duration(size).Standard())
	if !admission.Admitted {
		n.counters.requestsRejected++
		return proxy.RecoveryAdmission{RetryAfter: admission.RetryAfter}
	}
	return proxy.RecoveryAdmission{Admitted: true, Done: n.reportRequestEnd}
}

// reportRequestEnd reports the end of an admitted request to the state machine.
func (n *Node) reportRequestEnd(succeeded bool) {
	if succeeded {
		n.updateMachine((*recovery.StateMachine).RequestSucceeded)
	} else {
		n.updateMachine((*recovery.StateMachine).RequestFailed)
	}
	n.requestTick()
}
