package fleet

import (
	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/protocol"
)

// counters are the values of the metrics since the process started. Node.mu guards them.
type counters struct {
	factsTrusted     int64 // stored facts that were restored
	factsDropped     int64 // stored facts that were corrupt or not trusted
	stateWrites      int64
	stateFailures    int64 // writes of the state or the incarnation that failed
	stateFailing     bool  // the last write of the state failed
	keysPersisted    int64
	keysNotPersisted int64 // keys that could not be persisted
	repeatsRouted    int64 // requests sent to the dedup group of an earlier attempt
	repeatsFailed    int64 // requests failed because it is unknown whether or where an earlier attempt has run
	requestsRejected int64 // requests rejected by the state machine
}

// Metrics returns the metrics in the response to DUMP. Operators rely on their names and order.
func (n *Node) Metrics() []protocol.Metric {
	n.mu.Lock()
	defer n.mu.Unlock()
	answered, total := n.machine.CountAnsweredPeers()
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
		{Name: "keys_unkept", Value: c.keysNotPersisted},
		{Name: "keys_before", Value: int64(n.keys.Count())},
		{Name: "keys_open", Value: boolMetric(n.machine.MayLackKeys(n.uptime()))},
		{Name: "keys_held", Value: c.repeatsRouted},
		{Name: "keys_barred", Value: c.repeatsFailed},
	}
	return append(metrics, socketMetrics(n.owned.socket)...)
}

// socketMetrics returns the metrics of the socket, or none if there is no socket.
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
