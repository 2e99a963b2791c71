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

// keyChecksum returns what stands for a key on disk and in messages.
func keyChecksum(operation, key string) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %s %s", len(operation), operation, key)
	return h.Sum64()
}

// PriorExecution returns where a request under the same key may have run in a previous incarnation of any dispatcher, nil for
// nowhere. It fails with proxy.ErrOutcomeUnknown if nobody can tell. again is the client's mark of a repeat.
func (n *Node) PriorExecution(operation, key string, again bool) (*proxy.PriorExecution, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	found, err := n.keys.Find(recovery.KeyLookup{
		Sum: keyChecksum(operation, key), MarkedRepeat: again, KeysPending: n.machine.PeerKeysPending(n.uptime()),
		Now: time.Now().UnixMilli(), Uptime: n.uptime(),
	})
	switch {
	case err != nil:
		n.counters.repeatsFailed++
		return nil, fmt.Errorf("%w: %w", proxy.ErrOutcomeUnknown, err)
	case found == nil:
		return nil, nil
	}
	n.counters.repeatsToGroup++
	return &proxy.PriorExecution{Worker: found.Worker, Zone: found.Zone, Cell: found.Cell, SentMs: found.SentAt}, nil
}

// pendingKey is a key on its way to the disk.
type pendingKey struct {
	key       store.Key
	persisted chan error // receives one value, which may find nobody waiting
}

// PersistKey returns once a key is durable, so that its request may be sent. It fails after the key timeout; the key may
// become durable later then, which does no harm.
func (n *Node) PersistKey(ctx context.Context, record proxy.KeyRecord) error {
	now := time.Now().UnixMilli()
	pending := pendingKey{
		key: store.Key{
			Sum:    keyChecksum(record.Operation, record.Key),
			Worker: record.Worker, Zone: record.Zone, Cell: record.Cell,
			SentAt: now, ExpiresAt: now + record.Window.Milliseconds(),
		},
		persisted: make(chan error, 1),
	}
	timeout := n.settings.Recovery.KeyTimeout.Std()
	ctx, cancel := context.WithTimeoutCause(ctx, timeout, &KeyTimeoutError{Timeout: timeout})
	defer cancel()
	select {
	case n.keyQueue <- pending:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	select {
	case err := <-pending.persisted:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// KeyTimeoutError means that a key was not durable within the key timeout.
type KeyTimeoutError struct{ Timeout time.Duration }

// Error names the timeout.
func (e *KeyTimeoutError) Error() string { return fmt.Sprintf("key: not on disk within %v", e.Timeout) }

// maxKeyBatch bounds the keys that become durable by one sync.
const maxKeyBatch = 512

// writeKeys persists keys until ctx ends. Those that come during one write go together with the next.
func (n *Node) writeKeys(ctx context.Context) error {
	for {
		batch := n.nextKeyBatch(ctx)
		if len(batch) == 0 {
			return nil
		}
		keys := make([]store.Key, 0, len(batch))
		for _, pending := range batch {
			keys = append(keys, pending.key)
		}
		err := n.writeKeyBatch(keys)
		for _, pending := range batch {
			pending.persisted <- err
		}
	}
}

// nextKeyBatch waits for a key, and returns it with those that wait behind it; none if ctx ends.
func (n *Node) nextKeyBatch(ctx context.Context) (batch []pendingKey) {
	select {
	case pending := <-n.keyQueue:
		batch = append(batch, pending)
	case <-ctx.Done():
		return nil
	}
	for len(batch) < maxKeyBatch {
		select {
		case pending := <-n.keyQueue:
			batch = append(batch, pending)
		default:
			return batch
		}
	}
	return batch
}

func (n *Node) writeKeyBatch(keys []store.Key) error {
	s := n.resources().store
	if s == nil {
		return errNoFolder
	}
	err := s.AppendKeys(keys, time.Now().UnixMilli())
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.counters.keysLost += int64(len(keys))
		return err
	}
	n.counters.keysPersisted += int64(len(keys))
	for _, k := range keys { // for peers that recover; repeats of this incarnation do not need them
		n.keys.AddSent(messaging.Key(k))
	}
	return nil
}
