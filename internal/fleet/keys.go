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

// sumOf is what stands for a key on disk and on the link.
func sumOf(operation, key string) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %s %s", len(operation), operation, key)
	return h.Sum64()
}

// PriorExecution tells where an invocation under the same key may have run in an earlier life of any dispatcher.
func (n *Node) PriorExecution(operation, key string, again bool) (*proxy.PriorExecution, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	k, err := n.keys.Find(recovery.KeyLookup{
		Sum: sumOf(operation, key), MarkedRepeat: again, KeysPending: n.core.PeerKeysPending(n.now()),
		Now: time.Now().UnixMilli(), Uptime: n.now(),
	})
	switch {
	case err != nil:
		n.stats.barred++
		return nil, fmt.Errorf("%w: %w", proxy.ErrOutcomeUnknown, err)
	case k == nil:
		return nil, nil
	}
	n.stats.held++
	return &proxy.PriorExecution{Worker: k.Worker, Zone: k.Zone, Cell: k.Cell, SentMs: k.SentAt}, nil
}

// PersistKey makes a key durable before its forward is sent. Many at once share one sync.
func (n *Node) PersistKey(ctx context.Context, k proxy.KeyRecord) error {
	now := time.Now().UnixMilli()
	key := kept{store.Key{
		Sum: sumOf(k.Operation, k.Key), Worker: k.Worker, Zone: k.Zone, Cell: k.Cell, SentAt: now,
		ExpiresAt: now + k.Window.Milliseconds(),
	}, make(chan error, 1)}
	within := n.settings.Recovery.KeepWithin.Std()
	ctx, cancel := context.WithTimeoutCause(ctx, within, fmt.Errorf("key: not on disk within %v", within))
	defer cancel()
	select {
	case n.keeping <- key:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	select {
	case err := <-key.done:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// mostBatch bounds the keys that become durable by one sync.
const mostBatch = 512

// keep writes keys until ctx ends: all that have come while one write went on go with the next.
func (n *Node) keep(ctx context.Context) error {
	for {
		var batch []kept
		select {
		case k := <-n.keeping:
			batch = append(batch, k)
		case <-ctx.Done():
			return nil
		}
		for more := true; more && len(batch) < mostBatch; {
			select {
			case k := <-n.keeping:
				batch = append(batch, k)
			default:
				more = false
			}
		}
		var keys []store.Key
		for _, k := range batch {
			keys = append(keys, k.key)
		}
		err := n.write1(keys)
		for _, k := range batch {
			k.done <- err
		}
	}
}

func (n *Node) write1(keys []store.Key) error {
	n.mu.Lock()
	s := n.store
	n.mu.Unlock()
	if s == nil {
		return errNoFolder
	}
	err := s.AppendKeys(keys, time.Now().UnixMilli())
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.stats.keysLost += int64(len(keys))
		return err
	}
	n.stats.keysKept += int64(len(keys))
	for _, k := range keys { // others that return ask for these too; here they change nothing
		n.keys.AddSent(messaging.Key(k))
	}
	return nil
}

var _ proxy.Recovery = (*Node)(nil)
