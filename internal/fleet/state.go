package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"canvasroute/internal/fleet/store"
	"canvasroute/internal/protocol"
)

var errNoFolder = errors.New("there is no folder to keep state in")

// learn writes what was learnt, again and again, until ctx ends. Nothing waits for it.
func (n *Node) learn(ctx context.Context) error {
	ticker := time.NewTicker(n.settings.State.Every.Std())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.write()
		case <-ctx.Done():
			return nil
		}
	}
}

// write makes durable what is known here now. Before it has taken up what it knew before, there is nothing to
// write: it would put less in the place of more.
func (n *Node) write() {
	n.mu.Lock()
	s, applied, seen := n.store, n.applied, n.core.Peers()
	n.mu.Unlock()
	if s == nil || !applied {
		return
	}
	text, err := json.Marshal(n.router.Learned())
	if err == nil {
		err = s.SaveState(store.State{WrittenAt: time.Now().UnixMilli(), SettingsHash: n.terms.SettingsHash, Learned: text, Peers: seen})
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	failing := n.failing
	if n.failing = err != nil; n.failing {
		n.stats.failures++
	} else {
		n.stats.writes++
	}
	switch {
	case n.failing && !failing:
		n.log.Error().Err(err).Msg("state cannot be written: after an end less will be trusted")
	case failing && !n.failing:
		n.log.Info().Msg("state is written again")
	}
}

// SetDrained makes durable that an operator has told this dispatcher to leave, or to join.
func (n *Node) SetDrained(left bool) error {
	n.mu.Lock()
	s := n.store
	n.mu.Unlock()
	if s == nil {
		return errNoFolder
	}
	if err := s.SetDrained(left); err != nil {
		return fmt.Errorf("it would not hold after an end: %w", err)
	}
	return nil
}

// Metrics are what operators are told.
func (n *Node) Metrics() []protocol.Metric {
	n.mu.Lock()
	defer n.mu.Unlock()
	whole, of := n.core.PeersAnswered()
	open := int64(0)
	if n.core.PeerKeysPending(n.now()) {
		open = 1
	}
	s := &n.stats
	figures := []protocol.Metric{
		{Name: "return_phase", Value: int64(n.core.Phase())},
		{Name: "return_case", Value: int64(n.core.Outage())},
		{Name: "return_phase_ms", Value: (n.now() - n.core.PhaseStartedAt()).Milliseconds()},
		{Name: "return_life", Value: int64(n.core.Incarnation())},
		{Name: "return_answered", Value: int64(whole)},
		{Name: "return_silent", Value: int64(of - whole)},
		{Name: "return_turned_away", Value: s.turned},
		{Name: "state_trusted", Value: s.trusted},
		{Name: "state_dropped", Value: s.dropped},
		{Name: "state_writes", Value: s.writes},
		{Name: "state_failures", Value: s.failures},
		{Name: "keys_kept", Value: s.keysKept},
		{Name: "keys_unkept", Value: s.keysLost},
		{Name: "keys_before", Value: int64(n.keys.Count())},
		{Name: "keys_open", Value: open},
		{Name: "keys_held", Value: s.held},
		{Name: "keys_barred", Value: s.barred},
	}
	if n.socket != nil {
		figures = append(figures, protocol.Metric{Name: "link_sent", Value: n.socket.Sent.Load()},
			protocol.Metric{Name: "link_bytes", Value: n.socket.Bytes.Load()},
			protocol.Metric{Name: "link_heard", Value: n.socket.Heard.Load()},
			protocol.Metric{Name: "link_malformed", Value: n.socket.Malformed.Load()},
			protocol.Metric{Name: "link_strangers", Value: n.socket.Strangers.Load()})
	}
	return figures
}
