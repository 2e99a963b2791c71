package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// RuleKeysPersisted is a rule for dispatchers that persist state: a marked retry under a key that was sent to a worker
// before the dispatcher's outage goes to that worker's dedup group or nowhere.
const RuleKeysPersisted Rule = "keys kept through an end"

// checkKeys checks RuleKeysPersisted over all requests under one key. It does not apply to a dispatcher that had no
// outage.
func (l *Log) checkKeys(config RuleConfig) (violations []Violation) {
	byKey := map[uint64][]*Request{}
	for _, request := range l.requests {
		if operation := &config.Operations[request.Operation]; request.HasKey && (operation.ScopeZone || operation.ScopeCell) {
			byKey[request.Key] = append(byKey[request.Key], request)
		}
	}
	for _, sameKey := range byKey {
		slices.SortStableFunc(sameKey, func(a, b *Request) int { return cmp.Compare(a.ID, b.ID) })
		for n, later := range sameKey {
			for _, earlier := range sameKey[:n] {
				violations = append(violations, l.checkRepeat(config, earlier, later)...)
			}
		}
	}
	return violations
}

// checkRepeat checks the attempts of a retry against those of an earlier request under the same key.
func (l *Log) checkRepeat(config RuleConfig, earlier, later *Request) (violations []Violation) {
	if !later.MarkedRetry {
		return nil
	}
	operation := &config.Operations[later.Operation]
	for _, attempt := range later.Attempts {
		for _, first := range earlier.Attempts {
			expired := attempt.FirstByteAt > first.ReceivedAt+operation.DedupWindow-config.Slack
			if expired || !l.outageBetween(first, attempt) {
				continue
			}
			if reason := config.forbiddenRepeat(operation, first, attempt); reason != "" {
				violations = append(violations, Violation{
					Rule: RuleKeysPersisted, ID: later.ID, Dispatcher: attempt.Dispatcher,
					Worker: attempt.Worker, At: attempt.FirstByteAt,
					Description: fmt.Sprintf("%s, under the key of %s", reason, earlier.ID),
				})
			}
		}
	}
	return violations
}

// outageBetween reports whether the dispatcher of the later attempt had an outage after the earlier one.
func (l *Log) outageBetween(earlier, later *Attempt) bool {
	return slices.ContainsFunc(l.outages, func(o Outage) bool {
		return o.Dispatcher == later.Dispatcher && earlier.ReceivedAt < o.From && o.To-outageEndSlack <= later.FirstByteAt
	})
}

// outageEndSlack is by how much the recorded end of an outage may be later than the real one.
const outageEndSlack = 300 * time.Millisecond
