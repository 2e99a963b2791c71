package fleet

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"

	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/fleet/recovery"
	"canvasroute/internal/fleet/store"
	"canvasroute/internal/proxy"
)

var _ proxy.Recovery = (*Node)(nil)

// keyChecksum returns the number that identifies an operation and a key on disk and in messages. It includes the length
// of the operation, so that different pairs never produce the same input to the hash.
func keyChecksum(operation, key string) uint64 {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d %s %s", len(operation), operation, key)
	return hash.Sum64()
}

// PriorExecution returns the destination of an earlier request under the same key that may have run. Only requests sent
// by a previous incarnation or a peer are considered. It returns nil if there is no record of one, and fails with
// proxy.ErrOutcomeUnknown if Keys.Find fails. In a hot restart the keys of the other process are in the state folder, so
// a marked retry without a record fails until this process has read the folder.
func (n *Node) PriorExecution(request proxy.KeyedRequest) (*proxy.PriorExecution, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	found, err := n.keys.Find(recovery.KeyLookup{
		Sum:            keyChecksum(request.Operation, request.Key),
		MarkedRetry:    request.MarkedRetry,
		KeysIncomplete: n.keysUnread || n.machine.MayLackKeys(n.uptime()),
		UnixMillis:     time.Now().UnixMilli(),
		Uptime:         n.uptime(),
	})
	switch {
	case err != nil:
		n.counters.repeatsFailed++
		return nil, fmt.Errorf("%w: %w", proxy.ErrOutcomeUnknown, err)
	case found == nil:
		return nil, nil
	}
	n.counters.repeatsRouted++
	return &proxy.PriorExecution{Worker: found.Worker, Zone: found.Zone, Cell: found.Cell, SentAtMillis: found.SentAt}, nil
}

// PersistKey returns nil once a key is durable, so that its request may be sent. It fails if the key cannot be written
// or ctx ends, and with a KeyTimeoutError after the key timeout.
func (n *Node) PersistKey(ctx context.Context, record proxy.KeyRecord) error {
	now := time.Now().UnixMilli()
	return n.keyWriter.persist(ctx, store.Key{
		Sum:       keyChecksum(record.Operation, record.Key),
		Worker:    record.Worker,
		Zone:      record.Zone,
		Cell:      record.Cell,
		SentAt:    now,
		ExpiresAt: now + record.DedupWindow.Milliseconds(),
	})
}

// writeKeys persists the keys of requests until ctx ends.
func (n *Node) writeKeys(ctx context.Context) { n.keyWriter.run(ctx, n.writeKeyBatch) }

// writeKeyBatch persists keys whose requests are about to be sent.
func (n *Node) writeKeyBatch(keys []store.Key) error {
	s := n.currentResources().store
	if s == nil {
		return errNoFolder
	}
	err := s.AppendKeys(keys, time.Now().UnixMilli())
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.counters.keysNotPersisted += int64(len(keys))
		return err
	}
	n.counters.keysPersisted += int64(len(keys))
	for _, key := range keys { // for recovering peers; repeats within this incarnation do not need them
		n.keys.AddSent(messaging.Key(key))
	}
	return nil
}
