package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"canvasroute/internal/testbed/workload"
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
	Dispatcher  int           `json:"dispatcher"` // index
	Worker      int           `json:"worker"`     // index, or noWorker
	At          time.Duration `json:"at_ns"`      // since the start of the experiment
	Description string        `json:"what"`
}

// noWorker is the Violation.Worker of a violation that concerns no single worker.
const noWorker = -1

// Operation says when a request of an operation may run more than once. Its values are those of workload.Operation.
type Operation struct {
	Name        string
	Idempotency string        // workload.Idempotent, IdempotentByKey or NonIdempotent
	DedupScope  string        // the workers that deduplicate together: workload.ScopeAll, ScopeZone or ScopeCell
	DedupWindow time.Duration // from the arrival of the first attempt
}

// mayRunAgainAnywhere reports whether a request that may have run is safe to send to any worker, within the dedup window.
func (o *Operation) mayRunAgainAnywhere() bool {
	deduplicatedByAll := o.Idempotency == workload.IdempotentByKey && o.DedupScope == workload.ScopeAll
	return o.Idempotency == workload.Idempotent || deduplicatedByAll
}

// deduplicatesAcross reports whether workers at two locations deduplicate the operation together.
func (o *Operation) deduplicatesAcross(a, b Location) bool {
	switch o.DedupScope {
	case workload.ScopeAll:
		return true
	case workload.ScopeZone:
		return a.Zone == b.Zone
	case workload.ScopeCell:
		return a.Cell == b.Cell
	}
	return false
}

// Location is where a worker runs.
type Location struct {
	Zone int // index
	Cell int // index among the cells of all zones
}

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
		violations = append(violations, overload.violation())
	}
	for n, violation := range violations {
		if request := l.byID[violation.ID]; request != nil && request.Operation < len(config.Operations) {
			violations[n].Operation = config.Operations[request.Operation].Name
		}
	}
	slices.SortStableFunc(violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return violations
}

// violation returns the violation of RuleWarmupBudget that the overload is.
func (o Overload) violation() Violation {
	return Violation{
		Rule:       RuleWarmupBudget,
		ID:         o.ID,
		Dispatcher: o.Dispatcher,
		Worker:     o.Worker,
		At:         o.At,
		Description: fmt.Sprintf("%v of work within the span, over its budget of %v: %s",
			o.SentWork.Round(time.Millisecond), o.Budget.Round(time.Millisecond), o.RecentJobs),
	}
}

// unavailable reports whether a dispatcher was down or paused, other than planned, at some time between from and to.
func (l *Log) unavailable(dispatcher int, from, to time.Duration) bool {
	return slices.ContainsFunc(l.outages, func(o Outage) bool {
		overlaps := o.From <= to && o.To >= from
		return o.Dispatcher == dispatcher && !o.Planned && overlaps
	})
}

// checkLost checks rule 1. A request that a running dispatcher has accepted gets one complete answer in time. A success
// carries a result that a worker produced for this request.
func (l *Log) checkLost(request *Request) []Violation {
	violation := func(reason string) []Violation {
		return []Violation{{
			Rule:        RuleNoRequestLost,
			ID:          request.ID,
			Dispatcher:  request.Dispatcher,
			Worker:      noWorker,
			At:          max(request.EndedAt, request.SentAt),
			Description: reason,
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

// checkDoubleEffect checks rule 2 for one request. An attempt may follow another that may have run only if the operation
// allows it. A request that may have run must not be rejected, as its client would send it again.
func (c RuleConfig) checkDoubleEffect(request *Request) []Violation {
	attempts := slices.Clone(request.Attempts)
	slices.SortStableFunc(attempts, func(a, b *Attempt) int { return cmp.Compare(a.FirstByteAt, b.FirstByteAt) })
	return append(c.checkRepeats(request, attempts), c.checkRejection(request, attempts)...)
}

// checkRepeats checks each attempt of a request against those before it. attempts are in the order of their first bytes.
func (c RuleConfig) checkRepeats(request *Request, attempts []*Attempt) (violations []Violation) {
	operation := &c.Operations[request.Operation]
	for n, attempt := range attempts {
		for _, earlier := range attempts[:n] {
			if request.resentBetween(earlier, attempt) {
				continue // checkLost covers that
			}
			if reason := c.forbiddenRepeat(operation, earlier, attempt); reason != "" {
				violations = append(violations, attempt.violation(RuleNoDoubleEffect, request.ID, attempt.ReceivedAt, reason))
				break
			}
		}
	}
	return violations
}

// checkRejection checks that no attempt of a rejected request may have run. Attempts from before the client sent the
// request again do not count: checkLost covers them, and a new process knows nothing of them.
func (c RuleConfig) checkRejection(request *Request, attempts []*Attempt) []Violation {
	if request.Outcome != Throttled || c.Operations[request.Operation].mayRunAgainAnywhere() {
		return nil
	}
	for _, attempt := range attempts {
		if attempt.FirstByteAt < request.ResentAt {
			continue
		}
		if attempt.ReceivedAt < request.EndedAt && !attempt.provenUnstarted(request.EndedAt) {
			const reason = "rejected, though an attempt may have run"
			return []Violation{attempt.violation(RuleNoDoubleEffect, request.ID, request.EndedAt, reason)}
		}
	}
	return nil
}

// resentBetween reports whether the client sent the request again after one attempt and before another.
func (r *Request) resentBetween(earlier, later *Attempt) bool {
	return earlier.FirstByteAt < r.ResentAt && later.FirstByteAt >= r.ResentAt
}

// violation returns a violation of a rule by an attempt of the request with an ID.
func (a *Attempt) violation(rule Rule, id string, at time.Duration, description string) Violation {
	return Violation{
		Rule:        rule,
		ID:          id,
		Dispatcher:  a.Dispatcher,
		Worker:      a.Worker,
		At:          at,
		Description: description,
	}
}

// forbiddenRepeat returns why another attempt after an earlier one is forbidden, or "" if it is allowed.
func (c RuleConfig) forbiddenRepeat(operation *Operation, earlier, attempt *Attempt) string {
	if operation.Idempotency == workload.Idempotent || earlier.provenUnstarted(attempt.FirstByteAt) {
		return ""
	}
	if operation.Idempotency == workload.NonIdempotent {
		return fmt.Sprintf("sent again, though worker %d may have run it", earlier.Worker)
	}
	if !operation.deduplicatesAcross(c.Workers[earlier.Worker], c.Workers[attempt.Worker]) {
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
	byPair := l.notificationsByPair()
	for _, request := range l.requests {
		for _, attempt := range request.Attempts {
			notifications := byPair[dispatcherWorker{attempt.Dispatcher, attempt.Worker}]
			since, notReady := notReadySince(notifications, attempt.FirstByteAt)
			late := attempt.FirstByteAt - since
			if !notReady || late <= config.DrainGrace+config.Slack {
				continue
			}
			description := fmt.Sprintf("sent %v after the dispatcher was notified that the worker drains or is gone",
				late.Round(time.Millisecond))
			violations = append(violations, attempt.violation(RuleDrainsRespected, request.ID, attempt.FirstByteAt, description))
		}
	}
	return violations
}

// dispatcherWorker is a dispatcher and a worker, by their indexes.
type dispatcherWorker struct {
	dispatcher int
	worker     int
}

// notificationsByPair returns the notifications of each dispatcher about each worker, ordered by time.
func (l *Log) notificationsByPair() map[dispatcherWorker][]Notification {
	byPair := map[dispatcherWorker][]Notification{}
	for _, notification := range l.notifications {
		pair := dispatcherWorker{notification.Dispatcher, notification.Worker}
		byPair[pair] = append(byPair[pair], notification)
	}
	for _, notifications := range byPair {
		slices.SortStableFunc(notifications, func(a, b Notification) int { return cmp.Compare(a.At, b.At) })
	}
	return byPair
}

// notReadySince reports whether a worker was listed as not ready at a time, and since when. A repeated notification
// does not restart the grace.
func notReadySince(notifications []Notification, at time.Duration) (since time.Duration, notReady bool) {
	for _, notification := range notifications {
		switch {
		case notification.At > at: // not yet
		case notification.Ready:
			notReady = false
		case !notReady:
			since = notification.At
			notReady = true
		}
	}
	return since, notReady
}
