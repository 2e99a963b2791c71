package simulate

import (
	"time"

	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/fleet/recovery"
)

// checkTransition checks that phases only advance, and that an outage is classified as ThisDispatcherOnly only if all
// peers serve. It also checks that no dispatcher admits requests before its peers have replied or
// the timeout for their replies has passed.
func (n *node) checkTransition(transition recovery.Transition) {
	if transition.Phase < n.phase {
		n.world.reportViolation("%d: %v after %v", n.position, transition.Phase, n.phase)
	}
	n.phase = transition.Phase
	switch transition.Phase {
	case recovery.Probing:
		answered, total := n.machine.CountAnsweredPeers()
		if answered < total && n.uptime() < peersTimeout {
			n.world.reportViolation("%d: admits requests after %v, with %d of %d replies", n.position, n.uptime(), answered, total)
		}
		if n.machine.Outage() == recovery.ThisDispatcherOnly {
			n.checkPeersServe()
		}
	case recovery.Serving:
		n.servingAt = n.world.now
	}
}

// checkPeersServe checks that all peers serve. A peer that is down is accepted if it last started so recently that its
// reply may predate its stop.
func (n *node) checkPeersServe() {
	for _, peer := range n.world.nodes {
		if peer == n || peer.up && peer.machine.Phase() == recovery.Serving {
			continue
		}
		if peer.up || n.world.now-peer.startedAt > peersTimeout+n.uptime() {
			n.world.reportViolation("%d: classifies the outage as its own only, but %d does not serve", n.position, peer.position)
		}
	}
}

// checkSentIncarnation checks that no message has a higher incarnation than the disk, unless the disk has failed.
func (n *node) checkSentIncarnation(msg *messaging.Message) {
	if msg.Incarnation > n.incarnation && !n.diskFailed {
		n.world.reportViolation("%d: sends incarnation %d, %d is on its disk", n.position, msg.Incarnation, n.incarnation)
	}
}

// checkFinalState checks that every running dispatcher serves at the end of the history, and completes the result.
func (w *world) checkFinalState() {
	lastServingAt := time.Duration(0)
	for _, n := range w.nodes {
		w.result.MaxMessages = max(w.result.MaxMessages, n.messages)
		if !n.up {
			continue
		}
		phase := n.machine.Phase()
		w.result.FinalPhases[phase]++
		w.result.Outages[n.machine.Outage()]++
		if phase != recovery.Serving {
			w.reportViolation("%d: %v at the end, %v after its start", n.position, phase, n.uptime())
		}
		lastServingAt = max(lastServingAt, n.servingAt)
	}
	w.result.RecoveryTime = max(lastServingAt-w.lastFaultAt, 0)
}
