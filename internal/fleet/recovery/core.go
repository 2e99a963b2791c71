// Package recovery brings a dispatcher back: which life this is, what of before is trusted, what others know, and
// in which order it serves again. It does no I/O and has no clock: events go in with the time, and what is to be
// done comes out.
package recovery

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/fleet/store"
)

// Phase is how far a dispatcher has returned. Within one life it only grows.
type Phase uint8

// The values of Phase, in the order in which a dispatcher goes through them.
const (
	EstablishingIdentity Phase = iota // which life this is
	AwaitingEndpoints                 // which workers there are
	QueryingPeers                     // what others know
	Probing                           // a few invocations, to see how workers are
	SlowStart                         // as many as workers bear by now
	Serving                           // all that comes
	Superseded                        // another process goes under this name: this one never serves
)

var phaseNames = [...]string{"identity", "list", "others", "trickle", "ramp", "full", "superseded"}

func (p Phase) String() string { return phaseNames[p] }

// Outage is who was away, as it follows from the answers.
type Outage uint8

// The values of Case.
const (
	Undecided Outage = iota
	OnlyThis         // all others serve: they know better than this disk
	Partial          // some serve
	FleetWide        // nobody serves: the newest of what all disks hold counts, merged to the careful side
)

var caseNames = [...]string{"undecided", "alone", "some", "all"}

func (c Outage) String() string { return caseNames[c] }

// Config are what a core is told at its start.
type Config struct {
	Members           []string // all dispatchers that may exist, by number
	Self              int
	IdentityTimeout   time.Duration // for the store
	EndpointsTimeout  time.Duration // for the list service, until the last list serves
	PeersTimeout      time.Duration // for the others' answers
	ProbeTimeout      time.Duration // for a first success
	SlowStartDuration time.Duration // for workers to be warm
	QueryInterval     time.Duration // between questions to one that has not answered, growing to sixteen times as much
	DedupWindow       time.Duration // the longest of a dedup group
	MaxRetryAfter     time.Duration // 0 where nobody may be told when to come back
	Seed              uint64
}

// member is one of the others.
type member struct {
	life, token uint64
	kept        uint64        // keys made durable in that life
	was         PeerProgress  // how far it had come in the life before, as it may ask for that in this one
	heardAt     time.Duration // when last, -1 for never in this life
	phase       Phase
	number      uint32 // of the question that parts answer
	parts       []bool
	want        bool // it is asked of workers too
	whole       bool // it has answered all of a question
	settled     bool // it has done so since it knows whether its own disk is to be believed
	keysBad     bool
	askAt       time.Duration
	askedAt     time.Duration
	asks        int
}

// Addressed is a message to a member.
type Addressed struct {
	To int
	*messaging.Message
}

// PeerReply is a part of an answer, and which member it is of.
type PeerReply struct {
	Member int
	*messaging.Message
}

// Query is one to be answered with what is known here.
type Query struct {
	From        int
	Number      uint32
	WantWorkers bool // workers too
	Nonce       uint64
}

// Transition is a phase that has begun, and why.
type Transition struct {
	Phase  Phase
	At     time.Duration
	Reason string
}

// Actions is what is to be done.
type Actions struct {
	Messages         []Addressed
	Queries          []Query
	RaiseIncarnation uint64 // a life to be made durable before anything else is sent, 0 for none
	SetKeysSuspect   *bool  // whether keys of before may be missing, to be made durable too
	Transitions      []Transition
	Replies          []PeerReply // parts of answers, to be merged
}

// StateMachine is the return of one dispatcher.
type StateMachine struct {
	terms   Config
	rng     *rand.Rand
	now     time.Duration // since this process's start
	phase   Phase
	since   time.Duration
	who     Outage
	life    uint64
	token   uint64
	asking  uint32
	members []member
	out     Actions

	stored, listed, fresh bool
	unlisted              bool                // the list service has been asked in vain
	keysBad               bool                // of this dispatcher's own disk
	was                   PreviousIncarnation // what that told
	kept                  uint64              // keys made durable in this life
	beatAt                time.Duration
	elders                int           // of those who serve, that were asked of workers
	began                 time.Duration // when the life was known: keys of before count for a window from here
	capacity              Capacity
	load                  load
}

// New begins a return. It serves nobody before its first steps.
func New(t Config) *StateMachine {
	c := &StateMachine{terms: t, rng: rand.New(rand.NewPCG(t.Seed, uint64(t.Self)))}
	for range t.Members {
		c.members = append(c.members, member{heardAt: -1})
	}
	c.out.Transitions = append(c.out.Transitions, Transition{Phase: EstablishingIdentity, Reason: "started"})
	return c
}

// Phase is the current phase of the recovery.
func (c *StateMachine) Phase() Phase { return c.phase }

// Outage is who was away, as far as it is known.
func (c *StateMachine) Outage() Outage { return c.who }

// Incarnation is the number of this life.
func (c *StateMachine) Incarnation() uint64 { return c.life }

// Since is when the current phase began.
func (c *StateMachine) Since() time.Duration { return c.since }

// Peers is how far others have come, by name.
func (c *StateMachine) Peers() map[string]PeerProgress {
	seen := map[string]PeerProgress{}
	for n, m := range c.members {
		if m.life > 0 {
			seen[c.terms.Members[n]] = PeerProgress{
				Incarnation: m.life, Nonce: m.token, PersistedKeys: m.kept,
				PreviousIncarnation: m.was.Incarnation, PreviousNonce: m.was.Nonce, PreviousPersistedKeys: m.was.PersistedKeys,
			}
		}
	}
	return seen
}

// PeersAnswered counts the others that have answered a question whole.
func (c *StateMachine) PeersAnswered() (whole, of int) {
	for n := range c.members {
		if n != c.terms.Self && c.members[n].whole {
			whole++
		}
	}
	return whole, len(c.members) - 1
}

// TakeActions is what is to be done since the last call.
func (c *StateMachine) TakeActions() Actions {
	o := c.out
	c.out = Actions{}
	return o
}

// PeerProgress is how far another dispatcher had come in an earlier life of this one, or how far this one had.
type PeerProgress = store.PeerProgress

// PreviousIncarnation is what the disk told of before.
type PreviousIncarnation struct {
	Incarnation, PersistedKeys uint64                  // of this dispatcher
	KeysSuspect                bool                    // keys which it sent out may be missing
	Peers                      map[string]PeerProgress // what it had heard of others
}

// PreviousIncarnationOf is what a folder held; bad tells whether keys may be missing.
func PreviousIncarnationOf(found store.Recovered, bad bool) PreviousIncarnation {
	was := PreviousIncarnation{Incarnation: found.Incarnation.Number, PersistedKeys: found.PersistedKeys, KeysSuspect: bad}
	if found.State != nil {
		was.Peers = found.State.Peers
	}
	return was
}

// IdentityStored tells which life this is, as the store has made durable or could not.
func (c *StateMachine) IdentityStored(now time.Duration, life, token uint64, was PreviousIncarnation) {
	c.now = now
	if c.stored {
		return
	}
	c.stored, c.life, c.token, c.was, c.keysBad, c.began = true, life, token, was, was.KeysSuspect, now
	for n := range c.members {
		if seen, known := was.Peers[c.terms.Members[n]]; known && n != c.terms.Self {
			m := &c.members[n]
			m.life, m.token, m.kept = seen.Incarnation, seen.Nonce, seen.PersistedKeys
			m.was = PeerProgress{Incarnation: seen.PreviousIncarnation, Nonce: seen.PreviousNonce, PersistedKeys: seen.PreviousPersistedKeys}
		}
	}
	c.move()
}

// EndpointsReceived tells that a list is known: fresh is one that the list service has told in this life.
func (c *StateMachine) EndpointsReceived(now time.Duration, fresh bool) {
	c.now, c.listed, c.fresh = now, true, c.fresh || fresh
	c.move()
}

// EndpointsUnavailable tells that the list service was asked in vain.
func (c *StateMachine) EndpointsUnavailable(now time.Duration) {
	c.now, c.unlisted = now, true
	c.move()
}

// SetPersistedKeys tells how many keys are durable in this life.
func (c *StateMachine) SetPersistedKeys(keys uint64) { c.kept = keys }

// IncarnationRaised tells that a higher life is durable.
func (c *StateMachine) IncarnationRaised(now time.Duration, life uint64) {
	c.now, c.life = now, max(c.life, life)
	c.ask()
}

// TakeOver is for the successor in an upgrade: it goes on where its predecessor serves.
func (c *StateMachine) TakeOver(now time.Duration, life, token uint64) {
	c.now, c.stored, c.listed, c.life, c.token, c.began = now, true, true, life, token, now
	c.who = OnlyThis
	c.turn(Serving, "goes on for its predecessor")
}

// Tick goes on by time alone, and tells when it wants to be called again.
func (c *StateMachine) Tick(now time.Duration) (next time.Duration) {
	c.now = now
	c.move()
	c.ask()
	c.beat()
	if c.stored && c.keysBad && now >= c.began+c.terms.DedupWindow {
		c.doubt(false)
	}
	next = now + c.terms.QueryInterval
	if limit, any := c.limit(); any {
		next = min(next, max(c.since+limit, now+time.Millisecond))
	}
	for n := range c.members {
		if m := &c.members[n]; n != c.terms.Self && !m.settled {
			next = min(next, max(m.askAt, now+time.Millisecond))
		}
	}
	return next
}

// limit is how long the phase may last.
func (c *StateMachine) limit() (time.Duration, bool) {
	t := &c.terms
	within := [...]time.Duration{
		EstablishingIdentity: t.IdentityTimeout, AwaitingEndpoints: t.EndpointsTimeout, QueryingPeers: t.PeersTimeout,
		Probing: t.ProbeTimeout, SlowStart: t.SlowStartDuration, Serving: 0, Superseded: 0,
	}[c.phase]
	return within, within > 0
}

func (c *StateMachine) late() bool {
	limit, any := c.limit()
	return any && c.now >= c.since+limit
}

// move takes every step whose condition holds. Each phase ends by what is observed; its limit only bounds the
// wait for it.
func (c *StateMachine) move() {
	for was := Superseded + 1; was != c.phase; {
		switch was = c.phase; c.phase {
		case EstablishingIdentity:
			if c.stored {
				c.turn(AwaitingEndpoints, fmt.Sprintf("life %d", c.life))
				c.ask()
			}
		case AwaitingEndpoints:
			switch {
			case c.fresh:
				c.turn(QueryingPeers, "the list service has told its list")
			case c.listed && (c.unlisted || c.late()):
				c.turn(QueryingPeers, "no list service: the last list serves, its workers taken for cold")
			}
		case QueryingPeers:
			if who, why := c.judge(); who != Undecided {
				c.who = who
				c.turn(Probing, why)
			}
		case Probing:
			switch {
			case c.load.succeeded > 0:
				c.turn(SlowStart, "a first one has succeeded")
			case c.who == OnlyThis:
				c.turn(SlowStart, "the others serve")
			case c.late():
				c.turn(SlowStart, "none has succeeded in time")
			}
		case SlowStart:
			switch {
			case c.capacity.Warm > 0 && c.capacity.Now >= warmShare*c.capacity.Warm:
				c.turn(Serving, "workers are warm")
			case c.eased():
				c.turn(Serving, "all that comes is within what workers bear")
			case c.late():
				c.turn(Serving, "workers have had the time to be warm")
			}
		}
	}
}

func (c *StateMachine) turn(to Phase, why string) {
	c.phase, c.since = to, c.now
	c.out.Transitions = append(c.out.Transitions, Transition{to, c.now, why})
}

// judge finds out who was away, once all have answered or have had the time to. Those that do not answer count
// as away: what they know may be the newest, so nothing of theirs is taken as known.
func (c *StateMachine) judge() (Outage, string) {
	serving, whole := 0, 0
	for n := range c.members {
		if m := &c.members[n]; n != c.terms.Self && m.whole {
			whole++
			if m.phase == Serving {
				serving++
			}
		}
	}
	others := len(c.members) - 1
	why := fmt.Sprintf("%d of %d others answered, %d of them serve", whole, others, serving)
	switch {
	case whole < others && !c.late():
		return Undecided, ""
	case others == 0:
		return FleetWide, "there are no others"
	case serving == others:
		return OnlyThis, why
	case serving > 0:
		return Partial, why
	}
	return FleetWide, why
}

// ask asks those that have not answered, each the later the more often it was asked.
func (c *StateMachine) ask() {
	if !c.stored || c.phase == Superseded {
		return
	}
	for n := range c.members {
		m := &c.members[n]
		if n == c.terms.Self || m.settled || c.now < m.askAt {
			continue
		}
		c.asking++
		m.number, m.parts = c.asking, nil
		m.want = m.want || c.wants(n)
		wait := c.terms.QueryInterval << min(m.asks, 4)
		if m.whole { // it has told all but whether to believe it, and needs time for that
			wait = c.terms.QueryInterval << 4
		}
		m.asks, m.askedAt = m.asks+1, c.now
		m.askAt = c.now + wait/2 + time.Duration(c.rng.Int64N(int64(wait/2)+1))
		question := c.message(messaging.Query, m.number)
		question.WantWorkers = m.want
		c.out.Messages = append(c.out.Messages, Addressed{n, question})
	}
}

// How often it is told how far this dispatcher has come, and to how many.
const (
	beatEvery = time.Second
	beatTo    = 2
)

// beat tells the next ones in the ring how far this dispatcher has come: a disk that is put back to an earlier
// state does not know that it is.
func (c *StateMachine) beat() {
	if !c.stored || c.now < c.beatAt || c.phase < Probing || c.phase == Superseded {
		return
	}
	c.beatAt = c.now + beatEvery
	for step := 1; step <= beatTo && step < len(c.members); step++ {
		m := c.message(messaging.Heartbeat, 0)
		m.PersistedKeys = c.kept
		c.out.Messages = append(c.out.Messages, Addressed{(c.terms.Self + step) % len(c.members), m})
	}
}

// enough is how many are asked of workers: what all know of them is much the same, and much to send.
const enough = 3

// wants tells whether a member is one of the next few in the ring that answer. It guards against a fleet in which
// each sends each all that it knows.
func (c *StateMachine) wants(n int) bool {
	first := enough
	for step := 1; step <= first && step < len(c.members); step++ {
		other := (c.terms.Self + step) % len(c.members)
		if other == n {
			return true
		}
		if m := &c.members[other]; m.asks > 1 && !m.whole {
			first++
		}
	}
	return false
}

func (c *StateMachine) message(k messaging.Kind, number uint32) *messaging.Message {
	return &messaging.Message{
		Kind: k, From: c.terms.Members[c.terms.Self], Incarnation: c.life, Nonce: c.token,
		Number: number, Phase: uint8(c.phase), UptimeMillis: c.now.Milliseconds(),
	}
}

// Receive takes a message. What is of a life that has ended, or answers no question of this one, changes nothing.
func (c *StateMachine) Receive(now time.Duration, from int, msg *messaging.Message) {
	c.now = now
	if !c.stored || from < 0 || from >= len(c.members) || from == c.terms.Self ||
		msg.From != c.terms.Members[from] || msg.Phase > uint8(Superseded) {
		return
	}
	m := &c.members[from]
	newer := msg.Incarnation > m.life || msg.Incarnation == m.life && msg.Nonce > m.token
	switch {
	case m.life > 0 && !newer && (msg.Incarnation != m.life || msg.Nonce != m.token):
		return // the highest life of a name counts
	case newer:
		// It has started anew: what it answered before counts, but it may know of more keys than then.
		if m.life > 0 {
			m.was = PeerProgress{Incarnation: m.life, Nonce: m.token, PersistedKeys: m.kept}
		}
		m.life, m.token, m.phase, m.kept = msg.Incarnation, msg.Nonce, Phase(msg.Phase), 0
	}
	m.heardAt, m.phase = now, max(m.phase, Phase(msg.Phase))
	switch msg.Kind {
	case messaging.Heartbeat:
		m.kept = max(m.kept, msg.PersistedKeys)
		return
	case messaging.Query:
		c.out.Queries = append(c.out.Queries, Query{from, msg.Number, msg.WantWorkers, msg.Nonce})
		// It is there: it may be asked soon, however long the wait was to be. Not at once: two that ask one
		// another would never end.
		if !m.whole {
			m.askAt, m.asks = min(m.askAt, m.askedAt+c.terms.QueryInterval), min(m.asks, 1)
		}
		return
	}
	if msg.Number != m.number || m.settled {
		return
	}
	c.rival(msg)
	c.out.Replies = append(c.out.Replies, PeerReply{from, msg})
	if m.parts == nil || len(m.parts) != int(msg.Parts) {
		m.parts = make([]bool, msg.Parts)
	}
	m.parts[msg.Part] = true
	m.keysBad = m.keysBad || msg.KeysSuspect
	if slices.Contains(m.parts, false) {
		c.move()
		return
	}
	m.whole, m.settled = true, Phase(msg.Phase) > QueryingPeers && !msg.KeysUnconfirmed
	m.askAt = max(m.askAt, now+c.terms.QueryInterval<<3)
	if !m.want && m.phase == Serving && c.elders < enough && c.phase <= QueryingPeers {
		// It serves: what it knows of workers is newer than what those know who were away.
		c.elders++
		m.want, m.whole, m.settled, m.askAt = true, false, false, now
		c.ask()
	}
	c.move()
}

// rival takes what others tell of this name. One heard before this process began was this dispatcher in an
// earlier life; one heard since is another process that goes under the same name, and the lower one gives way.
func (c *StateMachine) rival(msg *messaging.Message) {
	if msg.YourNonce == c.token || msg.YourIncarnation == 0 {
		return
	}
	if old := msg.YourIncarnation > c.was.Incarnation || msg.YourIncarnation == c.was.Incarnation && msg.YourPersistedKeys > c.was.PersistedKeys; old {
		c.doubt(true) // the disk is from before that, and what was sent since is not on it
	}
	if msg.YourIncarnation < c.life {
		return
	}
	heard := time.Duration(msg.HeardAgoMillis) * time.Millisecond
	switch {
	case heard >= c.now:
		c.out.RaiseIncarnation = max(c.out.RaiseIncarnation, msg.YourIncarnation+1)
	case msg.YourIncarnation > c.life || msg.YourNonce > c.token:
		c.turn(Superseded, fmt.Sprintf("life %d goes under this name, heard %v ago", msg.YourIncarnation, heard))
	}
}

// doubt holds that keys of before may be missing, for this life and the next ones: until a whole window has been
// lived through, whatever the clock says.
func (c *StateMachine) doubt(is bool) {
	if c.keysBad != is {
		c.keysBad, c.out.SetKeysSuspect = is, &is
	}
}

// vouched tells that those who were told how far this dispatcher had come have answered, or that a window has been
// lived through since. It guards against one that serves before them, on a disk that they would know for old.
func (c *StateMachine) vouched() bool {
	for step := 1; step <= beatTo && step < len(c.members); step++ {
		if !c.members[(c.terms.Self+step)%len(c.members)].whole && c.now < c.began+c.terms.DedupWindow {
			return false
		}
	}
	return true
}

// Reply is the answer to a question, with what is known here.
func (c *StateMachine) Reply(q Query, k LocalKnowledge) []messaging.Message {
	first := *c.message(messaging.Reply, q.Number)
	first.MaxObserved, first.KeysSuspect = k.MaxObserved, c.keysBad
	first.KeysUnconfirmed = !c.vouched()
	if m := &c.members[q.From]; m.life > 0 {
		first.YourIncarnation, first.YourNonce, first.YourPersistedKeys = m.life, m.token, m.kept
		if first.HeardAgoMillis = longAgo; m.heardAt >= 0 {
			first.HeardAgoMillis = (c.now - m.heardAt).Milliseconds()
		}
		if m.token == q.Nonce { // it asks for what it was before this life
			first.YourIncarnation, first.YourNonce, first.YourPersistedKeys = m.was.Incarnation, m.was.Nonce, m.was.PersistedKeys
			first.HeardAgoMillis = longAgo
		}
	}
	if !q.WantWorkers {
		return messaging.Split(first, nil, k.Keys)
	}
	return messaging.Split(first, k.Workers, k.Keys)
}

// longAgo is, in ms, when one was heard that was not in this life.
const longAgo = 1 << 40

// LocalKnowledge is what a dispatcher knows, for others.
type LocalKnowledge struct {
	MaxObserved map[string]float64
	Workers     []messaging.Worker
	Keys        []messaging.Key
}

// PeerKeysPending tells whether keys may have run that nobody here knows of: some who may know have not told, or have
// lost what they knew, and the window since is not over.
func (c *StateMachine) PeerKeysPending(now time.Duration) bool {
	if c.stored && now >= c.began+c.terms.DedupWindow {
		return false
	}
	if !c.stored || c.keysBad {
		return true
	}
	for n := range c.members {
		if m := &c.members[n]; n != c.terms.Self && (!m.settled || m.keysBad) {
			return true
		}
	}
	return false
}

// ServingPeers is how many dispatchers there are to share the workers with, this one too: those heard, and before the
// others' time is over all that may exist.
func (c *StateMachine) ServingPeers() int {
	if c.phase <= QueryingPeers {
		return len(c.members)
	}
	living := 1
	for n := range c.members {
		if n != c.terms.Self && c.members[n].heardAt >= 0 {
			living++
		}
	}
	return living
}
