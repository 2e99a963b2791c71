package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Rule is one of the four.
type Rule string

// The values of Rule.
const (
	RuleNoRequestLost   Rule = "no invocation lost"
	RuleNoDoubleEffect  Rule = "no effect twice"
	RuleDrainsRespected Rule = "drains kept"
	RuleWarmupBudget    Rule = "no cold worker pushed over"
)

// Rules are all four, in their order.
var Rules = [...]Rule{RuleNoRequestLost, RuleNoDoubleEffect, RuleDrainsRespected, RuleWarmupBudget}

// Violation is a rule that was broken, and by what.
type Violation struct {
	Rule        Rule          `json:"rule"`
	ID          string        `json:"invocation,omitempty"`
	Operation   string        `json:"operation,omitempty"`
	Dispatcher  int           `json:"dispatcher"` // numbers, -1 where there is none
	Worker      int           `json:"worker"`
	At          time.Duration `json:"at_ns"` // from the experiment's start
	Description string        `json:"what"`
}

// Operation says how far an operation may run again.
type Operation struct {
	Name                           string
	Idempotent, NonIdempotent      bool // neither: it is deduplicated
	ScopeAll, ScopeZone, ScopeCell bool // the group that drops repeats
	DedupWindow                    time.Duration
}

// Location is where a worker stands.
type Location struct{ Zone, Cell int }

// RuleConfig are what the rules are judged by.
type RuleConfig struct {
	Operations    []Operation
	Workers       []Location    // by worker
	DrainGrace    time.Duration // of a drain
	Slack         time.Duration // that each time limit is longer by, for the machine's own delays
	KeysPersisted bool          // dispatchers keep keys through their own end
}

// Check names every breach, in the order of time.
func (l *Log) Check(t RuleConfig) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	violations := slices.Clone(l.unknown)
	for _, request := range l.requests {
		violations = append(violations, l.checkLost(request)...)
		violations = append(violations, t.checkDoubleEffect(request)...)
	}
	violations = append(violations, l.checkDrains(t)...)
	if t.KeysPersisted {
		violations = append(violations, l.checkKeys(t)...)
	}
	for _, f := range l.overloads {
		violations = append(violations, Violation{
			Rule: RuleWarmupBudget, ID: f.ID, Dispatcher: f.Dispatcher,
			Worker: f.Worker, At: f.At,
			Description: fmt.Sprintf("%v of work within the span, where it bears %v: %s",
				f.SentWork.Round(time.Millisecond), f.Budget.Round(time.Millisecond), f.RecentJobs),
		})
	}
	for n, b := range violations {
		if request := l.byID[b.ID]; request != nil && request.Operation < len(t.Operations) {
			violations[n].Operation = t.Operations[request.Operation].Name
		}
	}
	slices.SortStableFunc(violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return violations
}

// unavailable tells whether the dispatcher was gone or stood still at some time from one to another.
func (l *Log) unavailable(dispatcher int, from, to time.Duration) bool {
	return slices.ContainsFunc(l.outages, func(o Outage) bool {
		return o.Dispatcher == dispatcher && !o.Planned && o.From <= to && o.To >= from
	})
}

// checkLost judges rule 1: what a running dispatcher has taken gets one whole answer in time, and a success
// carries what a worker made for this very invocation.
func (l *Log) checkLost(request *Request) []Violation {
	violation := func(reason string) []Violation {
		return []Violation{{
			Rule: RuleNoRequestLost, ID: request.ID, Dispatcher: request.Dispatcher, Worker: -1,
			At: max(request.EndedAt, request.SentAt), Description: reason,
		}}
	}
	producedResult := func(f *Attempt) bool { return f.Result == request.Result && f.Result != "" }
	lostOnConnection := func(f *Attempt) bool {
		return f.FirstByteAt < request.ResentAt && !l.unavailable(request.Dispatcher, f.FirstByteAt, request.ResentAt)
	}
	switch {
	case slices.ContainsFunc(request.Attempts, lostOnConnection):
		return violation("its kept connection ended with no answer, though it had been forwarded")
	case request.Outcome == Succeeded && !slices.ContainsFunc(request.Attempts, producedResult):
		return violation(fmt.Sprintf("answered with %.60q, which no worker made for it", request.Result))
	case request.SentAt == 0, request.Outcome == Interrupted, l.unavailable(request.Dispatcher, request.SentAt, max(request.EndedAt, request.SentAt)):
		return nil
	case request.Outcome == Broken:
		return violation("its connection ended with no whole answer")
	case request.Outcome == Unanswered && request.EndedAt >= request.Deadline:
		return violation("no answer before the client gave up")
	}
	return nil
}

// checkDoubleEffect judges rule 2 for one invocation.
func (t RuleConfig) checkDoubleEffect(request *Request) (violations []Violation) {
	o, attempts := &t.Operations[request.Operation], slices.Clone(request.Attempts)
	slices.SortStableFunc(attempts, func(a, b *Attempt) int { return cmp.Compare(a.FirstByteAt, b.FirstByteAt) })
	for n, f := range attempts {
		for _, earlier := range attempts[:n] {
			if earlier.FirstByteAt < request.ResentAt && f.FirstByteAt >= request.ResentAt {
				continue // its client has sent it anew: judged as lost
			}
			if reason := t.forbiddenRepeat(o, earlier, f); reason != "" {
				violations = append(violations, Violation{
					Rule: RuleNoDoubleEffect, ID: request.ID, Dispatcher: f.Dispatcher,
					Worker: f.Worker, At: f.ReceivedAt, Description: reason,
				})
				break
			}
		}
	}
	if request.Outcome != Throttled || o.Idempotent || !o.NonIdempotent && o.ScopeAll {
		return violations
	}
	for _, f := range attempts {
		if f.FirstByteAt < request.ResentAt {
			continue // sent anew by its client since, and judged as lost: a dispatcher that died has read no more of it
		}
		if f.ReceivedAt < request.EndedAt && !f.provenUnstarted(request.EndedAt) {
			return append(violations, Violation{
				Rule: RuleNoDoubleEffect, ID: request.ID, Dispatcher: f.Dispatcher,
				Worker: f.Worker, At: request.EndedAt, Description: "throttled, though a forward may have run",
			})
		}
	}
	return violations
}

// forbiddenRepeat tells what is wrong with one more forward after an earlier one, if anything.
func (t RuleConfig) forbiddenRepeat(o *Operation, earlier, f *Attempt) string {
	if o.Idempotent || earlier.provenUnstarted(f.FirstByteAt) {
		return ""
	}
	if o.NonIdempotent {
		return fmt.Sprintf("forwarded again, though worker %d may have run it", earlier.Worker)
	}
	a, b := t.Workers[earlier.Worker], t.Workers[f.Worker]
	if !o.ScopeAll && (!o.ScopeZone || a.Zone != b.Zone) && (!o.ScopeCell || a.Cell != b.Cell) {
		return fmt.Sprintf("forwarded outside the dedup group of worker %d, which may have run it", earlier.Worker)
	}
	if f.FirstByteAt > earlier.ReceivedAt+o.DedupWindow {
		return "forwarded again after the dedup window"
	}
	return ""
}

// checkDrains judges rule 3: from the grace after a dispatcher was told, no first byte comes from it.
func (l *Log) checkDrains(t RuleConfig) (violations []Violation) {
	type pair struct{ dispatcher, worker int }
	notifications := map[pair][]Notification{}
	for _, n := range l.notifications {
		notifications[pair{n.Dispatcher, n.Worker}] = append(notifications[pair{n.Dispatcher, n.Worker}], n)
	}
	for _, notices := range notifications {
		slices.SortStableFunc(notices, func(a, b Notification) int { return cmp.Compare(a.At, b.At) })
	}
	for _, request := range l.requests {
		for _, f := range request.Attempts {
			since, notReady := time.Duration(0), false
			for _, n := range notifications[pair{f.Dispatcher, f.Worker}] {
				switch {
				case n.At > f.FirstByteAt:
				case n.Ready:
					notReady = false
				case !notReady:
					since, notReady = n.At, true
				}
			}
			if late := f.FirstByteAt - since; notReady && late > t.DrainGrace+t.Slack {
				violations = append(violations, Violation{
					Rule: RuleDrainsRespected, ID: request.ID, Dispatcher: f.Dispatcher,
					Worker: f.Worker, At: f.FirstByteAt, Description: fmt.Sprintf("sent %v after the dispatcher was told that "+
						"the worker drains or is gone", late.Round(time.Millisecond)),
				})
			}
		}
	}
	return violations
}
