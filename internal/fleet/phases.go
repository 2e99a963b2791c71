package fleet

import (
	"context"
	"fmt"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/fleet/recovery"
	"canvasroute/internal/proxy"
)

const (
	// capacityInterval is how often the workers' capacity is read while a phase depends on it.
	capacityInterval = 50 * time.Millisecond
	// minTickWait bounds how often the state machine is called by time alone.
	minTickWait = time.Millisecond
)

// tick calls the state machine when it asks for it and when something has changed, until ctx ends.
func (n *Node) tick(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-n.stateChanged:
		case <-ctx.Done():
			return
		}
		needsCapacity := n.updateCapacity()
		n.mu.Lock()
		if n.owned.store != nil {
			n.machine.SetPersistedKeys(n.owned.store.PersistedKeys())
		}
		next := n.machine.Tick(n.uptime())
		n.mu.Unlock()
		n.carryOut()
		wait := max(next-n.uptime(), minTickWait)
		if needsCapacity {
			wait = min(wait, capacityInterval)
		}
		timer.Reset(wait)
	}
}

// updateCapacity passes the workers' capacity to the state machine, and returns whether the phase depends on it.
func (n *Node) updateCapacity() bool {
	n.mu.Lock()
	phase := n.machine.Phase()
	n.mu.Unlock()
	if phase != recovery.Probing && phase != recovery.SlowStart {
		return false
	}
	capacity := n.balancer.Capacity()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.machine.SetCapacity(n.uptime(), recovery.Capacity{
		Workers: capacity.Workers, Warm: capacity.WarmSlots, Now: capacity.CurrentSlots,
	})
	return true
}

// notify makes tick call the state machine.
func (n *Node) notify() {
	select {
	case n.stateChanged <- struct{}{}:
	default: // it is about to
	}
}

// receive passes a message of a member to the state machine.
func (n *Node) receive(from int, msg *messaging.Message) {
	n.mu.Lock()
	n.machine.Receive(n.uptime(), from, msg)
	n.mu.Unlock()
	n.carryOut()
}

// carryOut carries out the actions of the state machine: first what has to be durable, then what is restored or merged, and
// last what is sent.
func (n *Node) carryOut() {
	n.mu.Lock()
	actions := n.machine.TakeActions()
	n.reportTransitions(actions.Transitions)
	replies, restoreNow := n.takeReplies(actions.Replies)
	socket := n.owned.socket
	n.mu.Unlock()
	n.persistKeysMark(actions.KeysMark)
	if actions.RaiseIncarnation > 0 {
		n.raiseIncarnation(actions.RaiseIncarnation)
	}
	if restoreNow {
		n.restore(replies)
		n.mu.Lock()
		n.admitting = true
		n.mu.Unlock()
	} else if len(replies) > 0 {
		n.mergeReplies(replies)
	}
	for _, msg := range actions.Messages {
		socket.Send(msg.To, msg.Message)
	}
	if len(actions.Queries) > 0 {
		n.answerQueries(socket, actions.Queries)
	}
}

// reportTransitions logs the phases that have begun. The caller holds mu.
func (n *Node) reportTransitions(transitions []recovery.Transition) {
	for _, t := range transitions {
		n.phaseReason = t.Reason
		// The lab and operators look for this message and its fields.
		n.log.Info().Stringer("phase", t.Phase).Str("why", t.Reason).Dur("at_ms", t.At).
			Stringer("case", n.machine.Outage()).Msg("returning")
	}
}

// takeReplies adds replies to those that wait, and returns all of them once the phase admits requests; restoreNow is true
// the first time, unless the balancer has its state from a predecessor. The caller holds mu.
func (n *Node) takeReplies(received []recovery.PeerReply) (replies []recovery.PeerReply, restoreNow bool) {
	n.replies = append(n.replies, received...)
	if n.machine.Phase().Admits() {
		restoreNow = !n.applied && !n.successor
		n.applied = true
	}
	if n.applied {
		replies = n.replies
		n.replies = nil
	}
	return replies, restoreNow
}

// EndpointsReceived takes that the list service has sent its list.
func (n *Node) EndpointsReceived() {
	n.mu.Lock()
	n.machine.EndpointsReceived(n.uptime())
	n.mu.Unlock()
	n.notify()
}

// EndpointsUnavailable takes that the list service did not answer, or no longer answers.
func (n *Node) EndpointsUnavailable() {
	n.mu.Lock()
	n.machine.EndpointsUnavailable(n.uptime())
	n.mu.Unlock()
	n.notify()
}

// StoredEndpointsLoaded takes that the proxy has a list of workers to start with, perhaps an old one.
func (n *Node) StoredEndpointsLoaded() {
	n.mu.Lock()
	n.machine.StoredEndpointsLoaded(n.uptime())
	n.mu.Unlock()
}

// NotReadyError means that no request may come yet.
type NotReadyError struct {
	Phase  recovery.Phase
	Reason string // why the phase began
}

// Error is what operators read in the answer to HEALTH.
func (e *NotReadyError) Error() string { return fmt.Sprintf("returning, %v: %s", e.Phase, e.Reason) }

// Ready returns nil once requests may come, and a NotReadyError before.
func (n *Node) Ready() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if phase := n.machine.Phase(); !n.admitting || phase == recovery.Superseded {
		return &NotReadyError{Phase: phase, Reason: n.phaseReason}
	}
	return nil
}

// Admit decides whether a request may come in.
func (n *Node) Admit(arrival balancer.Arrival) proxy.RecoveryAdmission {
	n.mu.Lock()
	serving := n.machine.Phase() == recovery.Serving
	admitting := n.admitting
	n.mu.Unlock()
	if !admitting { // no request may be sent before the state is restored
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
	return proxy.RecoveryAdmission{Admitted: true, Done: n.requestEnded}
}

// requestEnded passes the end of an admitted request to the state machine.
func (n *Node) requestEnded(succeeded bool) {
	n.mu.Lock()
	if succeeded {
		n.machine.RequestSucceeded(n.uptime())
	} else {
		n.machine.RequestFailed(n.uptime())
	}
	n.mu.Unlock()
	n.notify()
}
