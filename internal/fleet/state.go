package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"canvasroute/internal/fleet/store"
)

// saveStates writes the state at each interval until ctx ends. No request waits for it.
func (n *Node) saveStates(ctx context.Context) {
	ticker := time.NewTicker(n.settings.State.Interval.Std())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.saveState()
		case <-ctx.Done():
			return
		}
	}
}

// saveState persists what is known now. Before the previous state is restored it writes nothing, since that would replace
// more by less.
func (n *Node) saveState() {
	n.mu.Lock()
	s := n.owned.store
	restoring := n.restoring
	peers := n.machine.Peers()
	n.mu.Unlock()
	if s == nil || !restoring {
		return
	}
	learned, err := json.Marshal(n.proxy.SnapshotForDisk())
	if err == nil {
		err = s.SaveState(store.State{
			WrittenAt:    time.Now().UnixMilli(),
			SettingsHash: n.config.SettingsHash,
			Learned:      learned,
			Peers:        peers,
		})
	}
	n.reportSave(err)
}

// reportSave counts a write of the state, and logs the first that fails and the first that works again.
func (n *Node) reportSave(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	wasFailing := n.counters.stateFailing
	n.counters.stateFailing = err != nil
	if err != nil {
		n.counters.stateFailures++
		if !wasFailing {
			n.log.Error().Err(err).Msg("state not persisted")
		}
		return
	}
	n.counters.stateWrites++
	if wasFailing {
		n.log.Info().Msg("state persisted again")
	}
}

// PersistDrain persists that an operator has drained this dispatcher.
func (n *Node) PersistDrain() error { return n.updateDrain((*store.Store).MarkDrained) }

// PersistRejoin persists that an operator has ended the drain.
func (n *Node) PersistRejoin() error { return n.updateDrain((*store.Store).ClearDrained) }

// updateDrain persists a change of the drain by an operator.
func (n *Node) updateDrain(change func(*store.Store) error) error {
	s := n.resources().store
	if s == nil {
		return errNoFolder
	}
	if err := change(s); err != nil {
		return fmt.Errorf("drain not persisted: %w", err)
	}
	return nil
}

// Drained reports whether an operator had drained this dispatcher before it started.
func (n *Node) Drained() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.recovered.IncarnationFound && !n.recovered.Foreign && n.recovered.Incarnation.Drained
}
