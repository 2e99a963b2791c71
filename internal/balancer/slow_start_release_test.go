package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Regression test for two faults after a release, when most workers are warming up. Either the attempts of many
// dispatchers together overloaded these workers, or nearly all dispatchers avoided them and the few warm workers were
// overloaded.
func TestWarmingWorkersAreUsedAndNotOverloadedAfterARelease(t *testing.T) {
	const (
		workers        = 20
		traffic        = 0.55 // as a share of the capacity of all workers when they are warm
		seeds          = 2
		minUtilization = 0.4
	)
	for name, c := range map[string]releaseCase{
		"no gossip, no hints":               {},
		"hints":                             {sizeHints: true},
		"dispatchers restart":               {dispatchersRestart: true},
		"warm workers removed":              {warmWorkersRemoved: true},
		"warm workers removed, hints":       {warmWorkersRemoved: true, sizeHints: true},
		"gossip and hints":                  {gossip: true, sizeHints: true},
		"gossip":                            {gossip: true},
		"lost messages, hints and restarts": {gossip: true, sizeHints: true, dispatchersRestart: true, messageLoss: 0.2},
	} {
		for _, dispatchers := range []int{3, 30, 300} {
			t.Run(fmt.Sprint(name, " ", dispatchers), func(t *testing.T) {
				for seed := range uint64(seeds) {
					simulation := newReleaseSimulation(c, dispatchers, workers, seed)
					simulation.run(traffic)
					result := simulation.result()
					t.Logf("seed %d: at most %.2f of the allowed attempts sent; %.2f of the capacity used",
						seed, result.maxBudgetUse, result.utilization)
					assert.Less(t, result.maxBudgetUse, 1.0, "seed %d", seed)
					assert.Greater(t, result.utilization, minUtilization, "seed %d", seed)
				}
			})
		}
	}
}

const (
	releaseDuration = 15 * Second // duration of the simulation
	releasedAt      = Time(105 * Second)
	removalDelay    = 4 * Second // delay after the release until the warm workers are removed

	slotsPerWorker = 4
	meanWork       = Second / 5 // mean work of a request, in ticks of a warm slot
	workDeviation  = 0.8        // standard deviation of the logarithm of a request's work
	hintDeviation  = 0.2        // standard deviation of the logarithm of a hint's error
)

// releaseCase describes the events of a release and the information available to dispatchers.
type releaseCase struct {
	sizeHints          bool    // requests have size hints
	gossip             bool    // dispatchers share their load
	messageLoss        float64 // share of the messages between dispatchers that is lost
	dispatchersRestart bool    // some dispatchers restart twice a second after the release
	warmWorkersRemoved bool    // after removalDelay, all but one of the workers that were not replaced are removed
}

// releaseSimulation simulates a fleet of dispatchers and their workers. The release replaces six in ten workers at the
// same time. The speed of the slots of a new worker depends on its age. An attempt that finds no free slot waits in the
// worker's queue.
type releaseSimulation struct {
	releaseCase
	now         Time
	released    bool
	rng         *rand.Rand
	seed        uint64
	dispatchers []*Balancer
	arrivals    []RequestID // number of requests that arrived at each dispatcher since its start
	workers     []*simulatedWorker
	endpoints   []Endpoint          // endpoints of the workers
	canceled    []*simulatedAttempt // canceled attempts not yet reported
	messages    []loadMessage       // in the order of their due times
}

// simulatedWorker is one worker of a releaseSimulation.
type simulatedWorker struct {
	replaced bool // replaced by the release, and warming up since then
	running  []*simulatedAttempt
	queued   []*simulatedAttempt

	sentAt       []Time  // times of the attempts within the warm-up window
	maxBudgetUse float64 // most attempts sent within a window, as a share of the limit
	workDone     float64 // work done since it was replaced, in ticks of a warm slot
	capacity     float64 // work that it could have done since then, in ticks of a warm slot
}

// releaseResult holds the results for the replaced workers.
type releaseResult struct {
	maxBudgetUse float64 // most attempts sent to one worker within a window, as a share of the limit
	utilization  float64 // share of their capacity that was used
}

// newReleaseSimulation returns a simulation in its state before the release.
func newReleaseSimulation(c releaseCase, dispatchers, workers int, seed uint64) *releaseSimulation {
	s := &releaseSimulation{
		releaseCase: c,
		now:         testStart,
		rng:         rand.New(rand.NewPCG(seed, 1)),
		seed:        seed,
		dispatchers: make([]*Balancer, dispatchers),
		arrivals:    make([]RequestID, dispatchers),
	}
	for id := range WorkerID(workers) {
		s.workers = append(s.workers, &simulatedWorker{})
		s.endpoints = append(s.endpoints, Endpoint{Worker: id, ID: fmt.Sprintf("w%d", id)})
	}
	for number := range s.dispatchers {
		s.startDispatcher(number)
	}
	return s
}

// startDispatcher starts or restarts a dispatcher with the current endpoints and no other state.
func (s *releaseSimulation) startDispatcher(number int) {
	config := testConfig
	config.Dispatchers = len(s.dispatchers)
	config.Position = number
	config.LoadReports.FreeSlots = NotReported
	config.Warmup.OverloadFactor = 3
	config.Objective.ValuePerRequest = 1
	config.Gossip.Enabled = s.gossip
	config.Gossip.MessageCost = 0.0004
	effects := &releaseEffects{simulation: s, number: PeerID(number)}
	effects.balancer = New(config, s.seed+uint64(s.now)+uint64(number), effects)
	effects.balancer.SetTime(s.now)
	effects.balancer.UpdateEndpoints(s.endpoints, AllEndpoints, FromDiscovery)
	s.dispatchers[number] = effects.balancer
	s.arrivals[number] = 0
}

// run submits requests at a rate that uses the given share of the capacity of all workers when they are warm. Some
// dispatchers get many times as many requests as others.
func (s *releaseSimulation) run(traffic float64) {
	weights := s.drawWeights()
	meanGap := meanWork / (traffic * float64(len(s.workers)*slotsPerWorker))
	nextArrival := float64(s.now)
	for end := s.now.Add(releaseDuration); s.now < end; {
		nextArrival += meanGap * s.rng.ExpFloat64()
		for float64(s.now) < nextArrival {
			s.step()
			s.restartDispatchers()
			s.removeWarmWorkers()
			s.replaceWorkers()
		}
		s.arrive(weights)
	}
}

// drawWeights draws the relative share of the traffic for each dispatcher. The shares do not add up to 1.
func (s *releaseSimulation) drawWeights() (weights []float64) {
	for range s.dispatchers {
		weights = append(weights, math.Exp(s.rng.NormFloat64()))
	}
	return weights
}

// arrive submits a request to a dispatcher drawn at random by weight.
func (s *releaseSimulation) arrive(weights []float64) {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	draw := s.rng.Float64() * total
	number := 0
	for ; draw > weights[number]; number++ {
		draw -= weights[number]
	}
	arrival := Arrival{Timeout: 10 * Second}
	if s.sizeHints {
		arrival.SizeHint = Work(s.drawWork())
	}
	id := s.arrivals[number]
	s.arrivals[number]++
	balancer := s.dispatchers[number]
	s.update(balancer, func() { balancer.RequestArrived(id, arrival) })
}

// drawWork draws the work of a request, in ticks of a warm slot.
func (s *releaseSimulation) drawWork() float64 {
	return meanWork * math.Exp(workDeviation*s.rng.NormFloat64()-workDeviation*workDeviation/2)
}

// update makes a call on a dispatcher at the current time, and then applies the rules that are due.
func (s *releaseSimulation) update(balancer *Balancer, call func()) {
	balancer.SetTime(s.now)
	call()
	balancer.RunDueRules()
}

// updateEndpoints sends changed endpoints to all dispatchers at the same time.
func (s *releaseSimulation) updateEndpoints(changed []Endpoint) {
	for _, balancer := range s.dispatchers {
		s.update(balancer, func() { balancer.UpdateEndpoints(changed, ChangedEndpoints, FromDiscovery) })
	}
}

// step advances the simulation by one step.
func (s *releaseSimulation) step() {
	s.now = s.now.Add(simulationStep)
	s.reportCanceled()
	for _, worker := range s.workers {
		s.startQueued(worker)
		s.work(worker)
	}
	s.deliverMessages()
	s.wakeDispatchers()
}

// reportCanceled reports the canceled attempts to their dispatchers.
func (s *releaseSimulation) reportCanceled() {
	for _, canceled := range s.canceled {
		balancer := canceled.balancer
		s.update(balancer, func() {
			answer := answerOf(balancer.requests.byID[canceled.request].closed)
			balancer.AttemptEnded(canceled.request, canceled.number, Canceled, answer)
		})
	}
	s.canceled = nil
}

// startQueued starts queued attempts of a worker while it has a free slot.
func (s *releaseSimulation) startQueued(worker *simulatedWorker) {
	for len(worker.running) < slotsPerWorker && len(worker.queued) > 0 {
		started := worker.queued[0]
		worker.queued = worker.queued[1:]
		worker.running = append(worker.running, started)
		s.update(started.balancer, func() { started.balancer.AttemptStarted(started.request, started.number) })
	}
}

// work advances the running attempts of a worker by one step, and reports those that have finished.
func (s *releaseSimulation) work(worker *simulatedWorker) {
	for _, running := range slices.Clone(worker.running) { // a dispatcher may cancel some of them during the loop
		worker.workDone += running.advance(s.warmupFactor(worker) * float64(simulationStep))
		if !running.finished() {
			continue
		}
		worker.running = slices.DeleteFunc(worker.running, func(other *simulatedAttempt) bool { return other == running })
		s.update(running.balancer, func() {
			running.balancer.AttemptEnded(running.request, running.number, Succeeded, FinalAnswer)
		})
	}
	worker.capacity += slotsPerWorker * s.warmupFactor(worker) * float64(simulationStep)
}

// warmupFactor returns the share of its full capacity that a worker has at its age.
func (s *releaseSimulation) warmupFactor(worker *simulatedWorker) float64 {
	if !worker.replaced {
		return 1
	}
	config := &s.dispatchers[0].config
	age := float64(s.now.Sub(releasedAt))
	return min(1, config.initialWarmupFactor+(1-config.initialWarmupFactor)*age/float64(config.warmupDuration))
}

func (s *releaseSimulation) deliverMessages() {
	for len(s.messages) > 0 && s.messages[0].dueAt <= s.now {
		message := s.messages[0]
		s.messages = s.messages[1:]
		receiver := s.dispatchers[message.to]
		s.update(receiver, func() { receiver.ReceiveLoad(message.from, message.load) })
	}
}

func (s *releaseSimulation) wakeDispatchers() {
	for _, balancer := range s.dispatchers {
		if balancer.due.wakeAt <= s.now {
			s.update(balancer, func() { balancer.WakeFired(uint64(balancer.due.wakeAt)) })
		}
	}
}

// restartDispatchers restarts a tenth of the dispatchers without their state, twice a second after the release.
func (s *releaseSimulation) restartDispatchers() {
	const interval = Duration(Second / 2)
	if !s.dispatchersRestart || !s.released || s.now.Sub(releasedAt)%interval/simulationStep != 0 {
		return
	}
	for range (len(s.dispatchers) + 9) / 10 {
		s.startDispatcher(s.rng.IntN(len(s.dispatchers)))
	}
}

// removeWarmWorkers removes all but one of the workers that were not replaced.
func (s *releaseSimulation) removeWarmWorkers() {
	if !s.warmWorkersRemoved || !s.released || s.now.Sub(releasedAt) != removalDelay {
		return
	}
	removed := slices.Clone(s.endpoints[s.replacedWorkers()+1:])
	for n := range removed {
		removed[n].State = Gone
	}
	s.updateEndpoints(removed)
}

// replaceWorkers performs the release when it is due, and updates all dispatchers at the same time.
func (s *releaseSimulation) replaceWorkers() {
	if s.released || s.now < releasedAt {
		return
	}
	s.released = true
	for n := range s.replacedWorkers() {
		worker := s.workers[n]
		worker.replaced = true
		worker.sentAt = nil
		worker.workDone = 0
		worker.capacity = 0
		s.endpoints[n].StartedAt = s.now
	}
	s.updateEndpoints(s.endpoints[:s.replacedWorkers()])
}

// replacedWorkers returns the number of workers that the release replaces.
func (s *releaseSimulation) replacedWorkers() int { return len(s.workers) * 6 / 10 }

// result returns the results for the replaced workers.
func (s *releaseSimulation) result() releaseResult {
	maxUse, workDone, capacity := 0.0, 0.0, 0.0
	for _, worker := range s.workers {
		if worker.replaced {
			maxUse = max(maxUse, worker.maxBudgetUse)
			workDone += worker.workDone
			capacity += worker.capacity
		}
	}
	return releaseResult{maxBudgetUse: maxUse, utilization: workDone / capacity}
}

// recordBudgetUse updates the maximum budget use of a replaced worker after an attempt was sent to it. The limit is the
// number of requests of mean size that fill the budget, plus two standard deviations and two requests to allow for
// random variation.
func (s *releaseSimulation) recordBudgetUse(worker *simulatedWorker, config *derivedConfig) {
	windowStart := s.now.Add(-config.warmupWindow)
	worker.sentAt = slices.DeleteFunc(worker.sentAt, func(at Time) bool { return at <= windowStart })
	budget := config.overloadFactor * s.warmupFactor(worker) * slotsPerWorker * float64(config.warmupWindow) / meanWork
	limit := budget + 2*math.Sqrt(budget) + 2
	worker.maxBudgetUse = max(worker.maxBudgetUse, float64(len(worker.sentAt))/limit)
}

// releaseEffects implements the effects of one dispatcher in a releaseSimulation.
type releaseEffects struct {
	recorder
	simulation *releaseSimulation
	number     PeerID
	balancer   *Balancer
}

func (e *releaseEffects) SendAttempt(id RequestID, target WorkerID, _ Duration) {
	s := e.simulation
	req := &e.balancer.requests.byID[id]
	work := float64(req.size) * math.Exp(hintDeviation*s.rng.NormFloat64())
	if !s.sizeHints {
		work = s.drawWork()
	}
	worker := s.workers[target]
	worker.queued = append(worker.queued, &simulatedAttempt{
		balancer: e.balancer,
		request:  id,
		number:   len(req.attempts) - 1,
		workLeft: work,
	})
	worker.sentAt = append(worker.sentAt, s.now)
	if worker.replaced {
		s.recordBudgetUse(worker, &e.balancer.config)
	}
}

func (e *releaseEffects) CancelAttempt(id RequestID, number int) {
	s := e.simulation
	worker := s.workers[e.balancer.requests.byID[id].attempts[number].worker]
	matches := func(other *simulatedAttempt) bool {
		return other.balancer == e.balancer && other.request == id && other.number == number
	}
	worker.running = slices.DeleteFunc(worker.running, matches)
	worker.queued = slices.DeleteFunc(worker.queued, matches)
	s.canceled = append(s.canceled, &simulatedAttempt{balancer: e.balancer, request: id, number: number})
}

func (e *releaseEffects) SendLoad(to PeerID, load WorkerLoad) {
	s := e.simulation
	if s.rng.Float64() < s.messageLoss {
		return
	}
	s.messages = append(s.messages, loadMessage{
		dueAt: s.now.Add(messageDelay),
		from:  e.number,
		to:    to,
		load:  load,
	})
}
