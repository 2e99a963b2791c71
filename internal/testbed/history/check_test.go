package history

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/testbed/workload"
)

const ms = time.Millisecond

var config = RuleConfig{
	Operations: []Operation{
		{Name: "safe", Idempotency: workload.Idempotent},
		{Name: "once", Idempotency: workload.NonIdempotent},
		{Name: "keyed", Idempotency: workload.IdempotentByKey, DedupScope: workload.ScopeZone, DedupWindow: 100 * ms},
		{Name: "keyed-all", Idempotency: workload.IdempotentByKey, DedupScope: workload.ScopeAll, DedupWindow: 100 * ms},
	},
	Workers: []Location{{Zone: 0}, {Zone: 0}, {Zone: 1}}, DrainGrace: 500 * ms, Slack: 50 * ms,
}

// checkRequest records a request with its attempts, and returns the violated rules.
func checkRequest(operation int, outcome Outcome, attempts ...Attempt) []Rule {
	log := New()
	request := log.RequestOpened("a", operation, 0, 1000*ms)
	log.RequestSent(request, 5*ms)
	result := ""
	for _, attempt := range attempts {
		log.AttemptReceived("a", attempt)
		if attempt.End == Done {
			result = attempt.Result
		}
	}
	log.RequestEnded(request, outcome, 0, result, 400*ms)
	return violatedRules(log)
}

// violatedRules returns the rule of each violation in the log.
func violatedRules(log *Log) (rules []Rule) {
	for _, violation := range log.Check(config) {
		rules = append(rules, violation.Rule)
	}
	return rules
}

// attemptAt returns an attempt on a worker. A done attempt has the result "made".
func attemptAt(worker int, firstByteAt time.Duration, end AttemptEnd, endedAt time.Duration) Attempt {
	attempt := Attempt{Worker: worker, FirstByteAt: firstByteAt, ReceivedAt: firstByteAt + ms, End: end, EndedAt: endedAt}
	if end == Done {
		attempt.Result = "made"
	}
	return attempt
}

func TestRepeatedAttemptsAreCheckedByOperation(t *testing.T) {
	crashed, done := attemptAt(0, 10*ms, Crashed, 20*ms), attemptAt(1, 30*ms, Done, 60*ms)
	otherZone, afterWindow := attemptAt(2, 30*ms, Done, 60*ms), attemptAt(1, 200*ms, Done, 260*ms)
	returned := attemptAt(0, 10*ms, Returned, 20*ms)
	returnedLate := attemptAt(0, 10*ms, Returned, 40*ms)
	twice := []Rule{RuleNoDoubleEffect}
	for _, c := range []struct {
		name      string
		operation int
		attempts  []Attempt
		want      []Rule
	}{
		{"idempotent work may run again anywhere", 0, []Attempt{crashed, otherZone}, nil},
		{"non-idempotent work that may have run", 1, []Attempt{crashed, done}, twice},
		{"a second attempt while the first runs", 1, []Attempt{attemptAt(0, 10*ms, Running, 0), done}, twice},
		{"non-idempotent work that was returned", 1, []Attempt{returned, done}, nil},
		{"sent again before the worker returned it", 1, []Attempt{returnedLate, done}, twice},
		{"deduplicated within the group", 2, []Attempt{crashed, done}, nil},
		{"deduplicated in another zone", 2, []Attempt{crashed, otherZone}, twice},
		{"deduplicated after the window", 2, []Attempt{crashed, afterWindow}, twice},
		{"deduplicated by all", 3, []Attempt{crashed, otherZone}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, checkRequest(c.operation, Succeeded, c.attempts...))
		})
	}
}

func TestRejectionOfARequestThatMayHaveRunIsAViolation(t *testing.T) {
	crashed := attemptAt(0, 10*ms, Crashed, 20*ms)
	assert.Empty(t, checkRequest(0, Throttled, crashed))
	assert.Equal(t, []Rule{RuleNoDoubleEffect}, checkRequest(1, Throttled, crashed))
	assert.Equal(t, []Rule{RuleNoDoubleEffect}, checkRequest(2, Throttled, crashed))
	assert.Empty(t, checkRequest(3, Throttled, crashed))
	assert.Empty(t, checkRequest(1, Throttled, attemptAt(0, 10*ms, Returned, 20*ms)))
	assert.Empty(t, checkRequest(1, Errored, crashed))
}

func TestLostRequestsAreReported(t *testing.T) {
	lost := []Rule{RuleNoRequestLost}
	assert.Equal(t, lost, checkRequest(0, Broken))
	assert.Equal(t, lost, checkRequest(0, Succeeded), "a result that no worker produced was accepted")
	assert.Empty(t, checkRequest(0, Succeeded, attemptAt(0, 10*ms, Done, 20*ms)))
	assert.Empty(t, checkRequest(0, Unanswered), "a request whose client disconnected before its deadline was reported")
	log := New()
	for n, id := range []string{"dispatcher available", "dispatcher down", "never sent"} {
		request := log.RequestOpened(id, 0, n, 100*ms)
		if n < 2 {
			log.RequestSent(request, ms)
		}
		log.RequestEnded(request, Unanswered, 0, "", 100*ms)
	}
	log.AddOutage(Outage{Dispatcher: 1, Start: 50 * ms, End: 80 * ms})
	log.AddOutage(Outage{Dispatcher: 0, Planned: true, Start: 50 * ms, End: 80 * ms})
	violations := log.Check(config)
	assert.Len(t, violations, 1)
	assert.Equal(t, "dispatcher available", violations[0].ID)
	assert.Equal(t, "safe", violations[0].Operation)
}

func TestAttemptWithAnUnknownIDIsReported(t *testing.T) {
	log := New()
	log.AttemptReceived("nobody's", Attempt{Worker: 1})
	assert.Equal(t, "nobody's", log.Check(config)[0].ID)
}

func TestDrainsAreCheckedAgainstNotificationsToTheDispatcher(t *testing.T) {
	log := New()
	log.NotificationSent(Notification{Dispatcher: 0, Worker: 1, Ready: true, At: 0})
	log.NotificationSent(Notification{Dispatcher: 0, Worker: 1, At: 1000 * ms})
	log.NotificationSent(Notification{Dispatcher: 0, Worker: 1, At: 2000 * ms}) // does not restart the grace period
	log.NotificationSent(Notification{Dispatcher: 0, Worker: 1, Ready: true, At: 4000 * ms})
	for n, attempt := range []Attempt{
		{Dispatcher: 0, FirstByteAt: 1540 * ms}, // within the grace period
		{Dispatcher: 0, FirstByteAt: 2100 * ms}, // after the grace period
		{Dispatcher: 1, FirstByteAt: 2100 * ms}, // the dispatcher was not notified
		{Dispatcher: 0, FirstByteAt: 4100 * ms}, // the worker is ready again
	} {
		id := string(rune('a' + n))
		log.RequestEnded(log.RequestOpened(id, 0, 0, 0), Errored, 502, "", 0)
		attempt.Worker = 1
		log.AttemptReceived(id, attempt)
	}
	violations := log.Check(config)
	assert.Len(t, violations, 1)
	assert.Equal(t, "b", violations[0].ID)
	assert.Equal(t, RuleDrainsRespected, violations[0].Rule)
}

func TestOverloadViolationNamesTheLastRequest(t *testing.T) {
	log := New()
	log.RequestOpened("heavy", 1, 0, 0)
	log.WorkerOverloaded(Overload{
		Worker: 2, ID: "heavy", At: 7 * ms, SentWork: 3 * time.Second, Budget: time.Second,
		RecentJobs: "1 sent: heavy 3s",
	})
	violations := log.Check(config)
	assert.Len(t, violations, 1)
	assert.Equal(t, Violation{
		Rule: RuleWarmupBudget, ID: "heavy", Operation: "once", Worker: 2, At: 7 * ms,
		Description: "3s of work within the span, over its budget of 1s: 1 sent: heavy 3s",
	}, violations[0])
}

// If a reused connection ends after an attempt was sent, the response is lost. The check must not treat this as a
// connection that was closed while idle: the client sends the request again, which can then take effect twice.
func TestRequestIsLostIfAnIdleConnectionEndsAfterAnAttempt(t *testing.T) {
	for _, attempted := range []bool{false, true} { // whether an attempt was sent before the connection ended
		log := New()
		request := log.RequestOpened("a", 1, 0, 1000*ms)
		log.RequestSent(request, 5*ms)
		if attempted {
			log.AttemptReceived("a", attemptAt(0, 10*ms, Done, 20*ms))
		}
		log.RequestResent(request, 25*ms)
		log.RequestSent(request, 26*ms)
		log.AttemptReceived("a", attemptAt(1, 30*ms, Done, 40*ms))
		log.RequestEnded(request, Succeeded, 200, "made", 50*ms)
		var want []Rule
		if attempted {
			want = []Rule{RuleNoRequestLost}
		}
		assert.Equal(t, want, violatedRules(log))
	}
}

// A power loss ends a connection after an attempt was sent. The client got no response and sends the request again, and
// the dispatcher's next incarnation rejects it, because it has no record of the attempt of its previous incarnation.
func TestRejectionOfAResentRequestIgnoresAttemptsBeforeTheResend(t *testing.T) {
	for _, attemptedSince := range []bool{false, true} {
		log := New()
		request := log.RequestOpened("a", 1, 0, 9*time.Second)
		log.RequestSent(request, 5*ms)
		log.AttemptReceived("a", attemptAt(0, 10*ms, Crashed, 20*ms))
		log.AddOutage(Outage{Dispatcher: 0, Start: 20 * ms, End: 50 * ms})
		log.RequestResent(request, 25*ms)
		log.RequestSent(request, 60*ms)
		if attemptedSince {
			log.AttemptReceived("a", attemptAt(1, 70*ms, Crashed, 80*ms))
		}
		log.RequestEnded(request, Throttled, 503, "", 100*ms)
		violations := log.Check(config)
		if attemptedSince {
			assert.Len(t, violations, 1, "an attempt of this incarnation that may have run was ignored")
			continue
		}
		assert.Empty(t, violations)
	}
}
