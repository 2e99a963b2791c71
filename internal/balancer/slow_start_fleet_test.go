package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Regression test for two faults at once: a worker that only one of many dispatchers may use is hardly used until it is
// warm, and one to which all of them send whenever a slot comes free breaks down.
func TestWarmingWorkerIsUsedByGossipingDispatchersAndNotOverloaded(t *testing.T) {
	for _, dispatchers := range []int{2, 10, 40} {
		simulation := newWarmingSimulation(dispatchers)
		simulation.run()
		assert.Less(t, simulation.worstBudgetUse, 1.0, "%d dispatchers: share of the budget that was sent", dispatchers)
		assert.Greater(t, simulation.utilization(), 0.5, "%d dispatchers: share of the capacity in use", dispatchers)
	}
}

// Regression test for hints that are wrong, and for a worker that each dispatcher finds full for itself: the attempts
// that it rejects count as sent.
func TestWarmingWorkerIsNotOverloadedByWrongHints(t *testing.T) {
	const errorDeviation = 0.4 // standard deviation of the logarithm of the error
	for _, dispatchers := range []int{2, 6, 10} {
		for seed := range uint64(8) {
			simulation := newWarmingSimulation(dispatchers)
			rng := rand.New(rand.NewPCG(seed, 1))
			simulation.hintError = func() float64 { return math.Exp(errorDeviation * rng.NormFloat64()) }
			simulation.run()
			assert.Less(t, simulation.worstBudgetUse, 1.0, "%d dispatchers, seed %d", dispatchers, seed)
		}
	}
}

// warmingSlots is the number of slots of the simulated worker.
const warmingSlots = 3

// warmingSimulation simulates a worker that has just started, and the dispatchers that send it far more than it can do.
// Each of its slots works at the pace of the worker's warm-up factor. It rejects what finds no free slot.
type warmingSimulation struct {
	now         Time
	startedAt   Time // of the worker
	dispatchers []*Balancer

	running   []*simulatedAttempt
	rejected  []*simulatedAttempt // not yet reported
	messages  []loadMessage       // in the order in which they are due
	hintError func() float64      // work over its hint; nil where hints are exact

	sent           []send  // all attempts that came, rejected ones too
	worstBudgetUse float64 // the most that was sent within a window, as a share of the budget at its end
	workDone       float64 // in ticks of a warm slot
	capacity       float64 // work that could have been done since the start, in the same unit
}

// newWarmingSimulation returns dispatchers that share their load and know the worker's slots.
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

// run has requests arrive at each dispatcher in turn until the worker is nearly warm.
func (s *warmingSimulation) run() {
	const (
		duration        = 19 * Second
		stepsPerArrival = 25
		sizeStride      = 7 // so that the sizes at one dispatcher differ
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
		s.worstBudgetUse = max(s.worstBudgetUse, s.budgetUse())
	}
}

// step lets one step pass.
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

func (s *warmingSimulation) reportRejections() {
	for _, rejected := range s.rejected {
		rejected.balancer.AttemptEnded(rejected.request, rejected.number, Overloaded, NoAnswer)
	}
	s.rejected = nil
}

// work has each slot work for a step, and reports the attempts that run or have finished.
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

// budgetUse returns the work that was sent within the warm-up window, as a share of what the worker bears now.
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

// warmingEffects are the effects of one dispatcher of a warmingSimulation.
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
