package fleet

import (
	"context"
	"fmt"
	"time"

	"canvasroute/internal/fleet/store"
)

const (
	// keyQueueLength is how many keys may wait to be written. If the queue is full, a request waits until its key can
	// be queued.
	keyQueueLength = 1024
	// maxKeyBatch limits the number of keys persisted by one sync.
	maxKeyBatch = 512
)

// KeyTimeoutError reports that a key was not durable within the key timeout.
type KeyTimeoutError struct{ Timeout time.Duration }

// Error returns a message with the timeout.
func (e *KeyTimeoutError) Error() string { return fmt.Sprintf("key: not on disk within %v", e.Timeout) }

// keyWriter persists keys in batches, so that concurrent requests share a sync.
type keyWriter struct {
	timeout time.Duration // for a key to become durable
	queue   chan pendingKey
}

// pendingKey is a key that waits to be written.
type pendingKey struct {
	key       store.Key
	persisted chan error // receives the write result; buffered, because the request may have stopped waiting
}

func newKeyWriter(timeout time.Duration) *keyWriter {
	return &keyWriter{timeout: timeout, queue: make(chan pendingKey, keyQueueLength)}
}

// persist returns nil once a key is durable. It fails if the key cannot be written or ctx ends, and with a
// KeyTimeoutError after the timeout. The key may still become durable after the timeout, which is harmless.
func (w *keyWriter) persist(ctx context.Context, key store.Key) error {
	pending := pendingKey{key: key, persisted: make(chan error, 1)}
	ctx, cancel := context.WithTimeoutCause(ctx, w.timeout, &KeyTimeoutError{Timeout: w.timeout})
	defer cancel()
	select {
	case w.queue <- pending:
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

// run passes batches of keys to write until ctx ends. Keys queued during a write go into the next batch.
func (w *keyWriter) run(ctx context.Context, write func([]store.Key) error) {
	for {
		batch := w.nextBatch(ctx)
		if len(batch) == 0 {
			return
		}
		keys := make([]store.Key, 0, len(batch))
		for _, pending := range batch {
			keys = append(keys, pending.key)
		}
		err := write(keys)
		for _, pending := range batch {
			pending.persisted <- err
		}
	}
}

// nextBatch waits for a key, and returns it with the keys queued after it. It returns no keys if ctx ends.
func (w *keyWriter) nextBatch(ctx context.Context) (batch []pendingKey) {
	select {
	case pending := <-w.queue:
		batch = append(batch, pending)
	case <-ctx.Done():
		return nil
	}
	for len(batch) < maxKeyBatch {
		select {
		case pending := <-w.queue:
			batch = append(batch, pending)
		default:
			return batch
		}
	}
	return batch
}
