package simulate

import (
	"cmp"
	"slices"
	"time"

	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/fleet/recovery"
	"canvasroute/internal/fleet/store"
)

// node is one dispatcher across its incarnations. It executes the actions of the state machine with a simulated disk
// and network, in the same order as fleet.Node.
type node struct {
	world          *world
	position       int // in the list of members
	disk           *store.Memory
	unreliableDisk bool            // the disk may drop syncs, and the settings declare it unreliable
	clockOffset    time.Duration   // of its wall clock
	messages       int             // number of messages sent
	powerLosses    []time.Duration // times of its power losses

	up        bool
	runNumber int           // number of starts and stops, so that events of an exited process are ignored
	startedAt time.Duration // time of the last start

	// State of the running process.
	machine     *recovery.StateMachine
	keys        *recovery.Keys
	store       *store.Store
	incarnation uint64               // the incarnation on disk
	diskFailed  bool                 // an incarnation could not be written
	restored    bool                 // the phase has admitted requests, so the state may be written
	replies     []recovery.PeerReply // not yet merged
	phase       recovery.Phase       // the current phase
	servingAt   time.Duration        // time of the transition to Serving, 0 before it
}

// The settings of each dispatcher.
const (
	identityTimeout  = 2 * time.Second
	endpointsTimeout = 3 * time.Second
	peersTimeout     = time.Second
	probeTimeout     = 2 * time.Second
	slowStartMargin  = time.Second // by which the slow start may exceed the warm-up
	queryInterval    = 100 * time.Millisecond
	stateInterval    = time.Second // between writes of the state
	maxRetryAfter    = 2 * time.Second
)

const (
	minTick = time.Millisecond
	maxTick = 100 * time.Millisecond
	// The range of the delay until a dispatcher retries a failed poll of the discovery service.
	minPollInterval = 100 * time.Millisecond
	maxPollInterval = time.Second
	// wallClockStart is the Unix time in ms at which histories begin.
	wallClockStart = 1_700_000_000_000
	// workerStart is the start time of the workers in replies, as Unix time in ms.
	workerStart = 1 << 40
	// observedSlots is the highest observed concurrency of workers in replies.
	observedSlots = 3
)

// letterCount is the number of letters used in names.
const letterCount = 'z' - 'a' + 1

// memberNames returns the names of all dispatchers by position.
func (w *world) memberNames() (names []string) {
	for position := range w.nodes {
		first := rune('A' + position%letterCount)
		second := rune('a' + position/letterCount)
		names = append(names, string(first)+string(second))
	}
	return names
}

// uptime returns the time since the process started.
func (n *node) uptime() time.Duration { return n.world.now - n.startedAt }

// wallClock returns the Unix time in ms according to the dispatcher's clock.
func (n *node) wallClock() int64 {
	return wallClockStart + (n.world.now + n.clockOffset).Milliseconds()
}

// start starts a process with the current contents of the disk.
func (n *node) start() {
	n.up = true
	n.runNumber++
	n.startedAt = n.world.now
	n.servingAt = 0
	n.phase = 0
	n.restored = false
	n.replies = nil
	n.machine = recovery.New(recovery.Config{
		Members:           n.world.memberNames(),
		Self:              n.position,
		IdentityTimeout:   identityTimeout,
		EndpointsTimeout:  endpointsTimeout,
		PeersTimeout:      peersTimeout,
		ProbeTimeout:      probeTimeout,
		SlowStartDuration: warmupDuration + slowStartMargin,
		QueryInterval:     queryInterval,
		DedupWindow:       dedupWindow,
		MaxRetryAfter:     maxRetryAfter,
		Seed:              n.world.rng.Uint64(),
	})
	n.openStore()
	n.machine.StoredEndpointsLoaded(n.uptime())
	n.executeActions()
	n.tick(n.runNumber)
	n.saveState(n.runNumber)
	n.pollDiscovery(n.runNumber)
}

// openStore reads the disk, restores the keys, and begins a new incarnation.
func (n *node) openStore() {
	s, recovered := store.Open(n.disk, n.world.memberNames()[n.position])
	n.store = s
	n.keys = recovery.NewKeys(dedupWindow)
	for _, key := range recovered.Keys {
		n.keys.Restore(messaging.Key(key))
	}
	if n.unreliableDisk {
		recovered.SuspectUnreliableDisk()
	}
	nonce := n.world.rng.Uint64()
	incarnation, err := s.Begin(store.BeginOptions{
		Previous:    recovered.Incarnation,
		MinNumber:   recovered.MinNextIncarnation(),
		Nonce:       nonce,
		KeysSuspect: recovered.KeysSuspect,
		At:          n.wallClock(),
	})
	n.diskFailed = err != nil
	n.incarnation = incarnation.Number
	n.machine.IdentityEstablished(n.uptime(), incarnation.Number, nonce, recovery.NewPreviousIncarnation(recovered))
}

// losePower ends the process.
func (n *node) losePower() {
	n.up = false
	n.runNumber++
	n.powerLosses = append(n.powerLosses, n.world.now)
}

// isRunning reports whether the process of the given run is still up.
func (n *node) isRunning(runNumber int) bool { return n.up && n.runNumber == runNumber }

// tick runs the due timers of the state machine, and schedules the next tick.
func (n *node) tick(runNumber int) {
	if !n.isRunning(runNumber) {
		return
	}
	if n.machine.Phase().UsesCapacity() {
		n.machine.SetCapacity(n.uptime(), n.world.capacity())
	}
	n.machine.SetPersistedKeys(n.store.PersistedKeys())
	next := n.machine.Tick(n.uptime())
	n.executeActions()
	wait := min(max(next-n.uptime(), minTick), maxTick)
	n.world.after(wait, func() { n.tick(runNumber) })
}

// pollDiscovery polls the discovery service, and retries until a poll succeeds.
func (n *node) pollDiscovery(runNumber int) {
	if !n.isRunning(runNumber) {
		return
	}
	if n.world.discoveryUp {
		n.machine.EndpointsReceived(n.uptime())
		n.executeActions()
		return
	}
	n.machine.EndpointsUnavailable(n.uptime())
	n.executeActions()
	n.world.after(n.world.drawDuration(minPollInterval, maxPollInterval), func() { n.pollDiscovery(runNumber) })
}

// saveState writes the state if it was restored, and schedules the next write.
func (n *node) saveState(runNumber int) {
	if !n.isRunning(runNumber) {
		return
	}
	if n.restored {
		//nolint:errcheck // a disk that fails here is a drawn fault; lost state violates no invariant
		n.store.SaveState(store.State{WrittenAt: n.wallClock(), Learned: []byte("{}"), Peers: n.machine.Peers()})
	}
	n.world.after(stateInterval, func() { n.saveState(runNumber) })
}

// receive passes a message from a member to the state machine.
func (n *node) receive(from int, msg *messaging.Message) {
	n.machine.Receive(n.uptime(), from, msg)
	n.executeActions()
}

// executeActions executes the pending actions of the state machine, and checks the invariants of phase transitions and
// messages.
func (n *node) executeActions() {
	actions := n.machine.TakeActions()
	for _, transition := range actions.Transitions {
		n.checkTransition(transition)
	}
	n.persistKeysMark(actions.KeysMarkChange)
	if actions.RaiseIncarnation > 0 {
		n.raiseIncarnation(actions.RaiseIncarnation)
	}
	n.replies = append(n.replies, actions.Replies...)
	if n.machine.Phase().AdmitsRequests() {
		n.restored = true
		n.mergeReplies()
	}
	for _, msg := range actions.Messages {
		n.checkSentIncarnation(msg.Message)
		n.world.send(n.position, msg.To, msg.Message)
	}
	for _, query := range actions.Queries {
		n.reply(query)
	}
}

// persistKeysMark persists a change of the keys-suspect mark. It ignores errors, because they are injected faults:
// diskFailed means that an incarnation could not be written, and setting it here would weaken checkSentIncarnation.
func (n *node) persistKeysMark(mark recovery.KeysMarkChange) {
	switch mark {
	case recovery.MarkKeysSuspect:
		_ = n.store.MarkKeysSuspect()
	case recovery.ClearKeysSuspect:
		_ = n.store.ClearKeysSuspect()
	}
}

// raiseIncarnation persists a higher incarnation before the next message is sent.
func (n *node) raiseIncarnation(incarnation uint64) {
	if err := n.store.RaiseIncarnation(incarnation); err != nil {
		n.diskFailed = true
	}
	n.incarnation = incarnation
	n.machine.IncarnationRaised(n.uptime(), incarnation)
}

// mergeReplies adds the keys from the replies of peers.
func (n *node) mergeReplies() {
	for _, reply := range n.replies {
		for _, key := range reply.Keys {
			n.keys.AddFromPeer(key)
		}
	}
	n.replies = nil
}

// reply replies to a peer's query with this dispatcher's keys, observed concurrency and, if requested, workers.
func (n *node) reply(query recovery.Query) {
	local := recovery.LocalState{
		Keys:        n.keys.UnexpiredOwnKeys(n.wallClock(), n.uptime()),
		MaxObserved: map[string]float64{"std": observedSlots},
	}
	// The keys are sorted so that the contents of each part of the reply, and thus of lost parts, depend only on the
	// seed.
	slices.SortFunc(local.Keys, func(a, b messaging.Key) int {
		return cmp.Or(cmp.Compare(a.Sum, b.Sum), cmp.Compare(a.SentAt, b.SentAt), cmp.Compare(a.Worker, b.Worker))
	})
	if query.WantWorkers {
		for worker := range n.world.plan.Workers {
			id := string(rune('a'+worker%letterCount)) + "-worker"
			local.Workers = append(local.Workers, messaging.Worker{ID: id, StartedAt: workerStart})
		}
	}
	for _, msg := range n.machine.Reply(query, local) {
		n.world.send(n.position, query.From, &msg)
	}
}
