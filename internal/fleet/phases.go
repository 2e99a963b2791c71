package fleet

import (
	"context"
	"time"

	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/fleet/recovery"
)

const (
	// capacityInterval is how often the workers' capacity is read during phases that depend on it.
	capacityInterval = 50 * time.Millisecond
	// minTickWait is the minimum delay between two timed calls of the state machine.
	minTickWait = time.Millisecond
)

// runTicks calls the state machine when its timer expires and when requestTick is called, until ctx ends.
func (n *Node) runTicks(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-n.tickRequests:
		case <-ctx.Done():
			return
		}
		dependsOnCapacity := n.updateCapacity()
		n.mu.Lock()
		if n.owned.store != nil {
			n.machine.SetPersistedKeys(n.owned.store.PersistedKeys())
		}
		next := n.machine.Tick(n.uptime())
		n.mu.Unlock()
		n.executeActions()
		wait := max(next-n.uptime(), minTickWait)
		if dependsOnCapacity {
			wait = min(wait, capacityInterval)
		}
		timer.Reset(wait)
	}
}

// updateCapacity passes the workers' capacity to the state machine, and reports whether the phase depends on it.
func (n *Node) updateCapacity() bool {
	n.mu.Lock()
	phase := n.machine.Phase()
	n.mu.Unlock()
	if !phase.UsesCapacity() {
		return false
	}
	capacity := n.balancer.Capacity()
	n.updateMachine(func(machine *recovery.StateMachine, uptime time.Duration) {
		machine.SetCapacity(uptime, recovery.Capacity{
			Workers: capacity.Workers,
			Warm:    capacity.WarmSlots,
			Current: capacity.CurrentSlots,
		})
	})
	return true
}

// updateMachine passes an event to the state machine, with the time since the process started.
func (n *Node) updateMachine(event func(machine *recovery.StateMachine, uptime time.Duration)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	event(n.machine, n.uptime())
}

// requestTick wakes runTicks to call the state machine.
func (n *Node) requestTick() {
	select {
	case n.tickRequests <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// receive passes a message from a member to the state machine.
func (n *Node) receive(from int, msg *messaging.Message) {
	n.updateMachine(func(machine *recovery.StateMachine, uptime time.Duration) { machine.Receive(uptime, from, msg) })
	n.executeActions()
}

// executeActions executes the actions of the state machine: first it persists, then it restores or merges, and last it
// sends.
func (n *Node) executeActions() {
	n.mu.Lock()
	actions := n.machine.TakeActions()
	n.reportTransitions(actions.Transitions)
	replies, restoreNow := n.collectReplies(actions.Replies)
	socket := n.owned.socket
	n.mu.Unlock()
	n.persistKeysMark(actions.KeysMarkChange)
	if actions.RaiseIncarnation > 0 {
		n.raiseIncarnation(actions.RaiseIncarnation)
	}
	if restoreNow {
		n.restore(replies)
		n.mu.Lock()
		n.restored = true
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

// reportTransitions logs the phases that have started. The caller holds mu.
func (n *Node) reportTransitions(transitions []recovery.Transition) {
	for _, t := range transitions {
		n.phaseReason = t.Reason
		// The testbed and operators match this message and its fields.
		n.log.Info().Stringer("phase", t.Phase).Str("why", t.Reason).Dur("at_ms", t.At).
			Stringer("case", n.machine.Outage()).Msg("returning")
	}
}

// collectReplies queues replies until the phase admits requests, and then returns all queued replies to be merged.
// restoreNow is true the first time, unless the balancer has inherited its state from a predecessor. The caller holds
// mu.
func (n *Node) collectReplies(received []recovery.PeerReply) (replies []recovery.PeerReply, restoreNow bool) {
	n.replies = append(n.replies, received...)
	if n.machine.Phase().AdmitsRequests() {
		restoreNow = !n.restoreStarted && !n.takingOver
		n.restoreStarted = true
	}
	if n.restoreStarted {
		replies = n.replies
		n.replies = nil
	}
	return replies, restoreNow
}

// EndpointsReceived records that the discovery service has sent its endpoint list.
func (n *Node) EndpointsReceived() {
	n.updateMachine((*recovery.StateMachine).EndpointsReceived)
	n.requestTick()
}

// EndpointsUnavailable records that the discovery service did not answer, or has stopped answering.
func (n *Node) EndpointsUnavailable() {
	n.updateMachine((*recovery.StateMachine).EndpointsUnavailable)
	n.requestTick()
}

// StoredEndpointsLoaded records that the proxy has an initial endpoint list, possibly an outdated one.
func (n *Node) StoredEndpointsLoaded() {
	n.updateMachine((*recovery.StateMachine).StoredEndpointsLoaded)
}
