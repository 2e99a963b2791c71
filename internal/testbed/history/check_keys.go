package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"canvasroute/internal/testbed/workload"
)

// RuleKeysPersisted is a rule for dispatchers that persist state. If an attempt with a key was sent to a worker before
// an outage of the dispatcher, the dispatcher must not send a marked retry with that key to workers outside that
// worker's dedup group.
const RuleKeysPersisted Rule = "keys kept through an end"

// checkKeys checks RuleKeysPersisted for all requests with the same key. Attempts of a dispatcher that had no outage
// are not checked.
func (l *Log) checkKeys(config RuleConfig) (violations []Violation) {
	byKey := map[uint64][]*Request{}
	for _, request := range l.requests {
		if request.HasKey && config.Operations[request.Operation].hasSeveralDedupGroups() {
			byKey[request.Key] = append(byKey[request.Key], request)
		}
	}
	for _, sameKey := range byKey {
		slices.SortStableFunc(sameKey, func(a, b *Request) int { return cmp.Compare(a.ID, b.ID) })
		for n, later := range sameKey {
			for _, earlier := range sameKey[:n] {
				violations = append(violations, l.checkRetry(config, earlier, later)...)
			}
		}
	}
	return violations
}

// hasSeveralDedupGroups reports whether the operation has a dedup group for each zone or cell.
func (o *Operation) hasSeveralDedupGroups() bool {
	return o.DedupScope == workload.ScopeZone || o.DedupScope == workload.ScopeCell
}

// checkRetry checks the attempts of a marked retry against the attempts of an earlier request with the same key.
func (l *Log) checkRetry(config RuleConfig, earlier, later *Request) (violations []Violation) {
	if !later.MarkedRetry {
		return nil
	}
	operation := &config.Operations[later.Operation]
	for _, attempt := range later.Attempts {
		for _, first := range earlier.Attempts {
			expired := attempt.FirstByteAt > first.ReceivedAt+operation.DedupWindow-config.Slack
			if expired || !l.hadOutageBetween(first, attempt) {
				continue
			}
			if reason := config.repeatViolation(operation, first, attempt); reason != "" {
				description := fmt.Sprintf("%s, under the key of %s", reason, earlier.ID)
				violations = append(violations, attempt.violation(RuleKeysPersisted, later.ID, attempt.FirstByteAt, description))
			}
		}
	}
	return violations
}

// hadOutageBetween reports whether the dispatcher of the later attempt had an outage between the two attempts.
func (l *Log) hadOutageBetween(earlier, later *Attempt) bool {
	return slices.ContainsFunc(l.outages, func(o Outage) bool {
		isBetween := earlier.ReceivedAt < o.Start && o.End-outageEndSlack <= later.FirstByteAt
		return o.Dispatcher == later.Dispatcher && isBetween
	})
}

// outageEndSlack is the maximum delay of the recorded end of an outage after the actual end.
const outageEndSlack = 300 * time.Millisecond
