package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"canvasroute/internal/testbed/workload"
)

// Rule is the name of a rule that dispatchers must keep. It is a key in result files.
type Rule string

// Values of Rule.
const (
	RuleNoRequestLost   Rule = "no invocation lost"
	RuleNoDoubleEffect  Rule = "no effect twice"
	RuleDrainsRespected Rule = "drains kept"
	RuleWarmupBudget    Rule = "no cold worker pushed over"
)

// Rules are the rules that are always checked.
var Rules = [...]Rule{RuleNoRequestLost, RuleNoDoubleEffect, RuleDrainsRespected, RuleWarmupBudget}

// Violation is a violation of a rule.
type Violation struct {
	Rule        Rule          `json:"rule"`
	ID          string        `json:"invocation,omitempty"`
	Operation   string        `json:"operation,omitempty"`
	Dispatcher  int           `json:"dispatcher"` // index of the dispatcher
	Worker      int           `json:"worker"`     // index of the worker, or noWorker
	At          time.Duration `json:"at_ns"`      // since the start of the experiment
	Description string        `json:"what"`
}

// noWorker is the value of Violation.Worker if the violation does not concern a single worker.
const noWorker = -1

// Operation defines under which conditions a request of an operation may run more than once. The values are those of
// workload.Operation.
type Operation struct {
	Name        string
	Idempotency string        // workload.Idempotent, IdempotentByKey or NonIdempotent
	DedupScope  string        // workers that share a dedup group: workload.ScopeAll, ScopeZone or ScopeCell
	DedupWindow time.Duration // from the time at which the first attempt was received
}

// canRunAgainOnAnyWorker reports whether a request that may have run can safely be sent to any worker within the dedup
// window.
func (o *Operation) canRunAgainOnAnyWorker() bool {
	deduplicatedByAll := o.Idempotency == workload.IdempotentByKey && o.DedupScope == workload.ScopeAll
	return o.Idempotency == workload.Idempotent || deduplicatedByAll
}

// deduplicatesAcross reports whether workers at two locations share a dedup group for the operation.
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

// Location is the location of a worker.
type Location struct {
	Zone int // index
	Cell int // index in the cells of all zones
}

// RuleConfig contains the parameters of the rules.
type RuleConfig struct {
	Operations    []Operation
	Workers       []Location    // by worker index
	DrainGrace    time.Duration // time within which a dispatcher must stop sending to a draining worker
	Slack         time.Duration // tolerance of time limits, for delays on the machine that runs the experiment
	KeysPersisted bool          // dispatchers persist keys, so RuleKeysPersisted is checked
}

// Check checks the record against the rules and returns all violations, ordered by time.
func (l *Log) Check(config RuleConfig) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	violations := slices.Clone(l.unknownIDs)
	for _, request := range l.requests {
		violations = append(violations, l.checkRequestLost(request)...)
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

// violation returns the violation of RuleWarmupBudget for an overload.
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

// wasUnavailable reports whether a dispatcher had an unplanned outage at any time between from and to.
func (l *Log) wasUnavailable(dispatcher int, from, to time.Duration) bool {
	return slices.ContainsFunc(l.outages, func(o Outage) bool {
		overlaps := o.Start <= to && o.End >= from
		return o.Dispatcher == dispatcher && !o.Planned && overlaps
	})
}

// checkRequestLost checks RuleNoRequestLost. A request that an available dispatcher has accepted must get one complete
// response before its deadline. A successful response must contain a result that a worker has produced for this request.
// If the dispatcher was available, a request whose reused connection ended after an attempt had been sent is lost, even
// if the client then sends it again with success.
func (l *Log) checkRequestLost(request *Request) []Violation {
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
		return attempt.FirstByteAt < request.ResentAt && !l.wasUnavailable(request.Dispatcher, attempt.FirstByteAt, request.ResentAt)
	}
	switch {
	case slices.ContainsFunc(request.Attempts, lostOnConnection):
		return violation("its idle connection ended without an answer after an attempt had been sent")
	case request.Outcome == Succeeded && !slices.ContainsFunc(request.Attempts, producedResult):
		return violation(fmt.Sprintf("answered with %.60q, which no worker produced for it", request.Result))
	case request.SentAt == 0, request.Outcome == Interrupted:
		return nil
	case l.wasUnavailable(request.Dispatcher, request.SentAt, max(request.EndedAt, request.SentAt)):
		return nil
	case request.Outcome == Broken:
		return violation("its connection ended without a complete answer")
	case request.Outcome == Unanswered && request.EndedAt >= request.Deadline:
		return violation("no answer before the client gave up")
	}
	return nil
}

// checkDoubleEffect checks RuleNoDoubleEffect for one request. If an attempt may have run, another attempt is allowed
// only if the operation permits it, and the request must not be rejected, because the client would send it again.
func (c RuleConfig) checkDoubleEffect(request *Request) []Violation {
	attempts := slices.Clone(request.Attempts)
	slices.SortStableFunc(attempts, func(a, b *Attempt) int { return cmp.Compare(a.FirstByteAt, b.FirstByteAt) })
	return append(c.checkRepeats(request, attempts), c.checkRejection(request, attempts)...)
}

// checkRepeats checks each attempt of a request against all earlier ones. attempts must be ordered by FirstByteAt.
func (c RuleConfig) checkRepeats(request *Request, attempts []*Attempt) (violations []Violation) {
	operation := &c.Operations[request.Operation]
	for n, attempt := range attempts {
		for _, earlier := range attempts[:n] {
			if request.wasResentBetween(earlier, attempt) {
				continue // see checkRequestLost
			}
			if reason := c.repeatViolation(operation, earlier, attempt); reason != "" {
				violations = append(violations, attempt.violation(RuleNoDoubleEffect, request.ID, attempt.ReceivedAt, reason))
				break
			}
		}
	}
	return violations
}

// checkRejection checks that no attempt of a rejected request may have run. It ignores attempts made before the client
// sent the request again: checkRequestLost checks these, and a restarted dispatcher has no record of them.
func (c RuleConfig) checkRejection(request *Request, attempts []*Attempt) []Violation {
	if request.Outcome != Throttled || c.Operations[request.Operation].canRunAgainOnAnyWorker() {
		return nil
	}
	for _, attempt := range attempts {
		if attempt.FirstByteAt < request.ResentAt {
			continue
		}
		if attempt.ReceivedAt < request.EndedAt && !attempt.wasReturnedBy(request.EndedAt) {
			const reason = "rejected, though an attempt may have run"
			return []Violation{attempt.violation(RuleNoDoubleEffect, request.ID, request.EndedAt, reason)}
		}
	}
	return nil
}

// wasResentBetween reports whether the client sent the request again after one attempt and before another.
func (r *Request) wasResentBetween(earlier, later *Attempt) bool {
	return earlier.FirstByteAt < r.ResentAt && later.FirstByteAt >= r.ResentAt
}

// violation returns a violation of a rule by an attempt of request id.
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

// repeatViolation returns the reason why an attempt must not follow an earlier one, or "" if it may.
func (c RuleConfig) repeatViolation(operation *Operation, earlier, attempt *Attempt) string {
	if operation.Idempotency == workload.Idempotent || earlier.wasReturnedBy(attempt.FirstByteAt) {
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

// checkDrains checks RuleDrainsRespected. After a dispatcher has been notified that a worker is draining or gone, it
// must not send attempts to the worker once the grace period has ended.
func (l *Log) checkDrains(config RuleConfig) (violations []Violation) {
	byPair := l.notificationsByPair()
	for _, request := range l.requests {
		for _, attempt := range request.Attempts {
			notifications := byPair[dispatcherWorkerPair{attempt.Dispatcher, attempt.Worker}]
			since, notReady := notReadySince(notifications, attempt.FirstByteAt)
			elapsed := attempt.FirstByteAt - since
			if !notReady || elapsed <= config.DrainGrace+config.Slack {
				continue
			}
			description := fmt.Sprintf("sent %v after the dispatcher was notified that the worker drains or is gone",
				elapsed.Round(time.Millisecond))
			violations = append(violations, attempt.violation(RuleDrainsRespected, request.ID, attempt.FirstByteAt, description))
		}
	}
	return violations
}

// dispatcherWorkerPair identifies a dispatcher and a worker by their indexes.
type dispatcherWorkerPair struct {
	dispatcher int
	worker     int
}

// notificationsByPair returns the notifications to each dispatcher about each worker, ordered by time.
func (l *Log) notificationsByPair() map[dispatcherWorkerPair][]Notification {
	byPair := map[dispatcherWorkerPair][]Notification{}
	for _, notification := range l.notifications {
		pair := dispatcherWorkerPair{notification.Dispatcher, notification.Worker}
		byPair[pair] = append(byPair[pair], notification)
	}
	for _, notifications := range byPair {
		slices.SortStableFunc(notifications, func(a, b Notification) int { return cmp.Compare(a.At, b.At) })
	}
	return byPair
}

// notReadySince reports whether the latest of the notifications sent until at listed the worker as not ready. since is
// the time of the first of consecutive such notifications, because a repeated notification does not restart the grace
// period.
func notReadySince(notifications []Notification, at time.Duration) (since time.Duration, notReady bool) {
	for _, notification := range notifications {
		switch {
		case notification.At > at: // not sent yet
		case notification.Ready:
			notReady = false
		case !notReady:
			since = notification.At
			notReady = true
		}
	}
	return since, notReady
}
