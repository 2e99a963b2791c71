package fleet

import (
	"errors"
	"math/rand/v2"
	"time"

	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/fleet/recovery"
	"canvasroute/internal/fleet/store"
)

// The reasons why nothing can be persisted.
var (
	errNoFolder       = errors.New("no state folder")
	errFolderReadOnly = errors.New("the state folder is not writable")
	errDiskTimeout    = errors.New("the disk did not respond within identity-within")
)

// currentResources returns the resources that this process owns.
func (n *Node) currentResources() ownedResources {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owned
}

// acquireResources locks the folder, listens on the address, and reads the folder's contents. It fails if another
// process owns one of them. If the folder is unusable for other reasons, the node runs without it.
func (n *Node) acquireResources() error {
	folder, folderErr := store.OpenFolder(n.settings.State.Folder)
	if errors.Is(folderErr, store.ErrLocked) {
		return folderErr
	}
	socket, err := messaging.Listen(n.settings.ownAddress, n.settings.memberAddresses, n.log)
	if err != nil {
		if folder != nil {
			err = errors.Join(err, folder.Close())
		}
		return err
	}
	owned := ownedResources{folder: folder, socket: socket}
	recovered := store.Recovered{KeysSuspect: true}
	if folder != nil {
		owned.store, recovered = store.Open(folder, n.config.Name)
	}
	if folderErr != nil {
		recovered.Errors = append(recovered.Errors, folderErr)
	}
	if folder == nil || folder.ReadOnly() {
		recovered.Errors = append(recovered.Errors, errFolderReadOnly)
	}
	n.recordRecovered(owned, recovered)
	return nil
}

// recordRecovered records the resources and the data recovered from the folder, and logs the errors of the recovery. An
// error may concern the folder itself, or a record that is used despite it.
func (n *Node) recordRecovered(owned ownedResources, recovered store.Recovered) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owned = owned
	n.recovered = recovered
	n.keysUnread = false
	for _, err := range recovered.Errors {
		n.log.Warn().Err(err).Msg("stored record ignored")
		n.counters.factsDropped++
	}
	if recovered.Foreign {
		n.log.Warn().Str("folder", n.settings.State.Folder).Str("of", recovered.Incarnation.Name).
			Msg("state folder of another dispatcher: only its keys used")
	}
	for _, key := range recovered.Keys {
		n.keys.Restore(messaging.Key(key))
	}
}

// beginIncarnation persists the next incarnation, and reports it to the state machine. If the disk does not respond in
// time, the process continues with an incarnation that is not durable.
func (n *Node) beginIncarnation() {
	n.mu.Lock()
	s := n.owned.store
	recovered := n.recovered
	n.mu.Unlock()
	if n.settings.State.UnreliableDisk {
		recovered.SuspectUnreliableDisk()
	}
	nonce := rand.Uint64()
	number, err := n.persistIncarnation(s, recovered, nonce)
	if err != nil {
		n.log.Error().Err(err).Msg("incarnation not persisted")
	}
	n.mu.Lock()
	if err != nil {
		n.counters.stateFailures++
		number = max(recovered.MinNextIncarnation(), recovered.Incarnation.Number+1)
	}
	if n.takingOver {
		n.machine.IncarnationRaised(n.uptime(), number)
		n.machine.TakeOver(n.uptime(), number, nonce)
	} else {
		n.machine.IdentityEstablished(n.uptime(), number, nonce, recovery.NewPreviousIncarnation(recovered))
	}
	n.folderState = folderInUse
	n.mu.Unlock()
	n.executeActions()
}

// persistIncarnation returns the number of the next incarnation once it is durable. A write to a hung disk cannot be
// interrupted, so its goroutine keeps running until the disk responds.
func (n *Node) persistIncarnation(s *store.Store, recovered store.Recovered, nonce uint64) (uint64, error) {
	if s == nil {
		return 0, errNoFolder
	}
	type result struct {
		incarnation store.Incarnation
		err         error
	}
	written := make(chan result, 1)
	go func() {
		incarnation, err := s.Begin(store.BeginOptions{
			Previous:    recovered.Incarnation,
			MinNumber:   recovered.MinNextIncarnation(),
			Nonce:       nonce,
			KeysSuspect: recovered.KeysSuspect,
			At:          time.Now().UnixMilli(),
		})
		written <- result{incarnation, err}
	}()
	select {
	case outcome := <-written:
		return outcome.incarnation.Number, outcome.err
	case <-time.After(n.settings.Recovery.IdentityTimeout.Std()):
		return 0, errDiskTimeout
	}
}

// raiseIncarnation persists a higher incarnation before the next message is sent.
func (n *Node) raiseIncarnation(number uint64) {
	n.log.Warn().Uint64("incarnation", number).Msg("incarnation raised above the one received by peers")
	if s := n.currentResources().store; s != nil {
		n.logUpdateError(s.RaiseIncarnation(number))
	}
	n.updateMachine(func(machine *recovery.StateMachine, uptime time.Duration) { machine.IncarnationRaised(uptime, number) })
}

// persistKeysMark persists a change of the mark that keys of previous incarnations may be missing.
func (n *Node) persistKeysMark(mark recovery.KeysMarkChange) {
	s := n.currentResources().store
	if s == nil {
		return
	}
	switch mark {
	case recovery.MarkKeysSuspect:
		n.logUpdateError(s.MarkKeysSuspect())
	case recovery.ClearKeysSuspect:
		n.logUpdateError(s.ClearKeysSuspect())
	}
}

// logUpdateError logs a failure to persist a change of the incarnation. The process continues with the change in
// memory.
func (n *Node) logUpdateError(err error) {
	if err != nil {
		n.log.Error().Err(err).Msg("change of the incarnation not persisted")
	}
}

// releaseResources persists the final state and a clean shutdown, and releases the folder and the address.
func (n *Node) releaseResources() {
	_ = n.currentResources().socket.Close() // Run closes the socket too, and the second Close returns an error
	n.saveState()
	n.mu.Lock()
	owned := n.owned
	n.owned.store = nil
	n.owned.folder = nil
	n.keysUnread = true
	n.folderState = folderYielded
	n.mu.Unlock()
	if owned.store != nil {
		if err := owned.store.MarkCleanShutdown(); err != nil {
			n.log.Warn().Err(err).Msg("clean shutdown not persisted")
		}
	}
	if owned.folder != nil {
		if err := owned.folder.Close(); err != nil {
			n.log.Warn().Err(err).Msg("state folder not closed")
		}
	}
}
