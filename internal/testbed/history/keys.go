package history

import (
	"cmp"
	"fmt"
	"slices"
)

// RuleKeysPersisted is what dispatchers that keep a state promise beside the four rules: a repeat that its client marks,
// under a key that went out before its dispatcher came back, goes to that one's dedup group or nowhere.
const RuleKeysPersisted Rule = "keys kept through an end"

// checkKeys judges that, over all tries under one key. A dispatcher that was never away has promised nothing: it goes
// by what the first try's client was told.
func (l *Log) checkKeys(t RuleConfig) (violations []Violation) {
	tries := map[uint64][]*Request{}
	for _, request := range l.requests {
		if o := &t.Operations[request.Operation]; request.HasKey && (o.ScopeZone || o.ScopeCell) {
			tries[request.Key] = append(tries[request.Key], request)
		}
	}
	for _, sameKey := range tries {
		slices.SortStableFunc(sameKey, func(a, b *Request) int { return cmp.Compare(a.ID, b.ID) })
		for n, later := range sameKey {
			for _, earlier := range sameKey[:n] {
				violations = append(violations, l.checkRepeat(t, earlier, later)...)
			}
		}
	}
	return violations
}

func (l *Log) checkRepeat(t RuleConfig, earlier, later *Request) (violations []Violation) {
	o := &t.Operations[later.Operation]
	for _, f := range later.Attempts {
		for _, e := range earlier.Attempts {
			outageBetween := slices.ContainsFunc(l.outages, func(a Outage) bool {
				return a.Dispatcher == f.Dispatcher && e.ReceivedAt < a.From && a.To-outageEndSlack <= f.FirstByteAt
			})
			if !later.MarkedRetry || !outageBetween || f.FirstByteAt > e.ReceivedAt+o.DedupWindow-t.Slack {
				continue
			}
			if reason := t.forbiddenRepeat(o, e, f); reason != "" {
				violations = append(violations, Violation{
					Rule: RuleKeysPersisted, ID: later.ID, Dispatcher: f.Dispatcher,
					Worker: f.Worker, At: f.FirstByteAt, Description: fmt.Sprintf("%s, under the key of %s", reason, earlier.ID),
				})
			}
		}
	}
	return violations
}

// outageEndSlack is by how much an outage's end is told too late.
const outageEndSlack = 300_000_000
