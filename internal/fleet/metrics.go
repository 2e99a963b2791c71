package fleet

import (
	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/protocol"
)

// counters are what the metrics count since the process started. Node.mu guards them.
type counters struct {
	factsTrusted     int64 // stored facts that were restored
	factsDropped     int64 // stored facts that were damaged or not trusted
	stateWrites      int64
	stateFailures    int64 // writes of the state or the incarnation that failed
	stateFailing     bool  // the last write of the state failed
	keysPersisted    int64
	keysLost         int64 // keys that could not be persisted
	repeatsToGroup   int64 // requests that went to the dedup group of an earlier attempt
	repeatsFailed    int64 // requests that failed since nobody could tell where an earlier attempt may have run
	requestsRejected int64 // by the recovery
}

// Metrics returns what operators read in the answer to DUMP. Names and order are their interface.
func (n *Node) Metrics() []protocol.Metric {
	n.mu.Lock()
	defer n.mu.Unlock()
	answered, total := n.machine.PeersAnswered()
	c := &n.counters
	metrics := []protocol.Metric{
		{Name: "return_phase", Value: int64(n.machine.Phase())},
		{Name: "return_case", Value: int64(n.machine.Outage())},
		{Name: "return_phase_ms", Value: (n.uptime() - n.machine.PhaseStartedAt()).Milliseconds()},
		{Name: "return_life", Value: int64(n.machine.Incarnation())},
		{Name: "return_answered", Value: int64(answered)},
		{Name: "return_silent", Value: int64(total - answered)},
		{Name: "return_turned_away", Value: c.requestsRejected},
		{Name: "state_trusted", Value: c.factsTrusted},
		{Name: "state_dropped", Value: c.factsDropped},
		{Name: "state_writes", Value: c.stateWrites},
		{Name: "state_failures", Value: c.stateFailures},
		{Name: "keys_kept", Value: c.keysPersisted},
		{Name: "keys_unkept", Value: c.keysLost},
		{Name: "keys_before", Value: int64(n.keys.Count())},
		{Name: "keys_open", Value: boolMetric(n.machine.PeerKeysPending(n.uptime()))},
		{Name: "keys_held", Value: c.repeatsToGroup},
		{Name: "keys_barred", Value: c.repeatsFailed},
	}
	return append(metrics, socketMetrics(n.owned.socket)...)
}

// socketMetrics returns the metrics of the socket, none before there is one.
func socketMetrics(socket *messaging.Socket) []protocol.Metric {
	if socket == nil {
		return nil
	}
	return []protocol.Metric{
		{Name: "link_sent", Value: socket.Sent.Load()},
		{Name: "link_bytes", Value: socket.SentBytes.Load()},
		{Name: "link_heard", Value: socket.Received.Load()},
		{Name: "link_malformed", Value: socket.Malformed.Load()},
		{Name: "link_strangers", Value: socket.UnknownSenders.Load()},
	}
}

func boolMetric(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
