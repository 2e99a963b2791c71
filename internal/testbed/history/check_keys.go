package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"canvasroute/internal/testbed/workload"
)

// RuleKeysPersisted is a rule for dispatchers that persist state. It concerns a marked retry under a key that was sent
// to a worker before the dispatcher's outage. The retry goes to that worker's dedup group or nowhere.
const RuleKeysPersisted Rule = "keys kept through an end"

// checkKeys checks RuleKeysPersisted over all requests under one key. It does not apply to a dispatcher that had no
// outage.
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
				violations = append(violations, l.checkRepeat(config, earlier, later)...)
			}
		}
	}
	return violations
}

// hasSeveralDedupGroups reports whether not all workers deduplicate the operation together.
func (o *Operation) hasSeveralDedupGroups() bool {
	return o.DedupScope == workload.ScopeZone || o.DedupScope == workload.ScopeCell
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
				description := fmt.Sprintf("%s, under the key of %s", reason, earlier.ID)
				violations = append(violations, attempt.violation(RuleKeysPersisted, later.ID, attempt.FirstByteAt, description))
			}
		}
	}
	return violations
}

// outageBetween reports whether the dispatcher of the later attempt had an outage after the earlier one.
func (l *Log) outageBetween(earlier, later *Attempt) bool {
	return slices.ContainsFunc(l.outages, func(o Outage) bool {
		isBetween := earlier.ReceivedAt < o.From && o.To-outageEndSlack <= later.FirstByteAt
		return o.Dispatcher == later.Dispatcher && isBetween
	})
}

// outageEndSlack is by how much the recorded end of an outage may be later than the real one.
const outageEndSlack = 300 * time.Millisecond
