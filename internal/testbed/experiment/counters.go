package experiment

import (
	"fmt"
	"strconv"
	"strings"

	"canvasroute/internal/testbed/history"
)

// Tolerances for differences between a dispatcher's own counters and the recorded history. The larger one applies.
const (
	counterTolerance    = 0.01 // share of the requests with the outcome
	minCounterTolerance = 3    // requests
)

// comparedCounters maps dispatcher counters to the names of the outcomes that they count.
var comparedCounters = []struct {
	counter string
	outcome string
}{
	{"succeeded", history.OutcomeNames[history.Succeeded]},
	{"declined", history.OutcomeNames[history.Throttled]},
	{"aborted", history.OutcomeNames[history.Errored]},
}

// uncertainOutcomes are the outcomes of requests that a dispatcher may or may not have counted, because their clients
// received no complete response.
var uncertainOutcomes = []history.Outcome{history.Unanswered, history.Broken, history.Unreachable, history.Interrupted}

// compareCounters compares the counters of each dispatcher with the outcomes of its requests. It skips baselines,
// dispatchers that are not running, and dispatchers that had more than one process.
func (env *environment) compareCounters() {
	for n := range env.listenAddrs {
		p := env.process(n)
		if env.plan.Dispatchers.Policy != Canvasroute || p.incarnations != 1 || !p.isRunning() {
			continue
		}
		dump, err := callAdmin(p.adminAddr, commandCounters)
		if err != nil {
			env.recordFailure(fmt.Errorf("%s: %w", dispatcherName(n), err))
			continue
		}
		env.compareDispatcherCounters(n, parseCounters(dump))
	}
}

// compareDispatcherCounters compares the counters that dispatcher n reported with the outcomes of its requests, and
// records a failure for each counter that differs by more than the tolerance.
func (env *environment) compareDispatcherCounters(n int, reported map[string]int) {
	observed := map[string]int{}
	for _, request := range env.history.Requests() {
		if request.Dispatcher == n {
			observed[history.OutcomeNames[request.Outcome]]++
		}
	}
	uncertain := 0
	for _, outcome := range uncertainOutcomes {
		uncertain += observed[history.OutcomeNames[outcome]]
	}
	for _, pair := range comparedCounters {
		counter, outcomes := reported[pair.counter], observed[pair.outcome]
		tolerance := uncertain + max(minCounterTolerance, int(counterTolerance*float64(outcomes)))
		if counter < outcomes-tolerance || counter > outcomes+tolerance {
			env.recordFailure(fmt.Errorf("%s: counter svc.%s is %d, clients observed %d", dispatcherName(n), pair.counter, counter,
				outcomes))
		}
	}
}

// parseCounters parses the counters of a dump, and returns the sum over all operations for each counter name. Lines
// that are not counters are skipped.
func parseCounters(dump string) map[string]int {
	sums := map[string]int{}
	for line := range strings.Lines(dump) {
		key, text, found := strings.Cut(strings.TrimSpace(strings.TrimPrefix(line, "svc.")), "=")
		value, err := strconv.Atoi(text)
		if !found || err != nil {
			continue
		}
		name, _, _ := strings.Cut(key, ".")
		sums[name] += value
	}
	return sums
}
