package fleet

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"golang.org/x/sync/errgroup"

	"canvasroute/internal/fleet/store"
)

func TestKeysQueuedDuringAWriteShareTheNextBatch(t *testing.T) {
	const waiting = 20
	errDisk := errors.New("no space left")
	w := newKeyWriter(10 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	writing := make(chan int)
	proceed := make(chan error)
	go w.run(ctx, func(keys []store.Key) error {
		writing <- len(keys)
		return <-proceed
	})
	var first, others errgroup.Group
	first.Go(func() error { return w.persist(ctx, store.Key{Sum: 1}) })
	assert.Equal(t, 1, <-writing)
	for n := range waiting {
		others.Go(func() error {
			err := w.persist(ctx, store.Key{Sum: uint64(2 + n)})
			if !errors.Is(err, errDisk) {
				t.Errorf("key %d: got error %v, want the error of its batch", 2+n, err)
			}
			return nil
		})
	}
	assert.Eventually(t, func() bool { return len(w.queue) == waiting }, 5*time.Second, time.Millisecond)
	proceed <- nil
	assert.NoError(t, first.Wait(), "the first key must not get the error of the later batch")
	assert.Equal(t, waiting, <-writing)
	proceed <- errDisk
	assert.NoError(t, others.Wait())
}
