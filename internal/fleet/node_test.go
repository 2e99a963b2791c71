package fleet

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer"
	"canvasroute/internal/fleet/recovery"
	"canvasroute/internal/fleet/store"
	"canvasroute/internal/peertest"
	"canvasroute/internal/proxy"
)

// hungDisk is a disk whose syncs block until the test ends.
type hungDisk struct {
	*store.Memory
	syncing   chan struct{} // receives a value when a sync starts
	testEnded chan struct{} // closed when the test ends
}

// Sync blocks until the test ends.
func (d hungDisk) Sync(string) error {
	select {
	case d.syncing <- struct{}{}:
	default:
	}
	<-d.testEnded
	return nil
}

// newSingleMemberSettings returns the settings of a fleet with the single dispatcher n0 and a temporary state folder.
func newSingleMemberSettings(t *testing.T) *Settings {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "fleet.toml")
	text := strings.NewReplacer("FOLDER", filepath.Join(dir, "state"), "ADDRESS", peertest.UnusedPacketAddress(t)).Replace(`
[state]
folder = "FOLDER"
every = "5ms"
[link]
listen = "ADDRESS"
[recovery]
identity-within = "50ms"
ask-every = "10ms"
[[member]]
name = "n0"
address = "ADDRESS"
`)
	assert.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	settings, err := Read(path, "n0", 0, 1)
	assert.NoError(t, err)
	return settings
}

func newSingleMemberConfig() Config {
	return Config{Name: "n0", Now: func() balancer.Time { return 0 }, Log: zerolog.Nop()}
}

// newNodeOnHungDisk returns the node of a single-dispatcher fleet whose store is on a hung disk.
func newNodeOnHungDisk(t *testing.T) (*Node, hungDisk) {
	t.Helper()
	n, err := Open(context.Background(), newSingleMemberSettings(t), newSingleMemberConfig())
	assert.NoError(t, err)
	disk := hungDisk{store.NewMemory(), make(chan struct{}, 1), make(chan struct{})}
	t.Cleanup(func() { close(disk.testEnded) })
	n.owned.store, n.recovered = store.Open(disk, "n0")
	return n, disk
}

// assertDoesNotBlock fails the test if an operation takes longer than 5 seconds.
func assertDoesNotBlock(t *testing.T, name string, operation func()) {
	t.Helper()
	const limit = 5 * time.Second
	done := make(chan struct{})
	go func() {
		defer close(done)
		operation()
	}()
	select {
	case <-done:
	case <-time.After(limit):
		t.Fatalf("%s blocked on the disk", name)
	}
}

// If a slow sync held the node's lock, all requests would wait for it, and clients would time out.
func TestOnlyKeysWaitForADiskThatHangs(t *testing.T) {
	n, disk := newNodeOnHungDisk(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go n.writeKeys(ctx)
	go n.runTicks(ctx)
	err := n.PersistKey(ctx, proxy.KeyRecord{Operation: "o", Key: "k", DedupWindow: time.Second})
	var timeout *KeyTimeoutError
	assert.ErrorAs(t, err, &timeout)
	assert.ErrorContains(t, err, "not on disk")
	<-disk.syncing
	for range 20 {
		n.requestTick()
		assertDoesNotBlock(t, "DUMP", func() { n.Metrics() })
		assertDoesNotBlock(t, "a request", func() {
			assert.False(t, n.Admit(balancer.Arrival{}).Admitted, "no request is sent before the state is restored")
		})
		time.Sleep(time.Millisecond)
	}
}

// If the shutdown waited for a hung disk, operators would have to kill the process.
func TestShutdownDoesNotWaitForADiskThatHangs(t *testing.T) {
	n, disk := newNodeOnHungDisk(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	<-disk.syncing
	cancel()
	assertDoesNotBlock(t, "the shutdown", func() { assert.NoError(t, <-ended) })
}

// Two processes under one name would answer each other's queries and write to the same folder.
func TestOpenFailsIfAnotherProcessOwnsTheFolder(t *testing.T) {
	settings := newSingleMemberSettings(t)
	folder, err := store.OpenFolder(settings.State.Folder)
	assert.NoError(t, err)
	_, err = Open(context.Background(), settings, newSingleMemberConfig())
	var conflict *NameConflictError
	assert.ErrorAs(t, err, &conflict)
	assert.Equal(t, "n0", conflict.Name)
	assert.ErrorIs(t, err, store.ErrLocked)
	assert.NoError(t, folder.Close())
	n, err := Open(context.Background(), settings, newSingleMemberConfig())
	assert.NoError(t, err)
	var notReady *NotReadyError
	assert.ErrorAs(t, n.Ready(), &notReady)
	assert.Equal(t, recovery.EstablishingIdentity, notReady.Phase)
	assert.NoError(t, n.owned.socket.Close())
	assert.NoError(t, n.owned.folder.Close())
}

// In a hot restart, a successor that has not read the predecessor's keys yet must not send a marked retry: it would go
// to any dedup group, and run again.
func TestSuccessorSendsNoMarkedRetryBeforeItHasReadTheKeys(t *testing.T) {
	settings := newSingleMemberSettings(t)
	now := time.Now().UnixMilli()
	folder, err := store.OpenFolder(settings.State.Folder)
	assert.NoError(t, err)
	predecessor, recovered := store.Open(folder, "n0")
	_, err = predecessor.Begin(store.BeginOptions{MinNumber: recovered.MinNextIncarnation(), At: now})
	assert.NoError(t, err)
	sent := store.Key{Sum: keyChecksum("o", "k"), Worker: "w", Zone: "a", SentAt: now, ExpiresAt: now + 60_000}
	assert.NoError(t, predecessor.AppendKeys([]store.Key{sent}, now))

	config := newSingleMemberConfig()
	config.IsSuccessor = true
	config.DedupWindow = time.Minute
	successor, err := Open(context.Background(), settings, config)
	assert.NoError(t, err)
	acquired := make(chan bool, 1)
	go func() { acquired <- successor.serveUntilAcquired(context.Background()) }()
	assert.Eventually(t, func() bool { return successor.Ready() == nil }, 5*time.Second, time.Millisecond)
	_, err = successor.PriorExecution(proxy.KeyedRequest{Operation: "o", Key: "k", MarkedRetry: true})
	assert.ErrorIs(t, err, proxy.ErrOutcomeUnknown)
	assert.NoError(t, folder.Close())
	assert.True(t, <-acquired)
	prior, err := successor.PriorExecution(proxy.KeyedRequest{Operation: "o", Key: "k", MarkedRetry: true})
	assert.NoError(t, err)
	assert.Equal(t, &proxy.PriorExecution{Worker: "w", Zone: "a", SentAtMillis: now}, prior)
	prior, err = successor.PriorExecution(proxy.KeyedRequest{Operation: "o", Key: "other", MarkedRetry: true})
	assert.NoError(t, err, "the records have been read")
	assert.Nil(t, prior)
	assert.NoError(t, successor.owned.socket.Close())
	assert.NoError(t, successor.owned.folder.Close())
}
