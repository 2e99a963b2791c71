// Package recovery brings a dispatcher back: which life this is, what of before is trusted, what others know, and
// in which order it serves again. It does no I/O and has no clock: events go in with the time, and what is to be
// done comes out.
package recovery

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"canvasroute/internal/fleet/link"
	"canvasroute/internal/fleet/store"
)

// Phase is how far a dispatcher has returned. Within one life it only grows.
type Phase uint8

// The values of Phase, in the order in which a dispatcher goes through them.
const (
	Identity   Phase = iota // which life this is
	List                    // which workers there are
	Others                  // what others know
	Trickle                 // a few invocations, to see how workers are
	Ramp                    // as many as workers bear by now
	Full                    // all that comes
	Superseded              // another process goes under this name: this one never serves
)

var phaseNames = [...]string{"identity", "list", "others", "trickle", "ramp", "full", "superseded"}

func (p Phase) String() string { return phaseNames[p] }

// Case is who was away, as it follows from the answers.
type Case uint8

// The values of Case.
const (
	Undecided Case = iota
	Alone          // all others serve: they know better than this disk
	Some           // some serve
	All            // nobody serves: the newest of what all disks hold counts, merged to the careful side
)

var caseNames = [...]string{"undecided", "alone", "some", "all"}

func (c Case) String() string { return caseNames[c] }

// Terms are what a core is told at its start.
type Terms struct {
	Members        []string // all dispatchers that may exist, by number
	Self           int
	IdentityWithin time.Duration // for the store
	ListWithin     time.Duration // for the list service, until the last list serves
	OthersWithin   time.Duration // for the others' answers
	TrickleWithin  time.Duration // for a first success
	RampWithin     time.Duration // for workers to be warm
	AskEvery       time.Duration // between questions to one that has not answered, growing to sixteen times as much
	Window         time.Duration // the longest of a dedup group
	ComeBackMost   time.Duration // 0 where nobody may be told when to come back
	Seed           uint64
}

// member is one of the others.
type member struct {
	life, token uint64
	kept        uint64        // keys made durable in that life
	was         Seen          // how far it had come in the life before, as it may ask for that in this one
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
	*link.Message
}

// Heard is a part of an answer, and which member it is of.
type Heard struct {
	Member int
	*link.Message
}

// Question is one to be answered with what is known here.
type Question struct {
	From   int
	Number uint32
	Want   bool // workers too
	Token  uint64
}

// Step is a phase that has begun, and why.
type Step struct {
	Phase Phase
	At    time.Duration
	Why   string
}

// Out is what is to be done.
type Out struct {
	Messages  []Addressed
	Questions []Question
	Raise     uint64 // a life to be made durable before anything else is sent, 0 for none
	Doubt     *bool  // whether keys of before may be missing, to be made durable too
	Steps     []Step
	Heard     []Heard // parts of answers, to be merged
}

// Core is the return of one dispatcher.
type Core struct {
	terms   Terms
	rng     *rand.Rand
	now     time.Duration // since this process's start
	phase   Phase
	since   time.Duration
	who     Case
	life    uint64
	token   uint64
	asking  uint32
	members []member
	out     Out

	stored, listed, fresh bool
	unlisted              bool   // the list service has been asked in vain
	keysBad               bool   // of this dispatcher's own disk
	was                   Was    // what that told
	kept                  uint64 // keys made durable in this life
	beatAt                time.Duration
	elders                int           // of those who serve, that were asked of workers
	began                 time.Duration // when the life was known: keys of before count for a window from here
	capacity              Capacity
	load                  load
}

// New begins a return. It serves nobody before its first steps.
func New(t Terms) *Core {
	c := &Core{terms: t, rng: rand.New(rand.NewPCG(t.Seed, uint64(t.Self)))}
	for range t.Members {
		c.members = append(c.members, member{heardAt: -1})
	}
	c.out.Steps = append(c.out.Steps, Step{Phase: Identity, Why: "started"})
	return c
}

// Phase is the current phase of the recovery.
func (c *Core) Phase() Phase { return c.phase }

// Case is who was away, as far as it is known.
func (c *Core) Case() Case { return c.who }

// Life is the number of this life.
func (c *Core) Life() uint64 { return c.life }

// Since is when the current phase began.
func (c *Core) Since() time.Duration { return c.since }

// Seen is how far others have come, by name.
func (c *Core) Seen() map[string]Seen {
	seen := map[string]Seen{}
	for n, m := range c.members {
		if m.life > 0 {
			seen[c.terms.Members[n]] = Seen{
				Life: m.life, Token: m.token, Kept: m.kept,
				WasLife: m.was.Life, WasToken: m.was.Token, WasKept: m.was.Kept,
			}
		}
	}
	return seen
}

// Answered counts the others that have answered a question whole.
func (c *Core) Answered() (whole, of int) {
	for n := range c.members {
		if n != c.terms.Self && c.members[n].whole {
			whole++
		}
	}
	return whole, len(c.members) - 1
}

// Out is what is to be done since the last call.
func (c *Core) Out() Out {
	o := c.out
	c.out = Out{}
	return o
}

// Seen is how far another dispatcher had come in an earlier life of this one, or how far this one had.
type Seen = store.Seen

// Was is what the disk told of before.
type Was struct {
	Life, Kept uint64          // of this dispatcher
	Bad        bool            // keys which it sent out may be missing
	Seen       map[string]Seen // what it had heard of others
}

// WasOf is what a folder held; bad tells whether keys may be missing.
func WasOf(found store.Found, bad bool) Was {
	was := Was{Life: found.Life.Life, Kept: found.Kept, Bad: bad}
	if found.Facts != nil {
		was.Seen = found.Facts.Seen
	}
	return was
}

// Stored tells which life this is, as the store has made durable or could not.
func (c *Core) Stored(now time.Duration, life, token uint64, was Was) {
	c.now = now
	if c.stored {
		return
	}
	c.stored, c.life, c.token, c.was, c.keysBad, c.began = true, life, token, was, was.Bad, now
	for n := range c.members {
		if seen, known := was.Seen[c.terms.Members[n]]; known && n != c.terms.Self {
			m := &c.members[n]
			m.life, m.token, m.kept = seen.Life, seen.Token, seen.Kept
			m.was = Seen{Life: seen.WasLife, Token: seen.WasToken, Kept: seen.WasKept}
		}
	}
	c.move()
}

// Listed tells that a list is known: fresh is one that the list service has told in this life.
func (c *Core) Listed(now time.Duration, fresh bool) {
	c.now, c.listed, c.fresh = now, true, c.fresh || fresh
	c.move()
}

// Unlisted tells that the list service was asked in vain.
func (c *Core) Unlisted(now time.Duration) {
	c.now, c.unlisted = now, true
	c.move()
}

// Kept tells how many keys are durable in this life.
func (c *Core) Kept(keys uint64) { c.kept = keys }

// Raised tells that a higher life is durable.
func (c *Core) Raised(now time.Duration, life uint64) {
	c.now, c.life = now, max(c.life, life)
	c.ask()
}

// GoOn is for the successor in an upgrade: it goes on where its predecessor serves.
func (c *Core) GoOn(now time.Duration, life, token uint64) {
	c.now, c.stored, c.listed, c.life, c.token, c.began = now, true, true, life, token, now
	c.who = Alone
	c.turn(Full, "goes on for its predecessor")
}

// Tick goes on by time alone, and tells when it wants to be called again.
func (c *Core) Tick(now time.Duration) (next time.Duration) {
	c.now = now
	c.move()
	c.ask()
	c.beat()
	if c.stored && c.keysBad && now >= c.began+c.terms.Window {
		c.doubt(false)
	}
	next = now + c.terms.AskEvery
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
func (c *Core) limit() (time.Duration, bool) {
	t := &c.terms
	within := [...]time.Duration{
		Identity: t.IdentityWithin, List: t.ListWithin, Others: t.OthersWithin,
		Trickle: t.TrickleWithin, Ramp: t.RampWithin, Full: 0, Superseded: 0,
	}[c.phase]
	return within, within > 0
}

func (c *Core) late() bool {
	limit, any := c.limit()
	return any && c.now >= c.since+limit
}

// move takes every step whose condition holds. Each phase ends by what is observed; its limit only bounds the
// wait for it.
func (c *Core) move() {
	for was := Superseded + 1; was != c.phase; {
		switch was = c.phase; c.phase {
		case Identity:
			if c.stored {
				c.turn(List, fmt.Sprintf("life %d", c.life))
				c.ask()
			}
		case List:
			switch {
			case c.fresh:
				c.turn(Others, "the list service has told its list")
			case c.listed && (c.unlisted || c.late()):
				c.turn(Others, "no list service: the last list serves, its workers taken for cold")
			}
		case Others:
			if who, why := c.judge(); who != Undecided {
				c.who = who
				c.turn(Trickle, why)
			}
		case Trickle:
			switch {
			case c.load.succeeded > 0:
				c.turn(Ramp, "a first one has succeeded")
			case c.who == Alone:
				c.turn(Ramp, "the others serve")
			case c.late():
				c.turn(Ramp, "none has succeeded in time")
			}
		case Ramp:
			switch {
			case c.capacity.Bears > 0 && c.capacity.Now >= warmShare*c.capacity.Bears:
				c.turn(Full, "workers are warm")
			case c.eased():
				c.turn(Full, "all that comes is within what workers bear")
			case c.late():
				c.turn(Full, "workers have had the time to be warm")
			}
		}
	}
}

func (c *Core) turn(to Phase, why string) {
	c.phase, c.since = to, c.now
	c.out.Steps = append(c.out.Steps, Step{to, c.now, why})
}

// judge finds out who was away, once all have answered or have had the time to. Those that do not answer count
// as away: what they know may be the newest, so nothing of theirs is taken as known.
func (c *Core) judge() (Case, string) {
	serving, whole := 0, 0
	for n := range c.members {
		if m := &c.members[n]; n != c.terms.Self && m.whole {
			whole++
			if m.phase == Full {
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
		return All, "there are no others"
	case serving == others:
		return Alone, why
	case serving > 0:
		return Some, why
	}
	return All, why
}

// ask asks those that have not answered, each the later the more often it was asked.
func (c *Core) ask() {
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
		wait := c.terms.AskEvery << min(m.asks, 4)
		if m.whole { // it has told all but whether to believe it, and needs time for that
			wait = c.terms.AskEvery << 4
		}
		m.asks, m.askedAt = m.asks+1, c.now
		m.askAt = c.now + wait/2 + time.Duration(c.rng.Int64N(int64(wait/2)+1))
		question := c.message(link.Ask, m.number)
		question.Want = m.want
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
func (c *Core) beat() {
	if !c.stored || c.now < c.beatAt || c.phase < Trickle || c.phase == Superseded {
		return
	}
	c.beatAt = c.now + beatEvery
	for step := 1; step <= beatTo && step < len(c.members); step++ {
		m := c.message(link.Beat, 0)
		m.Kept = c.kept
		c.out.Messages = append(c.out.Messages, Addressed{(c.terms.Self + step) % len(c.members), m})
	}
}

// enough is how many are asked of workers: what all know of them is much the same, and much to send.
const enough = 3

// wants tells whether a member is one of the next few in the ring that answer. It guards against a fleet in which
// each sends each all that it knows.
func (c *Core) wants(n int) bool {
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

func (c *Core) message(k link.Kind, number uint32) *link.Message {
	return &link.Message{
		Kind: k, From: c.terms.Members[c.terms.Self], Life: c.life, Token: c.token,
		Number: number, Phase: uint8(c.phase), Lived: c.now.Milliseconds(),
	}
}

// Take takes a message. What is of a life that has ended, or answers no question of this one, changes nothing.
func (c *Core) Take(now time.Duration, from int, msg *link.Message) {
	c.now = now
	if !c.stored || from < 0 || from >= len(c.members) || from == c.terms.Self ||
		msg.From != c.terms.Members[from] || msg.Phase > uint8(Superseded) {
		return
	}
	m := &c.members[from]
	newer := msg.Life > m.life || msg.Life == m.life && msg.Token > m.token
	switch {
	case m.life > 0 && !newer && (msg.Life != m.life || msg.Token != m.token):
		return // the highest life of a name counts
	case newer:
		// It has started anew: what it answered before counts, but it may know of more keys than then.
		if m.life > 0 {
			m.was = Seen{Life: m.life, Token: m.token, Kept: m.kept}
		}
		m.life, m.token, m.phase, m.kept = msg.Life, msg.Token, Phase(msg.Phase), 0
	}
	m.heardAt, m.phase = now, max(m.phase, Phase(msg.Phase))
	switch msg.Kind {
	case link.Beat:
		m.kept = max(m.kept, msg.Kept)
		return
	case link.Ask:
		c.out.Questions = append(c.out.Questions, Question{from, msg.Number, msg.Want, msg.Token})
		// It is there: it may be asked soon, however long the wait was to be. Not at once: two that ask one
		// another would never end.
		if !m.whole {
			m.askAt, m.asks = min(m.askAt, m.askedAt+c.terms.AskEvery), min(m.asks, 1)
		}
		return
	}
	if msg.Number != m.number || m.settled {
		return
	}
	c.rival(msg)
	c.out.Heard = append(c.out.Heard, Heard{from, msg})
	if m.parts == nil || len(m.parts) != int(msg.Parts) {
		m.parts = make([]bool, msg.Parts)
	}
	m.parts[msg.Part] = true
	m.keysBad = m.keysBad || msg.KeysBad
	if slices.Contains(m.parts, false) {
		c.move()
		return
	}
	m.whole, m.settled = true, Phase(msg.Phase) > Others && !msg.Unsure
	m.askAt = max(m.askAt, now+c.terms.AskEvery<<3)
	if !m.want && m.phase == Full && c.elders < enough && c.phase <= Others {
		// It serves: what it knows of workers is newer than what those know who were away.
		c.elders++
		m.want, m.whole, m.settled, m.askAt = true, false, false, now
		c.ask()
	}
	c.move()
}

// rival takes what others tell of this name. One heard before this process began was this dispatcher in an
// earlier life; one heard since is another process that goes under the same name, and the lower one gives way.
func (c *Core) rival(msg *link.Message) {
	if msg.YourToken == c.token || msg.YourLife == 0 {
		return
	}
	if old := msg.YourLife > c.was.Life || msg.YourLife == c.was.Life && msg.YourKept > c.was.Kept; old {
		c.doubt(true) // the disk is from before that, and what was sent since is not on it
	}
	if msg.YourLife < c.life {
		return
	}
	heard := time.Duration(msg.Heard) * time.Millisecond
	switch {
	case heard >= c.now:
		c.out.Raise = max(c.out.Raise, msg.YourLife+1)
	case msg.YourLife > c.life || msg.YourToken > c.token:
		c.turn(Superseded, fmt.Sprintf("life %d goes under this name, heard %v ago", msg.YourLife, heard))
	}
}

// doubt holds that keys of before may be missing, for this life and the next ones: until a whole window has been
// lived through, whatever the clock says.
func (c *Core) doubt(is bool) {
	if c.keysBad != is {
		c.keysBad, c.out.Doubt = is, &is
	}
}

// vouched tells that those who were told how far this dispatcher had come have answered, or that a window has been
// lived through since. It guards against one that serves before them, on a disk that they would know for old.
func (c *Core) vouched() bool {
	for step := 1; step <= beatTo && step < len(c.members); step++ {
		if !c.members[(c.terms.Self+step)%len(c.members)].whole && c.now < c.began+c.terms.Window {
			return false
		}
	}
	return true
}

// Reply is the answer to a question, with what is known here.
func (c *Core) Reply(q Question, k Known) []link.Message {
	first := *c.message(link.Answer, q.Number)
	first.Bears, first.KeysBad = k.Bears, c.keysBad
	first.Unsure = !c.vouched()
	if m := &c.members[q.From]; m.life > 0 {
		first.YourLife, first.YourToken, first.YourKept = m.life, m.token, m.kept
		if first.Heard = longAgo; m.heardAt >= 0 {
			first.Heard = (c.now - m.heardAt).Milliseconds()
		}
		if m.token == q.Token { // it asks for what it was before this life
			first.YourLife, first.YourToken, first.YourKept = m.was.Life, m.was.Token, m.was.Kept
			first.Heard = longAgo
		}
	}
	if !q.Want {
		return link.Split(first, nil, k.Keys)
	}
	return link.Split(first, k.Workers, k.Keys)
}

// longAgo is, in ms, when one was heard that was not in this life.
const longAgo = 1 << 40

// Known is what a dispatcher knows, for others.
type Known struct {
	Bears   map[string]float64
	Workers []link.Worker
	Keys    []link.Key
}

// KeysOpen tells whether keys may have run that nobody here knows of: some who may know have not told, or have
// lost what they knew, and the window since is not over.
func (c *Core) KeysOpen(now time.Duration) bool {
	if c.stored && now >= c.began+c.terms.Window {
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

// Living is how many dispatchers there are to share the workers with, this one too: those heard, and before the
// others' time is over all that may exist.
func (c *Core) Living() int {
	if c.phase <= Others {
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
