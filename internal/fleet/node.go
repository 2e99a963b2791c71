// Package fleet recovers dispatchers of a fleet after an outage. It is used only if operators have configured a fleet
// file.
//
// The package reads the fleet file. Its Node persists the data that a dispatcher needs after a restart, queries the
// peers, and applies the decisions of package recovery to the proxy and the balancer.
//
// Package recovery defines the phases, package store the format of records, and package messaging the format of
// messages. Package fleet routes no requests.
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

// Config describes the dispatcher that a Node belongs to.
type Config struct {
	Name           string               // of the dispatcher
	Position       int                  // among the members
	SettingsHash   string               // hash of the settings in use, for operators who inspect the stored state
	Kinds          []string             // names of the kinds of workers, by balancer.KindID
	DedupWindow    time.Duration        // longest duration for which workers drop repeats of a key
	WarmupDuration time.Duration        // duration from a worker's start until it is warm
	MaxRetryAfter  time.Duration        // maximum retry delay advised to clients, 0 to give no advice
	IsSuccessor    bool                 // this process is the successor in a hot restart
	Now            func() balancer.Time // clock of the balancer
	Log            zerolog.Logger
}

// Node recovers one dispatcher, and persists the data for its next recovery. After Attach its methods are safe for
// concurrent use.
type Node struct {
	settings  *Settings
	config    Config
	log       zerolog.Logger
	startedAt time.Time // of the process

	proxy    *proxy.Proxy     // set by Attach
	balancer *balancer.Shards // set by Attach

	keyWriter         *keyWriter
	tickRequests      chan struct{}             // wakes runTicks
	ownerChanges      chan resourceOwner        // sent by YieldResources and ReclaimResources
	storedMaxObserved func() map[string]float64 // by kind of worker, from the recovered state; decoded on the first call

	mu             sync.Mutex // guards the fields below; never held during a disk write
	machine        *recovery.StateMachine
	keys           *recovery.Keys
	owned          ownedResources
	folderState    folderState
	keysUnread     bool                 // another process of this name may have written keys that this one has not read
	recovered      store.Recovered      // data in the folder when this process acquired it
	takingOver     bool                 // this process takes over from its predecessor, or from a successor that exited
	replies        []recovery.PeerReply // not yet merged
	restoreStarted bool                 // restoring the recovered state has started
	restored       bool                 // the recovered state has been restored, so requests may be admitted
	phaseReason    string               // why the phase started, for logs and responses to operators
	counters       counters
}

// folderState is the progress of acquiring the state folder.
type folderState uint8

const (
	folderPending folderState = iota // this process is about to begin an incarnation in the folder
	folderInUse                      // the incarnation has begun; there may be no usable folder
	folderYielded                    // another process of this name uses the folder
)

// ownedResources are the resources that only one process of a name may own. While another process owns them, folder and
// store are nil, and socket is closed, or nil if this process has not owned them before.
type ownedResources struct {
	folder *store.Folder // also nil if the folder is unusable
	store  *store.Store  // nil if folder is nil
	socket *messaging.Socket
}

// NameConflictError reports that another process, which is not the predecessor, owns the folder or the address of this
// dispatcher.
type NameConflictError struct {
	Name string // name of the dispatcher
	Err  error  // store.ErrLocked or the error of the socket
}

// Error returns a message with the name and the underlying error.
func (e *NameConflictError) Error() string {
	return fmt.Sprintf("another process uses the dispatcher name %q: %v", e.Name, e.Err)
}

// Unwrap returns the underlying error.
func (e *NameConflictError) Unwrap() error { return e.Err }

// Open returns a node that has locked and read the folder and listens on its address. A successor does both later, in
// Run. Open fails with a NameConflictError if another process has not released them within the identity timeout.
func Open(ctx context.Context, settings *Settings, config Config) (*Node, error) {
	n := &Node{
		settings:     settings,
		config:       config,
		log:          config.Log,
		startedAt:    time.Now(),
		keyWriter:    newKeyWriter(settings.Recovery.KeyTimeout.Std()),
		tickRequests: make(chan struct{}, 1),
		ownerChanges: make(chan resourceOwner, maxOwnerChanges),
		machine:      newStateMachine(settings, &config),
		keys:         recovery.NewKeys(config.DedupWindow),
		takingOver:   config.IsSuccessor,
		keysUnread:   config.IsSuccessor,
	}
	n.storedMaxObserved = sync.OnceValue(n.readStoredMaxObserved)
	if n.takingOver {
		return n, nil
	}
	deadline := time.Now().Add(settings.Recovery.IdentityTimeout.Std())
	for {
		err := n.acquireResources()
		if err == nil {
			return n, nil
		}
		if time.Now().After(deadline) || !sleep(ctx, settings.Recovery.QueryInterval.Std()) {
			return nil, &NameConflictError{Name: config.Name, Err: err}
		}
	}
}

// newStateMachine returns a state machine configured from the settings.
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

// slowStartMargin is added to the warm-up duration of a worker to get the maximum duration of the slow start.
const slowStartMargin = time.Second

// Attach sets the proxy and the balancer of the node. It must be called once, before Run and before the first request.
func (n *Node) Attach(p *proxy.Proxy, shards *balancer.Shards) {
	n.proxy = p
	n.balancer = shards
}

// uptime returns the time since the process started, as used by the state machine.
func (n *Node) uptime() time.Duration { return time.Since(n.startedAt) }

// errShutdownTimeout reports that the final disk writes did not complete in time.
var errShutdownTimeout = errors.New("the disk did not respond in time")

// Run recovers the dispatcher and persists its state until ctx ends. If the disk hangs at shutdown, Run returns after
// the identity timeout, so that operators do not have to kill the process. The goroutine that waits for the disk then
// runs until the process exits. The clean shutdown is not persisted in this case, so the next incarnation treats this
// one as crashed.
func (n *Node) Run(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- n.runIncarnations(ctx) }()
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

// runIncarnation runs the goroutines of this node until ctx ends or the folder and the address must be yielded. It then
// releases both.
func (n *Node) runIncarnation(ctx context.Context) error {
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	goroutines, ctx := errgroup.WithContext(running)
	goroutines.Go(func() error {
		n.waitForYield(ctx)
		cancel()
		return nil
	})
	socket := n.currentResources().socket
	goroutines.Go(func() error { return socket.Run(ctx, n.receive) })
	for _, loop := range []func(context.Context){n.writeKeys, n.saveStatePeriodically, n.runTicks} {
		goroutines.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	err := goroutines.Wait()
	n.releaseResources()
	return err
}

// sleep waits for the duration, and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
