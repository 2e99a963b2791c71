package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Regression test for two faults after a release, when most workers warm up. They are overloaded by the sum of what many
// dispatchers send; or nearly all dispatchers leave them alone, and the few warm workers are overrun.
func TestWarmingWorkersAreUsedAndNotOverloadedAfterARelease(t *testing.T) {
	const (
		workers      = 20
		traffic      = 0.55 // share of the capacity of all workers when they are warm
		seeds        = 2
		leastUtility = 0.4
	)
	for name, c := range map[string]releaseCase{
		"no messages, no hints":              {},
		"hints":                              {sizeHints: true},
		"dispatchers restart":                {dispatchersRestart: true},
		"warm workers leave":                 {warmWorkersLeave: true},
		"warm workers leave, hints":          {warmWorkersLeave: true, sizeHints: true},
		"messages and hints":                 {gossip: true, sizeHints: true},
		"messages":                           {gossip: true},
		"messages lost, hints, and restarts": {gossip: true, sizeHints: true, dispatchersRestart: true, messageLoss: 0.2},
	} {
		for _, dispatchers := range []int{3, 30, 300} {
			t.Run(fmt.Sprint(name, " ", dispatchers), func(t *testing.T) {
				for seed := range uint64(seeds) {
					simulation := newReleaseSimulation(c, dispatchers, workers, seed)
					simulation.run(traffic)
					result := simulation.result()
					t.Logf("seed %d: at worst %.2f of the attempts that are allowed; %.2f of the capacity used",
						seed, result.worstBudgetUse, result.utilization)
					assert.Less(t, result.worstBudgetUse, 1.0, "seed %d", seed)
					assert.Greater(t, result.utilization, leastUtility, "seed %d", seed)
				}
			})
		}
	}
}

const (
	releaseDuration = 15 * Second // of the simulation
	releasedAt      = Time(105 * Second)
	leaveAfter      = 4 * Second // after the release the warm workers leave

	slotsPerWorker = 4
	meanWork       = Second / 5 // of a request, in ticks of a warm slot
	workDeviation  = 0.8        // standard deviation of the logarithm of a request's work
	hintDeviation  = 0.2        // the same of the error of a hint
)

// releaseCase says what happens in a release, and what dispatchers know.
type releaseCase struct {
	sizeHints          bool    // requests have hints of their size
	gossip             bool    // dispatchers share their load
	messageLoss        float64 // share of their messages that is lost
	dispatchersRestart bool    // some dispatchers restart twice a second after the release
	warmWorkersLeave   bool    // nearly all workers that were not replaced leave some seconds after the release
}

// releaseSimulation simulates a fleet of dispatchers before workers of which six in ten are replaced at once. Each slot
// of a new worker is slow by its age; an attempt that finds no free slot waits in the worker's queue.
type releaseSimulation struct {
	releaseCase
	now         Time
	released    bool
	rng         *rand.Rand
	seed        uint64
	dispatchers []*Balancer
	arrivals    []RequestID // at each dispatcher since its start
	workers     []*simulatedWorker
	endpoints   []Endpoint // of the workers
	canceled    []*simulatedAttempt
	messages    []loadMessage // in the order in which they are due
}

// simulatedWorker is one worker of a releaseSimulation.
type simulatedWorker struct {
	replaced bool // by the release: it warms up from then on
	running  []*simulatedAttempt
	queued   []*simulatedAttempt

	sentAt         []Time  // the attempts within the warm-up window
	worstBudgetUse float64 // the most attempts within a window, as a share of the limit
	workDone       float64 // since it was replaced, in ticks of a warm slot
	capacity       float64 // work that it could have done since then, in the same unit
}

// releaseResult is what the replaced workers have borne and done.
type releaseResult struct {
	worstBudgetUse float64 // the most attempts that one got within a window, as a share of the limit
	utilization    float64 // share of their capacity that was used
}

// newReleaseSimulation returns a fleet before the release.
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

// startDispatcher starts a dispatcher that knows the endpoints of the moment and nothing else.
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

// run has requests arrive at a rate that fills a share of the capacity of all workers when they are warm. Some
// dispatchers get many times as many as others.
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

// drawWeights draws the share of the traffic that each dispatcher gets, in a unit of its own.
func (s *releaseSimulation) drawWeights() (weights []float64) {
	for range s.dispatchers {
		weights = append(weights, math.Exp(s.rng.NormFloat64()))
	}
	return weights
}

// arrive has a request arrive at one of the dispatchers, by their weights.
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

// update makes a call on a dispatcher at the current time, and applies the rules that are due then.
func (s *releaseSimulation) update(balancer *Balancer, call func()) {
	balancer.SetTime(s.now)
	call()
	balancer.RunDueRules()
}

// updateEndpoints changes endpoints at all dispatchers at once.
func (s *releaseSimulation) updateEndpoints(changed []Endpoint) {
	for _, balancer := range s.dispatchers {
		s.update(balancer, func() { balancer.UpdateEndpoints(changed, ChangedEndpoints, FromDiscovery) })
	}
}

// step lets one step pass.
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

// work has each slot of a worker work for a step, and reports the attempts that have finished.
func (s *releaseSimulation) work(worker *simulatedWorker) {
	for _, running := range slices.Clone(worker.running) { // a dispatcher may cancel some meanwhile
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

// warmupFactor returns the share of its capacity that a worker has, by its age.
func (s *releaseSimulation) warmupFactor(worker *simulatedWorker) float64 {
	if !worker.replaced {
		return 1
	}
	config := &s.dispatchers[0].config
	age := float64(s.now.Sub(releasedAt))
	return min(1, config.initialWarmup+(1-config.initialWarmup)*age/float64(config.warmupDuration))
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

// restartDispatchers kills a tenth of the dispatchers, which start again from nothing, twice a second after the release.
func (s *releaseSimulation) restartDispatchers() {
	const interval = Duration(Second / 2)
	if !s.dispatchersRestart || !s.released || s.now.Sub(releasedAt)%interval/simulationStep != 0 {
		return
	}
	for range (len(s.dispatchers) + 9) / 10 {
		s.startDispatcher(s.rng.IntN(len(s.dispatchers)))
	}
}

// removeWarmWorkers has all workers leave but one that were not replaced.
func (s *releaseSimulation) removeWarmWorkers() {
	if !s.warmWorkersLeave || !s.released || s.now.Sub(releasedAt) != leaveAfter {
		return
	}
	leaving := slices.Clone(s.endpoints[s.replacedWorkers()+1:])
	for n := range leaving {
		leaving[n].State = Gone
	}
	s.updateEndpoints(leaving)
}

// replaceWorkers makes the release when its time has come. All dispatchers learn of it at once.
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

// result sums up the replaced workers.
func (s *releaseSimulation) result() releaseResult {
	worst, workDone, capacity := 0.0, 0.0, 0.0
	for _, worker := range s.workers {
		if worker.replaced {
			worst = max(worst, worker.worstBudgetUse)
			workDone += worker.workDone
			capacity += worker.capacity
		}
	}
	return releaseResult{worstBudgetUse: worst, utilization: workDone / capacity}
}

// countSend counts an attempt that was sent to a replaced worker in its budget. The limit is the number of mean requests
// that fill the budget, and two standard deviations and two beyond it for chance.
func (s *releaseSimulation) countSend(worker *simulatedWorker, config *derivedConfig) {
	windowStart := s.now.Add(-config.warmupWindow)
	worker.sentAt = slices.DeleteFunc(worker.sentAt, func(at Time) bool { return at <= windowStart })
	budget := config.overloadFactor * s.warmupFactor(worker) * slotsPerWorker * float64(config.warmupWindow) / meanWork
	limit := budget + 2*math.Sqrt(budget) + 2
	worker.worstBudgetUse = max(worker.worstBudgetUse, float64(len(worker.sentAt))/limit)
}

// releaseEffects are the effects of one dispatcher of a releaseSimulation.
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
		s.countSend(worker, &e.balancer.config)
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
