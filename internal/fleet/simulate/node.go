package simulate

import (
	"slices"
	"time"

	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/fleet/recovery"
	"canvasroute/internal/fleet/store"
)

// node is one dispatcher through its lives.
type node struct {
	w        *world
	number   int
	disk     *store.Memory
	doubt    bool          // its disk may lie, and its operators say so
	clock    time.Duration // by which its clock is off
	messages int

	up      bool
	life    int // of this simulation, so that events of one that has ended do nothing
	began   time.Duration
	stopped []time.Duration // its losses of power
	full    time.Duration
	phase   recovery.Phase
	core    *recovery.StateMachine
	keys    *recovery.Keys
	store   *store.Store
	durable uint64 // the life that is on disk
	failed  bool   // the disk has: no life is on it
	pending []recovery.PeerReply
	applied bool
}

// untold is how long before a loss the last keys of a dispatcher may have gone out unheard of.
const untold = 2200 * time.Millisecond

const (
	identityWithin = 2 * time.Second
	askEvery       = 100 * time.Millisecond
)

func (n *node) members() (names []string) {
	for k := range n.w.nodes {
		names = append(names, string(rune('A'+k%26))+string(rune('a'+k/26)))
	}
	return names
}

func (n *node) now() time.Duration { return n.w.now - n.began }

// wall is its clock's Unix time in ms; the world begins at an arbitrary one.
func (n *node) wall() int64 { return 1_700_000_000_000 + (n.w.now + n.clock).Milliseconds() }

// start begins a life.
func (n *node) start() {
	n.up, n.began, n.full, n.phase, n.applied, n.pending = true, n.w.now, 0, 0, false, nil
	n.life++
	n.core = recovery.New(recovery.Config{
		Members: n.members(), Self: n.number, IdentityTimeout: identityWithin,
		EndpointsTimeout: 3 * time.Second, PeersTimeout: time.Second, ProbeTimeout: 2 * time.Second,
		SlowStartDuration: ramp + time.Second, QueryInterval: askEvery, DedupWindow: window, MaxRetryAfter: 2 * time.Second,
		Seed: n.w.rng.Uint64(),
	})
	n.keys = recovery.NewKeys(window)
	s, found := store.Open(n.disk, n.members()[n.number])
	n.store, n.failed = s, false
	for _, k := range found.Keys {
		n.keys.Restore(messaging.Key(k))
	}
	token, least := n.w.rng.Uint64(), uint64(1)
	if found.State != nil {
		least = found.State.Incarnation + 1
	}
	bad := found.KeysSuspect || n.doubt && found.Known && !found.Incarnation.CleanShutdown
	life, err := s.Begin(found.Incarnation, least, token, bad, n.wall())
	if err != nil {
		n.failed = true
	}
	n.durable = life.Number
	n.core.IdentityStored(n.now(), life.Number, token, recovery.PreviousIncarnationOf(found, bad))
	n.core.EndpointsReceived(n.now(), false)
	n.settle()
	n.tick(n.life)
	n.learn(n.life)
	n.listen(n.life)
}

// stop is a loss of power.
func (n *node) stop() {
	n.up, n.stopped = false, append(n.stopped, n.w.now)
	n.life++
}

func (n *node) tick(life int) {
	if !n.up || n.life != life {
		return
	}
	if p := n.core.Phase(); p == recovery.Probing || p == recovery.SlowStart {
		n.core.SetCapacity(n.now(), n.w.capacity())
	}
	n.core.SetPersistedKeys(n.store.PersistedKeys())
	next := n.core.Tick(n.now())
	n.settle()
	n.w.after(min(max(next-n.now(), time.Millisecond), 100*time.Millisecond), func() { n.tick(life) })
}

// listen asks the list service until it tells.
func (n *node) listen(life int) {
	if !n.up || n.life != life {
		return
	}
	if n.w.list {
		n.core.EndpointsReceived(n.now(), true)
		n.settle()
		return
	}
	n.core.EndpointsUnavailable(n.now())
	n.settle()
	n.w.after(n.w.between(100*time.Millisecond, time.Second), func() { n.listen(life) })
}

func (n *node) learn(life int) {
	if !n.up || n.life != life {
		return
	}
	if n.applied {
		//nolint:errcheck // a disk that fails here is played by the script; facts that are lost are no breach
		n.store.SaveState(store.State{WrittenAt: n.wall(), Learned: []byte("{}"), Peers: n.core.Peers()})
	}
	n.w.after(time.Second, func() { n.learn(life) })
}

func (n *node) hear(from int, m *messaging.Message) {
	n.core.Receive(n.now(), from, m)
	n.settle()
}

// settle does what the core wants done, and holds the invariants of each step.
func (n *node) settle() {
	out := n.core.TakeActions()
	for _, s := range out.Transitions {
		n.judgeStep(s)
	}
	if out.SetKeysSuspect != nil {
		//nolint:errcheck // failed stands for a life that could not be raised; setting it here would ease the check
		n.store.SetKeysSuspect(*out.SetKeysSuspect)
	}
	if out.RaiseIncarnation > 0 {
		if err := n.store.RaiseIncarnation(out.RaiseIncarnation); err != nil {
			n.failed = true
		}
		n.durable = out.RaiseIncarnation
		n.core.IncarnationRaised(n.now(), out.RaiseIncarnation)
	}
	n.pending = append(n.pending, out.Replies...)
	if n.core.Phase() >= recovery.Probing && n.core.Phase() != recovery.Superseded {
		n.applied = true
		for _, m := range n.pending {
			for _, k := range m.Keys {
				n.keys.AddFromPeer(k)
			}
		}
		n.pending = nil
	}
	for _, m := range out.Messages {
		if m.Incarnation > n.durable && !n.failed {
			n.w.broken("%d: speaks as life %d, %d is on its disk", n.number, m.Incarnation, n.durable)
		}
		n.w.send(n.number, m.To, m.Message)
	}
	for _, q := range out.Queries {
		k := recovery.LocalKnowledge{Keys: n.keys.ForPeers(n.wall(), n.now()), MaxObserved: map[string]float64{"std": 3}}
		if q.WantWorkers {
			for host := range n.w.plan.Workers {
				k.Workers = append(k.Workers, messaging.Worker{ID: string(rune('a'+host%26)) + "-worker", StartedAt: 1 << 40})
			}
		}
		for _, m := range n.core.Reply(q, k) {
			n.w.send(n.number, q.From, &m)
		}
	}
}

// judgeStep holds that phases grow, and that nobody serves before it may.
func (n *node) judgeStep(s recovery.Transition) {
	if s.Phase < n.phase {
		n.w.broken("%d: %v after %v", n.number, s.Phase, n.phase)
	}
	n.phase = s.Phase
	switch s.Phase {
	case recovery.Probing:
		whole, of := n.core.PeersAnswered()
		if whole < of && n.now() < time.Second {
			n.w.broken("%d: serves after %v, with %d of %d answers", n.number, n.now(), whole, of)
		}
		if n.core.Outage() == recovery.OnlyThis {
			for _, other := range n.w.nodes {
				if other != n && (!other.up || other.core.Phase() != recovery.Serving) {
					if other.up || n.w.now-other.began > time.Second+n.now() {
						n.w.broken("%d: alone was away, says it, and %d does not serve", n.number, other.number)
					}
				}
			}
		}
	case recovery.Serving:
		n.full = n.w.now
	}
}

func (n *node) serves() bool {
	return n.up && n.core.Phase() >= recovery.Probing && n.core.Phase() != recovery.Superseded
}

// invoke lets an invocation in, if it may come, and ends it a while later.
func (n *node) invoke() {
	if ok, _ := n.core.Admit(n.now(), 200*time.Millisecond); !ok {
		return
	}
	life, success := n.life, n.w.workUp
	n.w.after(n.w.between(50*time.Millisecond, 400*time.Millisecond), func() {
		if n.up && n.life == life {
			n.core.RequestEnded(n.now(), success)
			n.settle()
		}
	})
}

// keep sends an invocation under a key out, once its key is on disk; else it does not go.
func (n *node) keep(key sent) bool {
	k := store.Key{Sum: key.sum, Worker: "w", Zone: key.zone, SentAt: n.wall(), ExpiresAt: n.wall() + window.Milliseconds()}
	if n.store.AppendKeys([]store.Key{k}, n.wall()) != nil {
		return false
	}
	n.keys.AddSent(messaging.Key(k))
	return true
}

// repeat is a client's marked repeat. One whose first try went out before this dispatcher came back must go to
// its group, or be an error, for as long as the group's window lasts.
func (n *node) repeat(key sent) {
	found, known, err := n.keys.Find(key.sum, true, n.core.PeerKeysPending(n.now()), n.wall(), n.now())
	before := key.at < n.began && n.w.now < key.at+window && !key.unsure
	what := "anew"
	switch {
	case err != nil:
		what = "error"
	case known:
		what = "group"
	}
	if before {
		n.w.result.Repeats[what]++
	}
	switch {
	case before && what == "anew":
		n.w.broken("%d: a repeat of key %d, sent at %v, goes anywhere", n.number, key.sum, key.at)
	case known && err == nil && found.Zone != key.zone:
		n.w.broken("%d: a repeat of key %d goes to %s, it had gone to %s", n.number, key.sum, found.Zone, key.zone)
	}
}

// spoil makes of the disk what is left of it after a loss of power.
func (n *node) spoil(how string, old *store.Memory, other *store.Memory) {
	w := n.w
	n.disk = n.disk.Restart(0)
	switch how {
	case "gone":
		n.disk = store.NewMemory()
	case "torn":
		n.disk.Tear(w.rng.Uint64())
	case "old":
		if old != nil {
			n.disk = old.Restart(0)
			for k := range w.keys { // the last beat, and the last write of those who heard it, are a second old each
				key := &w.keys[k]
				tail := func(stop time.Duration) bool { return key.at <= stop && key.at > stop-untold }
				if key.by == n.number && slices.ContainsFunc(n.stopped, tail) {
					key.unsure = true
				}
			}
		}
	case "swapped":
		n.disk = other.Restart(0)
	case "full":
		n.disk.WriteError = errFull
	}
}

var disks = []string{"kept", "gone", "torn", "old", "swapped", "full"}

func drawnDisk(w *world, kinds []string) string {
	if len(kinds) == 0 {
		return "kept"
	}
	return kinds[w.rng.IntN(len(kinds))]
}
