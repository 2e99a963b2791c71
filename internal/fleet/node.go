// Package fleet lets the dispatchers of a fleet return to service after an outage, where operators have written a fleet
// file. It reads that file; its Node persists what a dispatcher needs after a restart, asks the peers, and carries out what
// package recovery decides on the proxy and the balancer. Without the file none of it runs.
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
	Name           string
	Position       int           // among the members
	SettingsHash   string        // of the settings in use, for operators who look at the stored state
	Kinds          []string      // of workers, by balancer.KindID
	DedupWindow    time.Duration // the longest in which workers drop the repeats of a key
	WarmupDuration time.Duration // until a worker is warm
	MaxRetryAfter  time.Duration // the most that a client is advised to wait
	IsSuccessor    bool          // it is the successor in an upgrade: the predecessor leaves it the folder and the address
	Now            func() balancer.Time
	Log            zerolog.Logger
}

// Node recovers one dispatcher, and persists what it needs for the next recovery. Its methods may be called by several
// goroutines, after Attach.
type Node struct {
	settings  *Settings
	config    Config
	log       zerolog.Logger
	startedAt time.Time

	proxy    *proxy.Proxy     // from Attach
	balancer *balancer.Shards // from Attach

	keyWriter      *keyWriter
	stateChanged   chan struct{}             // the state machine is to be called
	yields         chan bool                 // true from YieldSocket, false from ReclaimSocket
	storedCapacity func() map[string]float64 // by kind of worker, from the recovered state; decoded once

	mu          sync.Mutex // guards the fields below; never held during a write to disk
	machine     *recovery.StateMachine
	keys        *recovery.Keys
	owned       ownedResources
	recovered   store.Recovered
	successor   bool                 // it takes over from another process
	replies     []recovery.PeerReply // not merged yet
	applied     bool                 // the recovered state is or was being restored
	admitting   bool                 // it has been restored: requests may come
	phaseReason string               // why the phase began
	counters    counters
}

// ownedResources are what only one process of a name may have. All are nil while another process has them.
type ownedResources struct {
	folder *store.Folder // also nil if the folder cannot be used
	store  *store.Store  // nil with folder
	socket *messaging.Socket
}

// NameConflictError means that another process, which is no predecessor, has the folder or the address of this dispatcher.
type NameConflictError struct {
	Name string
	Err  error // store.ErrLocked, or the error of the socket
}

// Error names the dispatcher and what is taken.
func (e *NameConflictError) Error() string {
	return fmt.Sprintf("two that go under the name %q: %v", e.Name, e.Err)
}

// Unwrap returns what is taken.
func (e *NameConflictError) Unwrap() error { return e.Err }

// Open returns a node that has locked and read the folder and listens at its address; a successor waits for both until it
// runs. It fails with a NameConflictError if another process has not left them within the identity timeout.
func Open(ctx context.Context, settings *Settings, config Config) (*Node, error) {
	n := &Node{
		settings: settings, config: config, log: config.Log, startedAt: time.Now(),
		keyWriter:    newKeyWriter(settings.Recovery.KeyTimeout.Std()),
		stateChanged: make(chan struct{}, 1),
		yields:       make(chan bool, 4), // more than an upgrade needs
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
	for _, m := range settings.Members {
		members = append(members, m.Name)
	}
	r := &settings.Recovery
	return recovery.New(recovery.Config{
		Members: members, Self: config.Position,
		IdentityTimeout:   r.IdentityTimeout.Std(),
		EndpointsTimeout:  r.EndpointsTimeout.Std(),
		PeersTimeout:      r.PeersTimeout.Std(),
		ProbeTimeout:      r.ProbeTimeout.Std(),
		SlowStartDuration: config.WarmupDuration + slowStartMargin,
		QueryInterval:     r.QueryInterval.Std(),
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

// Run recovers the dispatcher and persists its state until ctx ends. If the disk hangs then, Run returns after the identity
// timeout, and leaves the goroutine that waits for the disk to the end of the process: operators would kill a process that
// does not end, and either way the next incarnation treats this one as crashed.
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

// run serves in turn with other processes of this name: until it yields to a successor, and again if that one fails.
func (n *Node) run(ctx context.Context) error {
	for {
		if n.isSuccessor() && !n.waitForPredecessor(ctx) {
			return nil
		}
		n.beginIncarnation()
		err := n.runIncarnation(ctx)
		if err != nil || ctx.Err() != nil {
			return err
		}
		if !n.waitForSuccessorEnd(ctx) {
			return nil
		}
		n.mu.Lock()
		n.successor = true
		n.mu.Unlock()
	}
}

func (n *Node) isSuccessor() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.successor
}

// waitForPredecessor serves at once, and waits until the predecessor has left the folder and the address. It returns false
// if ctx ends before.
func (n *Node) waitForPredecessor(ctx context.Context) bool {
	n.mu.Lock()
	n.machine.TakeOver(n.uptime(), 0, 0) // the incarnation is not known before the folder is read
	n.admitting = true
	n.mu.Unlock()
	n.carryOut()
	for n.acquire() != nil {
		if !sleep(ctx, n.settings.Recovery.QueryInterval.Std()) {
			return false
		}
	}
	return true
}

// waitForSuccessorEnd waits until a successor has ended before this process. It returns false if ctx ends before.
func (n *Node) waitForSuccessorEnd(ctx context.Context) bool {
	for {
		select {
		case yielded := <-n.yields:
			if !yielded {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// runIncarnation runs the goroutines of this node until ctx ends or the folder and the address are to be yielded, and then
// gives both up.
func (n *Node) runIncarnation(ctx context.Context) error {
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(running)
	g.Go(func() error {
		n.waitForYield(ctx)
		cancel()
		return nil
	})
	socket := n.resources().socket
	g.Go(func() error { return socket.Run(ctx, n.receive) })
	for _, loop := range []func(context.Context){n.writeKeys, n.saveStates, n.tick} {
		g.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	err := g.Wait()
	n.release()
	return err
}

// waitForYield returns when a successor is to have the folder and the address, or ctx ends.
func (n *Node) waitForYield(ctx context.Context) {
	for {
		select {
		case yielded := <-n.yields:
			if yielded {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// YieldSocket leaves the folder and the address to a successor. It does not wait.
func (n *Node) YieldSocket() { n.requestYield(true) }

// ReclaimSocket takes the folder and the address back once the successor has ended. It does not wait.
func (n *Node) ReclaimSocket() { n.requestYield(false) }

func (n *Node) requestYield(yield bool) {
	select {
	case n.yields <- yield:
	default: // as many are waiting already
	}
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
