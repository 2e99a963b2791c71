package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// release is a fleet of dispatchers before workers of which six in ten have just been replaced. Each slot of a new
// one is slow by its age; what finds no slot free waits in turn.
type release struct {
	now, born Time
	rng       *rand.Rand
	fleet     []*Balancer
	workers   []*stand
	cancelled []*job
	news      []message
	way       way

	seed        uint64
	dispatchers int
	endpoints   []Endpoint
	arrived     []RequestID // requests that arrived at each dispatcher
}

// way is how a fleet is.
type way struct {
	hints, peers, restarts bool
	leave                  bool    // nearly all that are warm leave at once, some seconds after the release
	lost                   float64 // of its messages
}

type stand struct {
	cold             bool
	running, waiting []*job
	sent             []Time
	worst            float64 // the most that came within the span, over its budget and what is put down to chance
	done, could      float64
}

const (
	standSlots = 4
	standWork  = Second / 5 // the mean of the sizes
)

type releaseEffects struct {
	recorder
	r        *release
	number   int
	balancer *Balancer
}

func (l *releaseEffects) SendAttempt(id RequestID, target WorkerID, _ Duration) {
	r, balancer, w := l.r, l.balancer, l.r.workers[target]
	size := float64(balancer.requests.byID[id].size) * math.Exp(0.2*r.rng.NormFloat64()) // hints are rough
	if !r.way.hints {
		size = r.size()
	}
	w.waiting = append(w.waiting, &job{from: balancer, inv: id, n: len(balancer.requests.byID[id].attempts) - 1, left: size})
	if w.sent = append(w.sent, r.now); w.cold {
		w.sent = slices.DeleteFunc(w.sent, func(at Time) bool { return at <= r.now.Add(-balancer.config.warmupWindow) })
		n := balancer.config.overloadFactor * r.warmth(w) * standSlots * float64(balancer.config.warmupWindow) / standWork
		w.worst = max(w.worst, float64(len(w.sent))/(n+2*math.Sqrt(n)+2))
	}
}

func (l *releaseEffects) CancelAttempt(id RequestID, n int) {
	balancer := l.balancer
	w := l.r.workers[balancer.requests.byID[id].attempts[n].worker]
	off := func(j *job) bool { return j.from == balancer && j.inv == id && j.n == n }
	w.running, w.waiting = slices.DeleteFunc(w.running, off), slices.DeleteFunc(w.waiting, off)
	l.r.cancelled = append(l.r.cancelled, &job{from: balancer, inv: id, n: n})
}

func (l *releaseEffects) SendLoad(to PeerID, load WorkerLoad) {
	if l.r.rng.Float64() >= l.r.way.lost {
		l.r.news = append(l.r.news, message{l.r.now + flight, PeerID(l.number), to, load})
	}
}

func (r *release) size() float64 { return standWork * math.Exp(0.8*r.rng.NormFloat64()-0.32) }

func (r *release) warmth(w *stand) float64 {
	if balancer := r.fleet[0]; w.cold {
		return min(1, balancer.config.initialWarmup+(1-balancer.config.initialWarmup)*float64(r.now-r.born)/float64(balancer.config.warmupDuration))
	}
	return 1
}

// report gives a dispatcher one outcome, or a start.
func (r *release) report(balancer *Balancer, do func()) {
	balancer.SetTime(r.now)
	do()
	balancer.RunDueRules()
}

func (r *release) step() {
	r.now += stepTime
	for _, j := range r.cancelled {
		r.report(j.from, func() { j.from.AttemptEnded(j.inv, j.n, Canceled, answerOf(j.from.requests.byID[j.inv].closed)) })
	}
	r.cancelled = nil
	for _, w := range r.workers {
		for len(w.running) < standSlots && len(w.waiting) > 0 {
			j := w.waiting[0]
			w.running, w.waiting = append(w.running, j), w.waiting[1:]
			r.report(j.from, func() { j.from.AttemptStarted(j.inv, j.n) })
		}
		for _, j := range slices.Clone(w.running) {
			by := min(j.left, r.warmth(w)*float64(stepTime))
			if j.left, w.done = j.left-by, w.done+by; j.left <= 0 {
				w.running = slices.DeleteFunc(w.running, func(o *job) bool { return o == j })
				r.report(j.from, func() { j.from.AttemptEnded(j.inv, j.n, Succeeded, FinalAnswer) })
			}
		}
		w.could += standSlots * r.warmth(w) * float64(stepTime)
	}
	for ; len(r.news) > 0 && r.news[0].due <= r.now; r.news = r.news[1:] {
		m := r.news[0]
		r.report(r.fleet[m.to], func() { r.fleet[m.to].ReceiveLoad(m.from, m.l) })
	}
	for _, balancer := range r.fleet {
		if balancer.due.wakeAt <= r.now {
			r.report(balancer, func() { balancer.WakeFired(uint64(balancer.due.wakeAt)) })
		}
	}
}

// releasedAt is when the release begins, on the clock of the tests, and leaveAfter how long after it warm workers leave.
const (
	releasedAt = 105 * Second
	leaveAfter = 4 * Second
)

// released is the number of workers that the release replaces.
func (r *release) released() int { return len(r.workers) * 6 / 10 }

// startDispatcher makes a dispatcher that knows the endpoints of the moment and nothing else.
func (r *release) startDispatcher(number int) *Balancer {
	config := testConfig
	config.Dispatchers = r.dispatchers
	config.Position = number
	config.ReportFree = NotReported
	config.OverloadFactor = 3
	config.ValuePerRequest = 1
	config.Gossip = r.way.peers
	config.GossipCost = 0.0004
	effects := &releaseEffects{r: r, number: number}
	effects.balancer = New(config, r.seed+uint64(r.now)+uint64(number), effects)
	effects.balancer.SetTime(r.now)
	effects.balancer.UpdateEndpoints(r.endpoints, AllEndpoints, FromDiscovery)
	return effects.balancer
}

// restartSome kills a tenth of the dispatchers, which start again from nothing, twice a second after the release.
func (r *release) restartSome() {
	if !r.way.restarts || r.born == 0 || (r.now-r.born)%(Second/2)/stepTime != 0 {
		return
	}
	for range (r.dispatchers + 9) / 10 {
		number := r.rng.IntN(r.dispatchers)
		r.fleet[number] = r.startDispatcher(number)
		r.arrived[number] = 0
	}
}

// removeWarm has nearly all workers leave that were not replaced.
func (r *release) removeWarm() {
	if !r.way.leave || r.born == 0 || r.now-r.born != leaveAfter {
		return
	}
	leaving := slices.Clone(r.endpoints[r.released()+1:])
	for n := range leaving {
		leaving[n].State = Gone
	}
	r.updateAll(leaving)
}

// replaceWorkers makes the release, which all dispatchers learn of at once.
func (r *release) replaceWorkers() {
	if r.born != 0 || r.now < releasedAt {
		return
	}
	r.born = r.now
	for n := range r.released() {
		worker := r.workers[n]
		worker.cold = true
		worker.sent = nil
		worker.done = 0
		worker.could = 0
		r.endpoints[n].StartedAt = r.born
	}
	r.updateAll(r.endpoints[:r.released()])
}

func (r *release) updateAll(changed []Endpoint) {
	for _, balancer := range r.fleet {
		r.report(balancer, func() { balancer.UpdateEndpoints(changed, ChangedEndpoints, FromDiscovery) })
	}
}

// arrive has a request arrive at one of the dispatchers, by their traffic.
func (r *release) arrive(traffic []float64, total float64) {
	number, draw := 0, r.rng.Float64()*total
	for ; draw > traffic[number]; number++ {
		draw -= traffic[number]
	}
	arrival := Arrival{Timeout: 10 * Second}
	if r.way.hints {
		arrival.SizeHint = Work(r.size())
	}
	id := r.arrived[number]
	r.arrived[number]++
	balancer := r.fleet[number]
	r.report(balancer, func() { balancer.RequestArrived(id, arrival) })
}

// playRelease has requests arrive at a rate that fills a part of what all workers can do when they are warm; some
// dispatchers get many times as many as others.
func playRelease(n, workers int, part float64, seed uint64, way way) *release {
	r := &release{
		now: 100 * Second, rng: rand.New(rand.NewPCG(seed, 1)), way: way,
		seed: seed, dispatchers: n, arrived: make([]RequestID, n),
	}
	for w := range workers {
		r.workers = append(r.workers, &stand{})
		r.endpoints = append(r.endpoints, Endpoint{Worker: WorkerID(w), ID: fmt.Sprintf("w%d", w)})
	}
	var traffic []float64
	for number := range n {
		r.fleet = append(r.fleet, r.startDispatcher(number))
		traffic = append(traffic, math.Exp(r.rng.NormFloat64()))
	}
	total := 0.0
	for _, share := range traffic {
		total += share
	}
	gap := standWork / (part * float64(workers*standSlots))
	for at, end := float64(r.now), r.now+15*Second; r.now < end; {
		for at += gap * r.rng.ExpFloat64(); float64(r.now) < at; {
			r.step()
			r.restartSome()
			r.removeWarm()
			r.replaceWorkers()
		}
		r.arrive(traffic, total)
	}
	return r
}

// Regression test for warming workers that are overloaded by the sum of what many send, and for ones that nearly all
// dispatchers leave alone: they are most of what there is after a release, and those left are then overrun.
func TestWarmingWorkersAreUsedAndNotOverloadedByAFleet(t *testing.T) {
	for name, way := range map[string]way{
		"nothing told":                       {},
		"hints":                              {hints: true},
		"restarts":                           {restarts: true},
		"warm ones leave":                    {leave: true},
		"warm ones leave, hints":             {leave: true, hints: true},
		"messages and hints":                 {peers: true, hints: true},
		"messages":                           {peers: true},
		"messages lost, hints, and restarts": {peers: true, hints: true, restarts: true, lost: 0.2},
	} {
		for _, n := range []int{3, 30, 300} {
			t.Run(fmt.Sprint(name, " ", n), func(t *testing.T) {
				for seed := range uint64(2) {
					r := playRelease(n, 20, 0.55, seed, way)
					worst, done, could := 0.0, 0.0, 0.0
					for _, w := range r.workers {
						if w.cold {
							worst, done, could = max(worst, w.worst), done+w.done, could+w.could
						}
					}
					t.Logf("seed %d: at worst %.2f of what is let pass; %.2f of what they could do used", seed, worst, done/could)
					assert.Less(t, worst, 1.0, "seed %d", seed)
					assert.Greater(t, done/could, 0.4, "seed %d", seed)
				}
			})
		}
	}
}
