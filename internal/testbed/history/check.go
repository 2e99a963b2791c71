package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Rule is the name of a rule that dispatchers must keep. Results use it as a key.
type Rule string

// The values of Rule.
const (
	RuleNoRequestLost   Rule = "no invocation lost"
	RuleNoDoubleEffect  Rule = "no effect twice"
	RuleDrainsRespected Rule = "drains kept"
	RuleWarmupBudget    Rule = "no cold worker pushed over"
)

// Rules are the rules that are always checked.
var Rules = [...]Rule{RuleNoRequestLost, RuleNoDoubleEffect, RuleDrainsRespected, RuleWarmupBudget}

// Violation is one violation of a rule.
type Violation struct {
	Rule        Rule          `json:"rule"`
	ID          string        `json:"invocation,omitempty"`
	Operation   string        `json:"operation,omitempty"`
	Dispatcher  int           `json:"dispatcher"` // index, -1 for none
	Worker      int           `json:"worker"`
	At          time.Duration `json:"at_ns"` // since the start of the experiment
	Description string        `json:"what"`
}

// Operation says when a request of an operation may run more than once.
type Operation struct {
	Name                           string
	Idempotent, NonIdempotent      bool // neither: idempotent by key
	ScopeAll, ScopeZone, ScopeCell bool // the workers that deduplicate together
	DedupWindow                    time.Duration
}

// Location is a worker's zone and cell.
type Location struct{ Zone, Cell int }

// RuleConfig is what the rules depend on.
type RuleConfig struct {
	Operations    []Operation
	Workers       []Location    // by worker
	DrainGrace    time.Duration // until a dispatcher must have stopped sending to a draining worker
	Slack         time.Duration // added to each time limit, for delays of the machine that runs the experiment
	KeysPersisted bool          // dispatchers persist keys, so RuleKeysPersisted is checked
}

// Check returns all violations, ordered by time.
func (l *Log) Check(config RuleConfig) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	violations := slices.Clone(l.unknown)
	for _, request := range l.requests {
		violations = append(violations, l.checkLost(request)...)
		violations = append(violations, config.checkDoubleEffect(request)...)
	}
	violations = append(violations, l.checkDrains(config)...)
	if config.KeysPersisted {
		violations = append(violations, l.checkKeys(config)...)
	}
	for _, overload := range l.overloads {
		violations = append(violations, Violation{
			Rule: RuleWarmupBudget, ID: overload.ID, Dispatcher: overload.Dispatcher,
			Worker: overload.Worker, At: overload.At,
			Description: fmt.Sprintf("%v of work within the span, over its budget of %v: %s",
				overload.SentWork.Round(time.Millisecond), overload.Budget.Round(time.Millisecond), overload.RecentJobs),
		})
	}
	for n, b := range violations {
		if request := l.byID[b.ID]; request != nil && request.Operation < len(config.Operations) {
			violations[n].Operation = config.Operations[request.Operation].Name
		}
	}
	slices.SortStableFunc(violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return violations
}

// unavailable reports whether a dispatcher was down or paused at some time between from and to.
func (l *Log) unavailable(dispatcher int, from, to time.Duration) bool {
	return slices.ContainsFunc(l.outages, func(o Outage) bool {
		return o.Dispatcher == dispatcher && !o.Planned && o.From <= to && o.To >= from
	})
}

// checkLost checks rule 1: a request that a running dispatcher has accepted gets one complete answer in time, and a
// success carries a result that a worker produced for this request.
func (l *Log) checkLost(request *Request) []Violation {
	violation := func(reason string) []Violation {
		return []Violation{{
			Rule: RuleNoRequestLost, ID: request.ID, Dispatcher: request.Dispatcher, Worker: -1,
			At: max(request.EndedAt, request.SentAt), Description: reason,
		}}
	}
	producedResult := func(attempt *Attempt) bool { return attempt.Result == request.Result && attempt.Result != "" }
	lostOnConnection := func(attempt *Attempt) bool {
		return attempt.FirstByteAt < request.ResentAt && !l.unavailable(request.Dispatcher, attempt.FirstByteAt, request.ResentAt)
	}
	switch {
	case slices.ContainsFunc(request.Attempts, lostOnConnection):
		return violation("its idle connection ended without an answer after an attempt had been sent")
	case request.Outcome == Succeeded && !slices.ContainsFunc(request.Attempts, producedResult):
		return violation(fmt.Sprintf("answered with %.60q, which no worker produced for it", request.Result))
	case request.SentAt == 0, request.Outcome == Interrupted:
		return nil
	case l.unavailable(request.Dispatcher, request.SentAt, max(request.EndedAt, request.SentAt)):
		return nil
	case request.Outcome == Broken:
		return violation("its connection ended without a complete answer")
	case request.Outcome == Unanswered && request.EndedAt >= request.Deadline:
		return violation("no answer before the client gave up")
	}
	return nil
}

// checkDoubleEffect checks rule 2 for one request: no attempt after another that may have run, unless the operation
// allows it, and no rejection of a request that may have run.
func (t RuleConfig) checkDoubleEffect(request *Request) (violations []Violation) {
	operation, attempts := &t.Operations[request.Operation], slices.Clone(request.Attempts)
	slices.SortStableFunc(attempts, func(a, b *Attempt) int { return cmp.Compare(a.FirstByteAt, b.FirstByteAt) })
	for n, attempt := range attempts {
		for _, earlier := range attempts[:n] {
			if earlier.FirstByteAt < request.ResentAt && attempt.FirstByteAt >= request.ResentAt {
				continue // resent by the client: checkLost covers that
			}
			if reason := t.forbiddenRepeat(operation, earlier, attempt); reason != "" {
				violations = append(violations, Violation{
					Rule: RuleNoDoubleEffect, ID: request.ID, Dispatcher: attempt.Dispatcher,
					Worker: attempt.Worker, At: attempt.ReceivedAt, Description: reason,
				})
				break
			}
		}
	}
	if request.Outcome != Throttled || operation.Idempotent || !operation.NonIdempotent && operation.ScopeAll {
		return violations
	}
	for _, attempt := range attempts {
		if attempt.FirstByteAt < request.ResentAt {
			continue // resent by the client, which checkLost covers: a new process knows nothing of earlier attempts
		}
		if attempt.ReceivedAt < request.EndedAt && !attempt.provenUnstarted(request.EndedAt) {
			return append(violations, Violation{
				Rule: RuleNoDoubleEffect, ID: request.ID, Dispatcher: attempt.Dispatcher,
				Worker: attempt.Worker, At: request.EndedAt, Description: "rejected, though an attempt may have run",
			})
		}
	}
	return violations
}

// forbiddenRepeat returns why another attempt after an earlier one is forbidden, or "".
func (t RuleConfig) forbiddenRepeat(operation *Operation, earlier, attempt *Attempt) string {
	if operation.Idempotent || earlier.provenUnstarted(attempt.FirstByteAt) {
		return ""
	}
	if operation.NonIdempotent {
		return fmt.Sprintf("sent again, though worker %d may have run it", earlier.Worker)
	}
	a, b := t.Workers[earlier.Worker], t.Workers[attempt.Worker]
	if !operation.ScopeAll && (!operation.ScopeZone || a.Zone != b.Zone) && (!operation.ScopeCell || a.Cell != b.Cell) {
		return fmt.Sprintf("sent outside the dedup group of worker %d, which may have run it", earlier.Worker)
	}
	if attempt.FirstByteAt > earlier.ReceivedAt+operation.DedupWindow {
		return "sent again after the dedup window"
	}
	return ""
}

// checkDrains checks rule 3: a dispatcher sends nothing to a worker from the grace after it was notified that the
// worker is draining or gone.
func (l *Log) checkDrains(config RuleConfig) (violations []Violation) {
	type pair struct{ dispatcher, worker int }
	byPair := map[pair][]Notification{}
	for _, n := range l.notifications {
		key := pair{n.Dispatcher, n.Worker}
		byPair[key] = append(byPair[key], n)
	}
	for _, notifications := range byPair {
		slices.SortStableFunc(notifications, func(a, b Notification) int { return cmp.Compare(a.At, b.At) })
	}
	for _, request := range l.requests {
		for _, attempt := range request.Attempts {
			since, notReady := notReadySince(byPair[pair{attempt.Dispatcher, attempt.Worker}], attempt.FirstByteAt)
			late := attempt.FirstByteAt - since
			if !notReady || late <= config.DrainGrace+config.Slack {
				continue
			}
			violations = append(violations, Violation{
				Rule: RuleDrainsRespected, ID: request.ID, Dispatcher: attempt.Dispatcher,
				Worker: attempt.Worker, At: attempt.FirstByteAt,
				Description: fmt.Sprintf("sent %v after the dispatcher was notified that the worker drains or is gone",
					late.Round(time.Millisecond)),
			})
		}
	}
	return violations
}

// notReadySince reports whether a worker was listed as not ready at a time, and since when. A repeated notification
// does not restart the grace.
func notReadySince(notifications []Notification, at time.Duration) (since time.Duration, notReady bool) {
	for _, n := range notifications {
		switch {
		case n.At > at:
		case n.Ready:
			notReady = false
		case !notReady:
			since = n.At
			notReady = true
		}
	}
	return since, notReady
}
