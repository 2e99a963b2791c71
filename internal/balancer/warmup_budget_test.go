package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestColdWorkerIsHeldToThePartOfEachDispatcher(t *testing.T) {
	d, _ := newWarmBalancer(2, 1)
	d.now += Second
	d.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0", StartedAt: d.now}}, false, true)
	part := 4 * 0.2 * 1 * float64(2*Second) * (1 - warmupMargin) / 2 // one slot is known of
	d.config.meanObjective = part                                    // as much as one piece of work
	assert.True(t, d.withinWarmupBudget(0, Work(part)))
	assert.False(t, d.withinWarmupBudget(0, Work(part)+1))
	d.RequestArrived(0, Arrival{Timeout: 10 * Second, SizeHint: Work(part)})
	d.startAttempt(0, 0)
	assert.False(t, d.withinWarmupBudget(0, 1), "what was sent counts, whatever became of it")
	d.now += 2 * Second
	assert.True(t, d.withinWarmupBudget(0, 1), "the span has passed")
	assert.True(t, d.withinWarmupBudget(1, 1<<40), "a warm worker has no such budget")
}

// Guards against parts too small for any piece of work, with which a cold worker is shut to nearly all: each sends
// there by what lands at it, and what all save up begins evenly spread.
func TestColdWorkerOfManyDispatchersIsOpenToEachByWhatLandsThere(t *testing.T) {
	open := 0
	for position := range 200 {
		terms := testConfig
		terms.Dispatchers, terms.Position = 200, position
		d := New(terms, 1, &recorder{})
		d.SetTime(100 * Second)
		d.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0", StartedAt: d.now - 5*Second}, {Worker: 1, ID: "w1"}, {Worker: 2, ID: "w2"}}, true, true)
		assert.False(t, d.withinWarmupBudget(0, 100), "nothing has landed, so nothing may go there")
		// At two fifths of its capacity, of two and two fifths in all, it may get twice its part: a third.
		for inv := range RequestID(5) {
			d.RequestArrived(inv, Arrival{Timeout: 10 * Second, SizeHint: 100})
			if d.withinWarmupBudget(0, 100) {
				open++
				d.startAttempt(inv, 0)
				assert.False(t, d.withinWarmupBudget(0, 100), "one at most is saved up")
			}
		}
		d.warmup.firstTries += 1000 // the worker was of no use to any of them
		assert.True(t, d.withinWarmupBudget(0, 100))
		d.RequestArrived(5, Arrival{Timeout: 10 * Second, SizeHint: 100})
		d.startAttempt(5, 0)
		assert.False(t, d.withinWarmupBudget(0, 100), "one at most, however much has landed")
		d.RequestArrived(6, Arrival{Timeout: 5 * Second, SizeHint: 100})
		assert.Equal(t, 1006, d.warmup.firstTries, "a client that comes again asks for nothing more")
		assert.True(t, d.withinWarmupBudget(1, 1<<40))
	}
	assert.InDelta(t, 200*5*2*0.4/2.4, open, 10)
}

func TestAllTogetherKeepAColdWorkersBudget(t *testing.T) {
	d, _ := newWarmBalancer(2, 1)
	d.config.dispatchers, d.config.meanObjective, d.now = 200, 1, 200*Second // small work: there is a part for each
	for age := Time(0); age < 20*Second; age += Second {
		d.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0", StartedAt: d.now - age}}, false, true)
		sent := Work(0)
		for d.config.position = range 200 {
			d.slots.kinds[0].maxObserved = 3 + float64(d.config.position%2) // they need not believe alike
			for size := Work(1); d.withinWarmupBudget(0, size); size++ {
				sent++
			}
		}
		assert.Positive(t, sent, "age %d", age)
		assert.Less(t, float64(sent), 4*d.warmupFactor(0)*4*float64(2*Second), "age %d", age)
	}
}

// coldWorker is one that has just started: each of its slots is slow by its age, beyond them it takes
// nothing.
type coldWorker struct {
	now, born Time
	fleet     []*Balancer
	running   []*job
	refused   []*job
	sent      []send // all that came, refused or not
	news      []message
	off       func() float64 // work over its hint, nil for hints that are true
	used      float64        // work done
	could     float64        // work that it could have done
}

type job struct {
	from *Balancer
	inv  RequestID
	n    int
	left float64
}

type message struct {
	due      Time
	from, to PeerID
	l        Load
}

const (
	coldSlots = 3
	tick      = Time(20)
	flight    = Time(200) // of a message
)

// lineEffects is the link of one dispatcher to it.
type lineEffects struct {
	recorder
	number PeerID
	c      *coldWorker
}

func (l *lineEffects) SendAttempt(inv RequestID, _ WorkerID, _ Time) {
	d := l.c.fleet[l.number]
	i := &d.requests.byID[inv]
	j := &job{from: d, inv: inv, n: len(i.attempts) - 1, left: float64(i.size)}
	if l.c.off != nil {
		j.left *= l.c.off()
	}
	l.c.sent = append(l.c.sent, send{sentAt: l.c.now, work: Work(j.left)})
	if len(l.c.running) < coldSlots {
		l.c.running = append(l.c.running, j)
		return
	}
	l.c.refused = append(l.c.refused, j)
}

func (l *lineEffects) SendLoad(to PeerID, load Load) {
	l.c.news = append(l.c.news, message{l.c.now + flight, l.number, to, load})
}

// step lets a tick pass.
func (c *coldWorker) step() {
	c.now += tick
	for _, d := range c.fleet {
		d.SetTime(c.now)
	}
	for _, j := range c.refused {
		j.from.AttemptEnded(j.inv, j.n, Overloaded, false)
	}
	c.refused = nil
	speed := c.fleet[0].warmupFactor(0)
	c.could += coldSlots * speed * float64(tick)
	for _, j := range c.running {
		done := min(j.left, speed*float64(tick))
		c.used, j.left = c.used+done, j.left-done
		j.from.AttemptStarted(j.inv, j.n)
		if j.left <= 0 {
			j.from.AttemptEnded(j.inv, j.n, Succeeded, true)
		}
	}
	c.running = slices.DeleteFunc(c.running, func(j *job) bool { return j.left <= 0 })
	for len(c.news) > 0 && c.news[0].due <= c.now {
		c.fleet[c.news[0].to].ReceiveLoad(c.news[0].from, c.news[0].l)
		c.news = c.news[1:]
	}
	for _, d := range c.fleet {
		d.RunDueRules()
	}
}

// load lands work at all of them, far more than the worker can do, from its start until it is warm; it
// returns the most that was sent within the span, over what the rule allows at the end of it.
func (c *coldWorker) load(span Time) (worst float64) {
	sizes := []Work{600, 1500, 4000, 9000, 20000}
	for n := 0; c.now-c.born < 19*Second; n++ {
		if n%25 == 0 {
			d := c.fleet[n/25%len(c.fleet)]
			inv := RequestID(n / 25)
			d.RequestArrived(inv, Arrival{Timeout: 20 * Second, SizeHint: sizes[n/25*7%len(sizes)]})
		}
		c.step()
		within := 0.0
		for _, s := range c.sent {
			if s.sentAt > c.now-span {
				within += float64(s.work)
			}
		}
		d := c.fleet[0]
		worst = max(worst, within/(d.config.overloadFactor*d.warmupFactor(0)*coldSlots*float64(span)))
	}
	return worst
}

func coldFleet(n int) *coldWorker {
	c := &coldWorker{now: 100 * Second, born: 100 * Second}
	terms := testConfig
	terms.Dispatchers, terms.Gossip, terms.ReportFree = n, true, -1
	for number := range n {
		terms.Position = number
		d := New(terms, uint64(number), &lineEffects{number: PeerID(number), c: c})
		d.SetTime(c.now)
		d.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w", StartedAt: c.born}}, true, true)
		d.slots.kinds[0].maxObserved, d.slots.kinds[0].estimate = coldSlots, coldSlots
		c.fleet = append(c.fleet, d)
	}
	return c
}

// Guards against two faults at once: a worker that is open to one dispatcher of many is hardly used until it
// is warm, and one that all rush to whenever a slot comes free falls over.
func TestColdWorkerIsUsedByAllWhoTellOneAnotherAndNotPushedOver(t *testing.T) {
	for _, n := range []int{2, 10, 40} {
		c := coldFleet(n)
		worst := c.load(2 * Second)
		assert.Less(t, worst, 1.0, "%d dispatchers: the most within the span, over the budget", n)
		assert.Greater(t, c.used/c.could, 0.5, "%d dispatchers: the part of it that was used", n)
	}
}

func TestColdWorkerIsClosedToThoseWhoAreNotToldOfIt(t *testing.T) {
	d, _ := newWarmBalancer(2, 1)
	d.config.gossip = true
	d.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0", StartedAt: d.now}}, false, true)
	assert.True(t, d.withinWarmupBudget(0, 100))
	d.workers[0].peerInFlight = 1 // as many as were seen to run at once
	assert.False(t, d.withinWarmupBudget(0, 100))
	d.workers[0].peerInFlight, d.subsetting.subsets[bothIntervals].positions[0] = 0, notInSubset
	assert.False(t, d.withinWarmupBudget(0, 100))
}

// Guards against hints that are off, and against a worker that is found full by each of those who may send there:
// what it turns away counts as sent.
func TestColdWorkerIsNotPushedOverByHintsThatAreOff(t *testing.T) {
	for _, n := range []int{2, 6, 10} {
		for seed := range uint64(8) {
			c, rng := coldFleet(n), rand.New(rand.NewPCG(seed, 1))
			c.off = func() float64 { return math.Exp(0.4 * rng.NormFloat64()) }
			assert.Less(t, c.load(2*Second), 1.0, "%d dispatchers, seed %d", n, seed)
		}
	}
}
