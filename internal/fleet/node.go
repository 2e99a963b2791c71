// Package fleet lets the dispatchers of a fleet return to service after an outage, where operators have written a fleet
// file. Without that file none of it runs.
//
// The package reads the file. Its Node persists what a dispatcher needs after a restart, queries the peers, and applies
// the decisions of package recovery to the proxy and the balancer.
//
// It does not decide which phase comes when (package recovery), what a record looks like (package store) or a message
// (package messaging), and it routes no request.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"canvasroute/internal/balancer"
	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/fleet/recovery"
	"canvasroute/internal/fleet/store"
	"canvasroute/internal/proxy"
)

// Config is what a node has to know of the dispatcher that it is part of.
type Config struct {
	Name           string               // of the dispatcher
	Position       int                  // among the members
	SettingsHash   string               // of the settings in use, for operators who look at the stored state
	Kinds          []string             // names of the kinds of workers, by balancer.KindID
	DedupWindow    time.Duration        // the longest time in which workers drop the repeats of a key
	WarmupDuration time.Duration        // from a worker's start until it is warm
	MaxRetryAfter  time.Duration        // the most that a client is advised to wait, 0 to give no advice
	IsSuccessor    bool                 // in a hot restart: the predecessor yields the folder and the address
	Now            func() balancer.Time // the clock of the balancer
	Log            zerolog.Logger
}

// Node recovers one dispatcher, and persists what it needs for the next recovery. Its methods may be called by several
// goroutines, after Attach.
type Node struct {
	settings  *Settings
	config    Config
	log       zerolog.Logger
	startedAt time.Time // of the process

	proxy    *proxy.Proxy     // from Attach
	balancer *balancer.Shards // from Attach

	keyWriter      *keyWriter
	stateChanged   chan struct{}             // the state machine is to be called
	ownerChanges   chan socketOwner          // from YieldSocket and ReclaimSocket
	storedCapacity func() map[string]float64 // by kind of worker, from the recovered state; decoded once

	mu          sync.Mutex // guards the fields below; never held during a write to disk
	machine     *recovery.StateMachine
	keys        *recovery.Keys
	owned       ownedResources
	recovered   store.Recovered      // what the folder held when this process acquired it
	successor   bool                 // this process takes over from another one
	replies     []recovery.PeerReply // not merged yet
	restoring   bool                 // the recovered state is being restored, or has been
	admitting   bool                 // it has been restored: requests may come
	phaseReason string               // why the phase began, as operators read it
	counters    counters
}

// ownedResources are what only one process of a name has. folder and store are nil while another process has them; socket
// is closed then.
type ownedResources struct {
	folder *store.Folder // also nil if the folder cannot be used
	store  *store.Store  // nil with folder
	socket *messaging.Socket
}

// NameConflictError means that another process, which is no predecessor, has the folder or the address of this
// dispatcher.
type NameConflictError struct {
	Name string // of the dispatcher
	Err  error  // store.ErrLocked, or the error of the socket
}

// Error names the dispatcher and what is taken.
func (e *NameConflictError) Error() string {
	return fmt.Sprintf("two that go under the name %q: %v", e.Name, e.Err)
}

// Unwrap returns what is taken.
func (e *NameConflictError) Unwrap() error { return e.Err }

// Open returns a node that has locked and read the folder, and listens at its address. A successor does both later,
// when it runs. Open fails with a NameConflictError if another process has not left them within the identity timeout.
func Open(ctx context.Context, settings *Settings, config Config) (*Node, error) {
	n := &Node{
		settings:     settings,
		config:       config,
		log:          config.Log,
		startedAt:    time.Now(),
		keyWriter:    newKeyWriter(settings.Recovery.KeyTimeout.Std()),
		stateChanged: make(chan struct{}, 1),
		ownerChanges: make(chan socketOwner, maxOwnerChanges),
		machine:      newStateMachine(settings, &config),
		keys:         recovery.NewKeys(config.DedupWindow),
		successor:    config.IsSuccessor,
	}
	n.storedCapacity = sync.OnceValue(n.readStoredCapacity)
	if n.successor {
		return n, nil
	}
	deadline := time.Now().Add(settings.Recovery.IdentityTimeout.Std())
	for {
		err := n.acquire()
		if err == nil {
			return n, nil
		}
		if time.Now().After(deadline) || !sleep(ctx, settings.Recovery.QueryInterval.Std()) {
			return nil, &NameConflictError{Name: config.Name, Err: err}
		}
	}
}

// newStateMachine returns the state machine for the settings.
func newStateMachine(settings *Settings, config *Config) *recovery.StateMachine {
	var members []string
	for _, member := range settings.Members {
		members = append(members, member.Name)
	}
	limits := &settings.Recovery
	return recovery.New(recovery.Config{
		Members:           members,
		Self:              config.Position,
		IdentityTimeout:   limits.IdentityTimeout.Std(),
		EndpointsTimeout:  limits.EndpointsTimeout.Std(),
		PeersTimeout:      limits.PeersTimeout.Std(),
		ProbeTimeout:      limits.ProbeTimeout.Std(),
		SlowStartDuration: config.WarmupDuration + slowStartMargin,
		QueryInterval:     limits.QueryInterval.Std(),
		DedupWindow:       config.DedupWindow,
		MaxRetryAfter:     config.MaxRetryAfter,
		Seed:              rand.Uint64(),
	})
}

// slowStartMargin is how much longer than a worker's warm-up the slow start may last.
const slowStartMargin = time.Second

// Attach sets the proxy and the balancer that the node acts on. It is called once, before anything runs.
func (n *Node) Attach(p *proxy.Proxy, shards *balancer.Shards) {
	n.proxy = p
	n.balancer = shards
}

// uptime returns the time since the process started, which is the clock of the state machine.
func (n *Node) uptime() time.Duration { return time.Since(n.startedAt) }

// errShutdownTimeout means that the disk did not finish in time.
var errShutdownTimeout = errors.New("the disk does not answer")

// Run recovers the dispatcher and persists its state until ctx ends. If the disk hangs then, Run returns after the
// identity timeout, and the goroutine that waits for the disk ends with the process. Operators would kill a process
// that does not end; either way the next incarnation treats this one as crashed.
func (n *Node) Run(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- n.run(ctx) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	select {
	case err := <-ended:
		return err
	case <-time.After(n.settings.Recovery.IdentityTimeout.Std()):
		n.log.Error().Err(errShutdownTimeout).Msg("shutdown not persisted")
		return nil
	}
}

// runIncarnation runs the goroutines of this node until ctx ends, or until the folder and the address are to be yielded.
// Then it releases both.
func (n *Node) runIncarnation(ctx context.Context) error {
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	goroutines, ctx := errgroup.WithContext(running)
	goroutines.Go(func() error {
		n.waitForYield(ctx)
		cancel()
		return nil
	})
	socket := n.resources().socket
	goroutines.Go(func() error { return socket.Run(ctx, n.receive) })
	for _, loop := range []func(context.Context){n.writeKeys, n.saveStates, n.tick} {
		goroutines.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	err := goroutines.Wait()
	n.release()
	return err
}

// sleep waits, and returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
