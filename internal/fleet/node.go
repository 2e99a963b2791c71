package fleet

import (
	"context"
	"encoding/json"
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
	"canvasroute/internal/protocol"
	"canvasroute/internal/proxy"
)

// Config are what a node is told of the dispatcher that it is part of.
type Config struct {
	Name           string
	Position       int
	SettingsHash   string // a hash of those that it goes by
	Kinds          []string
	DedupWindow    time.Duration // the longest of a dedup group
	WarmupDuration time.Duration // until a worker is warm
	MaxRetryAfter  time.Duration
	TakesOver      bool // it goes on for a predecessor, which leaves the folder and the address to it
	Now            func() balancer.Time
	Log            zerolog.Logger
}

// Node brings one dispatcher back, and keeps what it needs for the next time.
type Node struct {
	settings *Settings
	terms    Config
	log      zerolog.Logger
	began    time.Time
	keeping  chan kept
	stepped  chan struct{} // something is to be looked at
	yields   chan bool     // the folder and the address are left to a successor, or taken back

	mu      sync.Mutex // guards all below
	core    *recovery.StateMachine
	router  *proxy.Proxy
	facade  *balancer.Shards
	store   *store.Store // nil before the folder is held
	folder  *store.Folder
	found   store.Recovered
	socket  *messaging.Socket
	keys    *recovery.Keys
	failing bool                      // the disk
	answers []recovery.PeerReply      // that wait to be merged
	applied bool                      // what is trusted is being taken up
	open    bool                      // it has been: invocations may land
	reason  string                    // of the phase
	bore    func() map[string]float64 // what kinds bore by the disk, read from it once
	stats   stats
}

// stats are what the node's figures tell.
type stats struct {
	trusted, dropped   int64
	writes, failures   int64
	keysKept, keysLost int64
	barred, held       int64 // repeats that were an error, and that were held to a group
	turned             int64
}

// kept is a key on its way to the disk.
type kept struct {
	key  store.Key
	done chan error
}

// Open makes a node and reads the folder, unless a predecessor still holds it. It fails where another process,
// no predecessor, has the folder or the address: two must not go under one name.
func Open(ctx context.Context, s *Settings, t Config) (*Node, error) {
	n := &Node{
		settings: s, terms: t, log: t.Log, began: time.Now(), keeping: make(chan kept, 1024),
		stepped: make(chan struct{}, 1), yields: make(chan bool, 4), keys: recovery.NewKeys(t.DedupWindow),
	}
	n.bore = sync.OnceValue(n.readBears)
	r := &s.Recovery
	var members []string
	for _, m := range s.Members {
		members = append(members, m.Name)
	}
	n.core = recovery.New(recovery.Config{
		Members: members, Self: t.Position, IdentityTimeout: r.IdentityWithin.Std(),
		EndpointsTimeout: r.ListWithin.Std(), PeersTimeout: r.OthersWithin.Std(), ProbeTimeout: r.TrickleWithin.Std(),
		SlowStartDuration: t.WarmupDuration + time.Second, QueryInterval: r.AskEvery.Std(), DedupWindow: t.DedupWindow, MaxRetryAfter: t.MaxRetryAfter,
		Seed: rand.Uint64(),
	})
	if t.TakesOver {
		return n, nil
	}
	limit := time.Now().Add(r.IdentityWithin.Std())
	for {
		err := n.take()
		if err == nil {
			return n, nil
		}
		if time.Now().After(limit) || ctx.Err() != nil {
			return nil, fmt.Errorf("two that go under the name %q: %w", t.Name, err)
		}
		time.Sleep(r.AskEvery.Std())
	}
}

// take holds the folder and the address. Only what another process has fails; a folder that cannot be used is
// gone on without.
func (n *Node) take() error {
	folder, held, err := store.OpenFolder(n.settings.State.Folder)
	if errors.Is(err, store.ErrLocked) {
		return err
	}
	socket, listening := messaging.Listen(n.settings.listen, n.settings.addresses, n.log)
	if listening != nil {
		if folder != nil {
			listening = errors.Join(listening, folder.Close())
		}
		return listening
	}
	var s *store.Store
	found := store.Recovered{KeysSuspect: true}
	if folder != nil {
		s, found = store.Open(folder, n.terms.Name)
	}
	if err != nil {
		found.Errors = append(found.Errors, err)
	}
	if !held {
		found.Errors = append(found.Errors, errors.New("the folder cannot be written to"))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.socket, n.folder, n.store, n.found = socket, folder, s, found
	for _, lost := range found.Errors {
		n.log.Warn().Err(lost).Msg("state not believed")
		n.stats.dropped++
	}
	if found.Foreign {
		n.log.Warn().Str("folder", n.settings.State.Folder).Str("of", found.Incarnation.Name).
			Msg("state of another dispatcher: only its keys are taken")
	}
	for _, k := range found.Keys {
		n.keys.Restore(messaging.Key(k))
	}
	return nil
}

// InitialEndpoints is the newest list that a dispatcher starts with: that of its configuration, or that of its disk.
func (n *Node) InitialEndpoints(list *protocol.EndpointList) *protocol.EndpointList {
	l, ok := n.learnt()
	if !ok || list != nil && list.Version >= l.Version {
		return list
	}
	fresh := &protocol.EndpointList{Version: l.Version, Complete: true}
	for _, e := range l.Endpoints {
		if e.State != protocol.Gone {
			fresh.Endpoints = append(fresh.Endpoints, e)
		}
	}
	n.log.Info().Int64("version", l.Version).Int("workers", len(fresh.Endpoints)).
		Msg("the list on disk is newer than that of the configuration")
	return fresh
}

// learnt is what the disk held.
func (n *Node) learnt() (l proxy.Snapshot, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.found.State == nil {
		return l, false
	}
	if err := json.Unmarshal(n.found.State.Learned, &l); err != nil {
		n.log.Warn().Err(err).Msg("state not believed")
		n.found.State = nil
		n.stats.dropped++
		return l, false
	}
	return l, true
}

// Drained tells whether an operator had told this dispatcher to leave.
func (n *Node) Drained() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.found.Known && !n.found.Foreign && n.found.Incarnation.Drained
}

// Attach gives the node the router that it brings back. It is called before anything runs.
func (n *Node) Attach(r *proxy.Proxy, f *balancer.Shards) { n.router, n.facade = r, f }

func (n *Node) now() time.Duration { return time.Since(n.began) }

// Run brings the dispatcher back and keeps its state until ctx ends, and little longer: a process whose disk hangs
// would be killed by its operators, and is taken for one that crashed either way.
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
	case <-time.After(n.settings.Recovery.IdentityWithin.Std()):
		n.log.Error().Msg("the disk takes too long: this life ends as if by a crash")
		return nil
	}
}

func (n *Node) run(ctx context.Context) error {
	if n.terms.TakesOver {
		if !n.succeed(ctx) {
			return nil
		}
	}
	for {
		n.begin()
		err := n.hold(ctx)
		if err != nil || ctx.Err() != nil {
			return err
		}
		for yielded := true; yielded; { // until the successor has ended before this process
			select {
			case yielded = <-n.yields:
			case <-ctx.Done():
				return nil
			}
		}
		n.terms.TakesOver = true
		if !n.succeed(ctx) {
			return nil
		}
	}
}

// hold works while this process has the folder and the address: until ctx ends, or a successor is to have them.
func (n *Node) hold(ctx context.Context) error {
	holding, cancel := context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(holding)
	g.Go(func() error {
		defer cancel()
		for {
			select {
			case yield := <-n.yields:
				if yield {
					return nil
				}
			case <-ctx.Done():
				return nil
			}
		}
	})
	g.Go(func() error { return n.socket.Run(ctx, n.hear) })
	g.Go(func() error { return n.keep(ctx) })
	g.Go(func() error { return n.learn(ctx) })
	g.Go(func() error { return n.tick(ctx) })
	err := g.Wait()
	n.end()
	return err
}

// succeed waits until the predecessor has left the folder and the address.
func (n *Node) succeed(ctx context.Context) bool {
	n.mu.Lock()
	n.core.TakeOver(n.now(), 0, 0)
	n.open = true
	n.mu.Unlock()
	n.settle()
	for n.take() != nil {
		select {
		case <-time.After(n.settings.Recovery.AskEvery.Std()):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// begin makes this life durable, and goes on without that where the disk takes too long.
func (n *Node) begin() {
	n.mu.Lock()
	s, found := n.store, n.found
	n.mu.Unlock()
	token, least := rand.Uint64(), uint64(1)
	if found.State != nil {
		least = max(least, found.State.Incarnation+1)
	}
	bad := found.KeysSuspect || n.settings.State.Doubt && found.Known && !found.Incarnation.CleanShutdown
	life := store.Incarnation{Number: max(least, found.Incarnation.Number+1)}
	var stored store.Incarnation // not to be looked at before done tells
	done := make(chan error, 1)
	if s == nil {
		done <- errNoFolder
	} else {
		go func() {
			var err error
			stored, err = s.Begin(found.Incarnation, least, token, bad, time.Now().UnixMilli())
			done <- err
		}()
	}
	var err error
	select {
	case err = <-done:
		if err == nil {
			life = stored
		}
	case <-time.After(n.settings.Recovery.IdentityWithin.Std()):
		err = errors.New("the disk takes too long")
	}
	n.mu.Lock()
	if err != nil {
		n.log.Error().Err(err).Msg("this life is not on disk")
		n.stats.failures++
	}
	if n.terms.TakesOver {
		n.core.IncarnationRaised(n.now(), life.Number)
		n.core.TakeOver(n.now(), life.Number, token)
	} else {
		n.core.IdentityStored(n.now(), life.Number, token, recovery.PreviousIncarnationOf(found, bad))
	}
	n.mu.Unlock()
	n.settle()
}

// tick goes on by time, and looks at what workers bear while that counts.
func (n *Node) tick(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-n.stepped:
		case <-ctx.Done():
			return nil
		}
		n.mu.Lock()
		looks := n.core.Phase() == recovery.Probing || n.core.Phase() == recovery.SlowStart
		n.mu.Unlock()
		if looks {
			workers, bears, now := n.facade.Capacity()
			n.mu.Lock()
			n.core.SetCapacity(n.now(), recovery.Capacity{Workers: workers, Warm: bears, Now: now})
			n.mu.Unlock()
		}
		n.mu.Lock()
		if n.store != nil {
			n.core.SetPersistedKeys(n.store.PersistedKeys())
		}
		next := n.core.Tick(n.now())
		n.mu.Unlock()
		n.settle()
		wait := max(next-n.now(), time.Millisecond)
		if looks {
			wait = min(wait, lookEvery)
		}
		timer.Reset(wait)
	}
}

// lookEvery is how often what workers bear is looked at.
const lookEvery = 50 * time.Millisecond

// hear takes a message.
func (n *Node) hear(from int, m *messaging.Message) {
	n.mu.Lock()
	n.core.Receive(n.now(), from, m)
	n.mu.Unlock()
	n.settle()
}

// settle does what the core wants done.
func (n *Node) settle() {
	n.mu.Lock()
	out := n.core.TakeActions()
	for _, s := range out.Transitions {
		n.reason = s.Reason
		n.log.Info().Stringer("phase", s.Phase).Str("why", s.Reason).Dur("at_ms", s.At).Stringer("case", n.core.Outage()).
			Msg("returning")
	}
	n.answers = append(n.answers, out.Replies...)
	ready := n.core.Phase() >= recovery.Probing && n.core.Phase() != recovery.Superseded
	first := ready && !n.applied && !n.terms.TakesOver
	n.applied = n.applied || ready
	var answers []recovery.PeerReply
	if n.applied {
		answers, n.answers = n.answers, nil
	}
	n.mu.Unlock()
	if out.SetKeysSuspect != nil && n.store != nil {
		n.told(n.store.SetKeysSuspect(*out.SetKeysSuspect))
	}
	if out.RaiseIncarnation > 0 {
		n.raise(out.RaiseIncarnation)
	}
	if first {
		n.apply(answers)
		n.mu.Lock()
		n.open = true
		n.mu.Unlock()
	} else if len(answers) > 0 {
		n.merge(answers)
	}
	for _, m := range out.Messages {
		n.socket.Send(m.To, m.Message)
	}
	if len(out.Queries) > 0 {
		n.reply(out.Queries)
	}
}

// told tells of a write that failed.
func (n *Node) told(err error) {
	if err != nil {
		n.log.Error().Err(err).Msg("this life is not on disk as it is")
	}
}

// raise makes a higher life durable before another word is said under it.
func (n *Node) raise(life uint64) {
	n.log.Warn().Uint64("life", life).Msg("others know of a later life: raised")
	if n.store != nil {
		n.told(n.store.RaiseIncarnation(life))
	}
	n.mu.Lock()
	n.core.IncarnationRaised(n.now(), life)
	n.mu.Unlock()
}

// Ready is nil once clients may come.
func (n *Node) Ready() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.core.Phase(); !n.open || p == recovery.Superseded {
		return fmt.Errorf("returning, %v: %s", p, n.reason)
	}
	return nil
}

// EndpointsReceived tells that the list service has told its list.
func (n *Node) EndpointsReceived() {
	n.mu.Lock()
	n.core.EndpointsReceived(n.now(), true)
	n.mu.Unlock()
	n.wake()
}

// EndpointsUnavailable tells that the list service was asked in vain, or no longer tells.
func (n *Node) EndpointsUnavailable() {
	n.mu.Lock()
	n.core.EndpointsUnavailable(n.now())
	n.mu.Unlock()
	n.wake()
}

// PredecessorServed tells that the router has a list to serve by, if an old one.
func (n *Node) PredecessorServed() {
	n.mu.Lock()
	n.core.EndpointsReceived(n.now(), false)
	n.mu.Unlock()
}

func (n *Node) wake() {
	select {
	case n.stepped <- struct{}{}:
	default:
	}
}

// Admit tells whether an invocation may come in yet.
func (n *Node) Admit(l balancer.Arrival) (func(bool), time.Duration, bool) {
	n.mu.Lock()
	full, open := n.core.Phase() == recovery.Serving, n.open
	n.mu.Unlock()
	if !open { // nothing may land before what is trusted has been taken up
		return nil, n.terms.MaxRetryAfter, false
	}
	if full {
		return func(bool) {}, 0, true
	}
	size := l.SizeHint
	if size == 0 {
		size = n.facade.MedianSize()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	ok, comeBack := n.core.Admit(n.now(), balancer.Time(size).Duration())
	if !ok {
		n.stats.turned++
		return nil, comeBack, false
	}
	return func(succeeded bool) {
		n.mu.Lock()
		n.core.RequestEnded(n.now(), succeeded)
		n.mu.Unlock()
		n.wake()
	}, 0, true
}

// YieldSocket leaves the folder and the address to a successor, or takes them back as that one has ended.
func (n *Node) YieldSocket(yield bool) {
	select {
	case n.yields <- yield:
	default: // it has as many to go through already
	}
}

// end writes what was learnt last, and that this life has ended in order.
func (n *Node) end() {
	_ = n.socket.Close() // its Run closes it too, and the second of the two fails
	n.write()
	n.mu.Lock()
	s, folder := n.store, n.folder
	n.store, n.folder = nil, nil
	n.mu.Unlock()
	if s != nil {
		if err := s.MarkCleanShutdown(); err != nil {
			n.log.Warn().Err(err).Msg("state: the end")
		}
	}
	if folder != nil {
		if err := folder.Close(); err != nil {
			n.log.Warn().Err(err).Msg("state: the end")
		}
	}
}
