package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Regression test for two faults. A worker that only one of many dispatchers was allowed to use was hardly used until
// it was warm. A worker to which all dispatchers sent as soon as it had a free slot broke down.
func TestWarmingWorkerIsUsedByGossipingDispatchersAndNotOverloaded(t *testing.T) {
	for _, dispatchers := range []int{2, 10, 40} {
		simulation := newWarmingSimulation(dispatchers)
		simulation.run()
		assert.Less(t, simulation.maxBudgetUse, 1.0, "%d dispatchers: share of the budget that was sent", dispatchers)
		assert.Greater(t, simulation.utilization(), 0.5, "%d dispatchers: share of the capacity in use", dispatchers)
	}
}

// Regression test for a worker that was overloaded because hints were wrong, or because each dispatcher found out on
// its own that the worker was full: the attempts that it rejects count against its budget.
func TestWarmingWorkerIsNotOverloadedByWrongHints(t *testing.T) {
	const errorDeviation = 0.4 // standard deviation of the logarithm of the error
	for _, dispatchers := range []int{2, 6, 10} {
		for seed := range uint64(8) {
			simulation := newWarmingSimulation(dispatchers)
			rng := rand.New(rand.NewPCG(seed, 1))
			simulation.hintError = func() float64 { return math.Exp(errorDeviation * rng.NormFloat64()) }
			simulation.run()
			assert.Less(t, simulation.maxBudgetUse, 1.0, "%d dispatchers, seed %d", dispatchers, seed)
		}
	}
}

// warmingSlots is the number of slots of the simulated worker.
const warmingSlots = 3

// warmingSimulation simulates a worker that has just started and dispatchers with far more requests than it can handle.
// The speed of each slot is the worker's warm-up factor. The worker rejects attempts that find no free slot.
type warmingSimulation struct {
	now         Time
	startedAt   Time // start time of the worker
	dispatchers []*Balancer

	running   []*simulatedAttempt
	rejected  []*simulatedAttempt // rejected attempts not yet reported
	messages  []loadMessage       // in the order of their due times
	hintError func() float64      // draws the ratio of the work to its hint; nil if hints are exact

	sent         []send  // all attempts sent, including rejected ones
	maxBudgetUse float64 // most work sent within a window, as a share of the budget at the end of the window
	workDone     float64 // in ticks of a warm slot
	capacity     float64 // work that could have been done since the start, in ticks of a warm slot
}

// newWarmingSimulation returns a simulation with dispatchers that share their load and have the right slot estimate.
func newWarmingSimulation(dispatchers int) *warmingSimulation {
	simulation := &warmingSimulation{now: testStart, startedAt: testStart}
	config := testConfig
	config.Dispatchers = dispatchers
	config.Gossip.Enabled = true
	config.LoadReports.FreeSlots = NotReported
	for position := range dispatchers {
		config.Position = position
		effects := &warmingEffects{simulation: simulation, number: PeerID(position)}
		balancer := New(config, uint64(position), effects)
		balancer.SetTime(simulation.now)
		list := []Endpoint{{Worker: 0, ID: "w", StartedAt: simulation.startedAt}}
		balancer.UpdateEndpoints(list, AllEndpoints, FromDiscovery)
		setSlots(balancer, warmingSlots)
		simulation.dispatchers = append(simulation.dispatchers, balancer)
	}
	return simulation
}

// run submits requests to the dispatchers in round-robin order until the worker is nearly warm.
func (s *warmingSimulation) run() {
	const (
		duration        = 19 * Second
		stepsPerArrival = 25
		sizeStride      = 7 // gives each dispatcher requests of different sizes
	)
	sizes := []Work{600, 1500, 4000, 9000, 20000}
	for step := 0; s.now.Sub(s.startedAt) < duration; step++ {
		if step%stepsPerArrival == 0 {
			arrival := step / stepsPerArrival
			receiver := s.dispatchers[arrival%len(s.dispatchers)]
			size := sizes[arrival*sizeStride%len(sizes)]
			receiver.RequestArrived(RequestID(arrival), Arrival{Timeout: 20 * Second, SizeHint: size})
		}
		s.step()
		s.maxBudgetUse = max(s.maxBudgetUse, s.budgetUse())
	}
}

// step advances the simulation by one step.
func (s *warmingSimulation) step() {
	s.now = s.now.Add(simulationStep)
	for _, balancer := range s.dispatchers {
		balancer.SetTime(s.now)
	}
	s.reportRejections()
	s.work()
	s.deliverMessages()
	for _, balancer := range s.dispatchers {
		balancer.RunDueRules()
	}
}

// reportRejections reports the rejected attempts to their dispatchers.
func (s *warmingSimulation) reportRejections() {
	for _, rejected := range s.rejected {
		rejected.balancer.AttemptEnded(rejected.request, rejected.number, Overloaded, NoAnswer)
	}
	s.rejected = nil
}

// work advances the running attempts by one step, and reports those that have started or finished.
func (s *warmingSimulation) work() {
	pace := s.dispatchers[0].warmupFactor(0)
	s.capacity += warmingSlots * pace * float64(simulationStep)
	for _, running := range s.running {
		s.workDone += running.advance(pace * float64(simulationStep))
		running.balancer.AttemptStarted(running.request, running.number)
		if running.finished() {
			running.balancer.AttemptEnded(running.request, running.number, Succeeded, FinalAnswer)
		}
	}
	s.running = slices.DeleteFunc(s.running, (*simulatedAttempt).finished)
}

func (s *warmingSimulation) deliverMessages() {
	for len(s.messages) > 0 && s.messages[0].dueAt <= s.now {
		message := s.messages[0]
		s.dispatchers[message.to].ReceiveLoad(message.from, message.load)
		s.messages = s.messages[1:]
	}
}

// budgetUse returns the work sent within the warm-up window, as a share of the worker's current budget.
func (s *warmingSimulation) budgetUse() float64 {
	config := &s.dispatchers[0].config
	window := config.warmupWindow
	recentWork := 0.0
	for _, sent := range s.sent {
		if sent.sentAt > s.now.Add(-window) {
			recentWork += float64(sent.work)
		}
	}
	factor := s.dispatchers[0].warmupFactor(0)
	return recentWork / (config.overloadFactor * factor * warmingSlots * float64(window))
}

// utilization returns the share of its capacity that the worker has used.
func (s *warmingSimulation) utilization() float64 { return s.workDone / s.capacity }

// warmingEffects implements the effects of one dispatcher in a warmingSimulation.
type warmingEffects struct {
	recorder
	simulation *warmingSimulation
	number     PeerID
}

func (e *warmingEffects) SendAttempt(id RequestID, _ WorkerID, _ Duration) {
	s := e.simulation
	balancer := s.dispatchers[e.number]
	req := &balancer.requests.byID[id]
	sent := &simulatedAttempt{
		balancer: balancer,
		request:  id,
		number:   len(req.attempts) - 1,
		workLeft: float64(req.size),
	}
	if s.hintError != nil {
		sent.workLeft *= s.hintError()
	}
	s.sent = append(s.sent, send{sentAt: s.now, work: Work(sent.workLeft)})
	if len(s.running) < warmingSlots {
		s.running = append(s.running, sent)
		return
	}
	s.rejected = append(s.rejected, sent)
}

func (e *warmingEffects) SendLoad(to PeerID, load WorkerLoad) {
	s := e.simulation
	s.messages = append(s.messages, loadMessage{
		dueAt: s.now.Add(messageDelay),
		from:  e.number,
		to:    to,
		load:  load,
	})
}
