package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"canvasroute/internal/fleet/store"
)

// saveStatePeriodically writes the state at each interval until ctx ends. Requests do not wait for these writes.
func (n *Node) saveStatePeriodically(ctx context.Context) {
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

// saveState persists the current state. It writes nothing until restoring the previous state has started, because the
// write would replace that state with an incomplete one.
func (n *Node) saveState() {
	n.mu.Lock()
	s := n.owned.store
	restoreStarted := n.restoreStarted
	peers := n.machine.Peers()
	n.mu.Unlock()
	if s == nil || !restoreStarted {
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
	n.recordSaveResult(err)
}

// recordSaveResult counts a write of the state, and logs the first failure and the first success after a failure.
func (n *Node) recordSaveResult(err error) {
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

// ErrFolderYielded is returned for a change that only the process that uses the state folder can persist. In a hot
// restart that is the successor.
var ErrFolderYielded = errors.New("another process uses the state folder")

// drainPollInterval is the interval at which a change of the drain checks whether this process uses the folder.
const drainPollInterval = 5 * time.Millisecond

// PersistDrain persists that an operator has drained this dispatcher. It waits until this process uses the folder, for
// the identity timeout at most. The error is ErrFolderYielded if another process does.
func (n *Node) PersistDrain() error { return n.updateDrain((*store.Store).MarkDrained) }

// PersistRejoin persists that an operator has ended the drain, like PersistDrain.
func (n *Node) PersistRejoin() error { return n.updateDrain((*store.Store).ClearDrained) }

// updateDrain persists a change of the operator's drain.
func (n *Node) updateDrain(change func(*store.Store) error) error {
	s, err := n.awaitStore()
	if err == nil {
		err = change(s)
	}
	if err != nil {
		return fmt.Errorf("drain not persisted: %w", err)
	}
	return nil
}

// awaitStore waits until this process has begun its incarnation in the folder, and returns the store. A change before
// that would be lost, because the incarnation replaces the previous one.
func (n *Node) awaitStore() (*store.Store, error) {
	deadline := time.Now().Add(n.settings.Recovery.IdentityTimeout.Std())
	for {
		n.mu.Lock()
		state, s := n.folderState, n.owned.store
		n.mu.Unlock()
		switch {
		case state == folderYielded:
			return nil, ErrFolderYielded
		case state == folderInUse && s == nil:
			return nil, errNoFolder
		case state == folderInUse:
			return s, nil
		case time.Now().After(deadline):
			return nil, errDiskTimeout
		}
		time.Sleep(drainPollInterval)
	}
}

// Drained reports whether an operator had drained this dispatcher before this process started.
func (n *Node) Drained() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.recovered.IncarnationFound && !n.recovered.Foreign && n.recovered.Incarnation.Drained
}
