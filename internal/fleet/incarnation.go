package fleet

import (
	"errors"
	"math/rand/v2"
	"time"

	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/fleet/recovery"
	"canvasroute/internal/fleet/store"
)

// The reasons for which nothing is persisted.
var (
	errNoFolder       = errors.New("no state folder")
	errFolderReadOnly = errors.New("the state folder cannot be written to")
	errDiskTimeout    = errors.New("the disk takes longer than identity-within")
)

// resources returns what this process owns at present.
func (n *Node) resources() ownedResources {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owned
}

// acquire locks the folder, listens at the address, and reads what the folder holds. It fails if another process has
// one of them. A folder that cannot be used is no error: the node works without it.
func (n *Node) acquire() error {
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
	n.takeRecovered(owned, recovered)
	return nil
}

// takeRecovered keeps what the folder held, and reports what is lost of it.
func (n *Node) takeRecovered(owned ownedResources, recovered store.Recovered) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owned = owned
	n.recovered = recovered
	for _, lost := range recovered.Errors {
		n.log.Warn().Err(lost).Msg("stored record ignored")
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

// beginIncarnation persists the next incarnation, and reports it to the state machine. If the disk does not answer in
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
	if n.successor {
		n.machine.IncarnationRaised(n.uptime(), number)
		n.machine.TakeOver(n.uptime(), number, nonce)
	} else {
		n.machine.IdentityStored(n.uptime(), number, nonce, recovery.PreviousIncarnationOf(recovered))
	}
	n.mu.Unlock()
	n.carryOut()
}

// persistIncarnation returns the number of the next incarnation once it is durable. Nothing can interrupt the write, so
// the goroutine that does it lasts as long as the disk hangs.
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

// raiseIncarnation persists a higher incarnation before another message is sent.
func (n *Node) raiseIncarnation(number uint64) {
	n.log.Warn().Uint64("incarnation", number).Msg("peers know a later incarnation: raised")
	if s := n.resources().store; s != nil {
		n.reportUpdate(s.RaiseIncarnation(number))
	}
	n.update(func(machine *recovery.StateMachine, uptime time.Duration) { machine.IncarnationRaised(uptime, number) })
}

// persistKeysMark persists a change of the mark that keys of previous incarnations may be missing.
func (n *Node) persistKeysMark(mark recovery.KeysMark) {
	s := n.resources().store
	if s == nil {
		return
	}
	switch mark {
	case recovery.MarkKeysSuspect:
		n.reportUpdate(s.MarkKeysSuspect())
	case recovery.ClearKeysSuspect:
		n.reportUpdate(s.ClearKeysSuspect())
	}
}

// reportUpdate logs a change of the incarnation that could not be persisted. The process continues with the change.
func (n *Node) reportUpdate(err error) {
	if err != nil {
		n.log.Error().Err(err).Msg("change of the incarnation not persisted")
	}
}

// release persists the last state and a clean shutdown, and releases the folder and the address.
func (n *Node) release() {
	_ = n.resources().socket.Close() // its Run closes it too, and the second call fails
	n.saveState()
	n.mu.Lock()
	owned := n.owned
	n.owned.store = nil
	n.owned.folder = nil
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
