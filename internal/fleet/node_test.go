package fleet

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer"
	"canvasroute/internal/fleet/store"
	"canvasroute/internal/proxy"
)

// hung is a disk whose syncs do not end while the test goes on.
type hung struct {
	*store.Memory
	syncing, never chan struct{}
}

func (h hung) Sync(string) error {
	select {
	case h.syncing <- struct{}{}:
	default:
	}
	<-h.never
	return nil
}

// onHungDisk is a node of a fleet of one whose store is on a disk that hangs.
func onHungDisk(t *testing.T) (*Node, hung) {
	pc, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NoError(t, err)
	address := pc.LocalAddr().String()
	pc.Close()
	dir := t.TempDir()
	file := filepath.Join(dir, "fleet.toml")
	text := "[state]\nfolder = \"" + filepath.Join(dir, "state") + "\"\nevery = \"5ms\"\n[link]\nlisten = \"" + address +
		"\"\n[recovery]\nidentity-within = \"50ms\"\n[[member]]\nname = \"n0\"\naddress = \"" + address + "\"\n"
	assert.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	s, err := Read(file, "n0", 0, 1)
	assert.NoError(t, err)
	n, err := Open(context.Background(), s, Config{Name: "n0", Now: func() balancer.Time { return 0 }, Log: zerolog.Nop()})
	assert.NoError(t, err)
	h := hung{store.NewMemory(), make(chan struct{}, 1), make(chan struct{})}
	t.Cleanup(func() { close(h.never) })
	n.store, n.found = store.Open(h, "n0")
	return n, h
}

// within fails the test where something takes longer than anybody should wait.
func within(t *testing.T, what string, f func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatalf("%s waits for the disk", what)
	}
}

// Guards against a sync that takes seconds under the node's lock: all invocations would wait with it, and clients
// would give up unanswered.
func TestOnlyKeysWaitForADiskThatHangs(t *testing.T) {
	n, disk := onHungDisk(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = n.keep(ctx) }()
	go func() { _ = n.tick(ctx) }()
	assert.ErrorContains(t, n.PersistKey(ctx, proxy.KeyRecord{Operation: "o", Key: "k", Window: time.Second}), "not on disk")
	<-disk.syncing
	for range 20 {
		n.wake()
		within(t, "an operator's question", func() { n.Metrics() })
		within(t, "an invocation", func() {
			_, _, ok := n.Admit(balancer.Arrival{})
			assert.False(t, ok, "nothing lands before the node has returned")
		})
		time.Sleep(time.Millisecond)
	}
}

// Guards against a process that its disk keeps from ending.
func TestEndIsNotHeldUpByADiskThatHangs(t *testing.T) {
	n, disk := onHungDisk(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	<-disk.syncing
	cancel()
	within(t, "the end", func() { assert.NoError(t, <-ended) })
}
