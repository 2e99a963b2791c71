package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestWarmupBudgetIsPartedAmongDispatchers(t *testing.T) {
	balancer, _ := newWarmBalancer(2, 1)
	balancer.now += Second
	balancer.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0", StartedAt: balancer.now}}, ChangedEndpoints, FromDiscovery)
	part := 4 * 0.2 * 1 * float64(2*Second) * (1 - warmupReserve) / 2 // one slot is known of
	balancer.config.meanObjective = part                              // as much as one piece of work
	assert.True(t, balancer.withinWarmupBudget(0, Work(part)))
	assert.False(t, balancer.withinWarmupBudget(0, Work(part)+1))
	balancer.RequestArrived(0, Arrival{Timeout: 10 * Second, SizeHint: Work(part)})
	balancer.startAttempt(0, 0)
	assert.False(t, balancer.withinWarmupBudget(0, 1), "what was sent counts, whatever became of it")
	balancer.now += 2 * Second
	assert.True(t, balancer.withinWarmupBudget(0, 1), "the span has passed")
	assert.True(t, balancer.withinWarmupBudget(1, 1<<40), "a warm worker has no such budget")
}

// Regression test for parts too small for any piece of work, with which a warming worker is shut to nearly all: each sends
// there by what arrives at it, and what all save up begins evenly spread.
func TestWarmupCreditIsEarnedByArrivals(t *testing.T) {
	open := 0
	for position := range 200 {
		config := testConfig
		config.Dispatchers, config.Position = 200, position
		balancer := New(config, 1, &recorder{})
		balancer.SetTime(100 * Second)
		balancer.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0", StartedAt: balancer.now - 5*Second}, {Worker: 1, ID: "w1"}, {Worker: 2, ID: "w2"}}, AllEndpoints, FromDiscovery)
		assert.False(t, balancer.withinWarmupBudget(0, 100), "nothing has arrived, so nothing may go there")
		// At two fifths of its capacity, of two and two fifths in all, it may get twice its part: a third.
		for id := range RequestID(5) {
			balancer.RequestArrived(id, Arrival{Timeout: 10 * Second, SizeHint: 100})
			if balancer.withinWarmupBudget(0, 100) {
				open++
				balancer.startAttempt(id, 0)
				assert.False(t, balancer.withinWarmupBudget(0, 100), "one at most is saved up")
			}
		}
		balancer.warmup.firstTries += 1000 // the worker was of no use to any of them
		assert.True(t, balancer.withinWarmupBudget(0, 100))
		balancer.RequestArrived(5, Arrival{Timeout: 10 * Second, SizeHint: 100})
		balancer.startAttempt(5, 0)
		assert.False(t, balancer.withinWarmupBudget(0, 100), "one at most, however much has arrived")
		balancer.RequestArrived(6, Arrival{Timeout: 5 * Second, SizeHint: 100})
		assert.Equal(t, 1006, balancer.warmup.firstTries, "a client that comes again asks for nothing more")
		assert.True(t, balancer.withinWarmupBudget(1, 1<<40))
	}
	assert.InDelta(t, 200*5*2*0.4/2.4, open, 10)
}

func TestAllDispatchersTogetherKeepTheWarmupBudget(t *testing.T) {
	balancer, _ := newWarmBalancer(2, 1)
	balancer.config.dispatchers, balancer.config.meanObjective, balancer.now = 200, 1, 200*Second // small work: there is a part for each
	for age := Time(0); age < 20*Second; age += Second {
		balancer.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0", StartedAt: balancer.now - age}}, ChangedEndpoints, FromDiscovery)
		sent := Work(0)
		for balancer.config.position = range 200 {
			balancer.slots.kinds[0].MaxObserved = 3 + float64(balancer.config.position%2) // they need not believe alike
			for size := Work(1); balancer.withinWarmupBudget(0, size); size++ {
				sent++
			}
		}
		assert.Positive(t, sent, "age %d", age)
		assert.Less(t, float64(sent), 4*balancer.warmupFactor(0)*4*float64(2*Second), "age %d", age)
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
	l        WorkerLoad
}

const (
	coldSlots = 3
	stepTime  = Time(20)
	flight    = Time(200) // of a message
)

// lineEffects is the link of one dispatcher to it.
type lineEffects struct {
	recorder
	number PeerID
	c      *coldWorker
}

func (l *lineEffects) SendAttempt(id RequestID, _ WorkerID, _ Duration) {
	balancer := l.c.fleet[l.number]
	i := &balancer.requests.byID[id]
	j := &job{from: balancer, inv: id, n: len(i.attempts) - 1, left: float64(i.size)}
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

func (l *lineEffects) SendLoad(to PeerID, load WorkerLoad) {
	l.c.news = append(l.c.news, message{l.c.now + flight, l.number, to, load})
}

// step lets one step pass.
func (c *coldWorker) step() {
	c.now += stepTime
	for _, balancer := range c.fleet {
		balancer.SetTime(c.now)
	}
	for _, j := range c.refused {
		j.from.AttemptEnded(j.inv, j.n, Overloaded, NoAnswer)
	}
	c.refused = nil
	speed := c.fleet[0].warmupFactor(0)
	c.could += coldSlots * speed * float64(stepTime)
	for _, j := range c.running {
		done := min(j.left, speed*float64(stepTime))
		c.used, j.left = c.used+done, j.left-done
		j.from.AttemptStarted(j.inv, j.n)
		if j.left <= 0 {
			j.from.AttemptEnded(j.inv, j.n, Succeeded, FinalAnswer)
		}
	}
	c.running = slices.DeleteFunc(c.running, func(j *job) bool { return j.left <= 0 })
	for len(c.news) > 0 && c.news[0].due <= c.now {
		c.fleet[c.news[0].to].ReceiveLoad(c.news[0].from, c.news[0].l)
		c.news = c.news[1:]
	}
	for _, balancer := range c.fleet {
		balancer.RunDueRules()
	}
}

// load arrives work at all of them, far more than the worker can do, from its start until it is warm; it
// returns the most that was sent within the span, over what the rule allows at the end of it.
func (c *coldWorker) load(span Time) (worst float64) {
	sizes := []Work{600, 1500, 4000, 9000, 20000}
	for n := 0; c.now-c.born < 19*Second; n++ {
		if n%25 == 0 {
			balancer := c.fleet[n/25%len(c.fleet)]
			id := RequestID(n / 25)
			balancer.RequestArrived(id, Arrival{Timeout: 20 * Second, SizeHint: sizes[n/25*7%len(sizes)]})
		}
		c.step()
		within := 0.0
		for _, s := range c.sent {
			if s.sentAt > c.now-span {
				within += float64(s.work)
			}
		}
		balancer := c.fleet[0]
		worst = max(worst, within/(balancer.config.overloadFactor*balancer.warmupFactor(0)*coldSlots*float64(span)))
	}
	return worst
}

func coldFleet(n int) *coldWorker {
	c := &coldWorker{now: 100 * Second, born: 100 * Second}
	config := testConfig
	config.Dispatchers, config.Gossip, config.ReportFree = n, true, -1
	for number := range n {
		config.Position = number
		balancer := New(config, uint64(number), &lineEffects{number: PeerID(number), c: c})
		balancer.SetTime(c.now)
		balancer.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w", StartedAt: c.born}}, AllEndpoints, FromDiscovery)
		balancer.slots.kinds[0].MaxObserved, balancer.slots.kinds[0].Estimate = coldSlots, coldSlots
		c.fleet = append(c.fleet, balancer)
	}
	return c
}

// Regression test for two faults at once: a worker that is open to one dispatcher of many is hardly used until it
// is warm, and one that all rush to whenever a slot comes free falls over.
func TestWarmingWorkerIsUsedByGossipingDispatchersAndNotOverloaded(t *testing.T) {
	for _, n := range []int{2, 10, 40} {
		c := coldFleet(n)
		worst := c.load(2 * Second)
		assert.Less(t, worst, 1.0, "%d dispatchers: the most within the span, over the budget", n)
		assert.Greater(t, c.used/c.could, 0.5, "%d dispatchers: the part of it that was used", n)
	}
}

func TestWarmingWorkerIsClosedToDispatchersThatHearNothingOfIt(t *testing.T) {
	balancer, _ := newWarmBalancer(2, 1)
	balancer.config.gossip = true
	balancer.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0", StartedAt: balancer.now}}, ChangedEndpoints, FromDiscovery)
	assert.True(t, balancer.withinWarmupBudget(0, 100))
	balancer.workers[0].gossip.peerInFlight = 1 // as many as were seen to run at once
	assert.False(t, balancer.withinWarmupBudget(0, 100))
	balancer.workers[0].gossip.peerInFlight, balancer.subsetting.subsets[bothIntervals].positions[0] = 0, notInSubset
	assert.False(t, balancer.withinWarmupBudget(0, 100))
}

// Regression test for hints that are off, and for a worker that is found full by each of those who may send there:
// what it turns away counts as sent.
func TestWarmingWorkerIsNotOverloadedByWrongHints(t *testing.T) {
	for _, n := range []int{2, 6, 10} {
		for seed := range uint64(8) {
			c, rng := coldFleet(n), rand.New(rand.NewPCG(seed, 1))
			c.off = func() float64 { return math.Exp(0.4 * rng.NormFloat64()) }
			assert.Less(t, c.load(2*Second), 1.0, "%d dispatchers, seed %d", n, seed)
		}
	}
}
