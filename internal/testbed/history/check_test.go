package history

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const ms = time.Millisecond

var config = RuleConfig{
	Operations: []Operation{
		{Name: "safe", Idempotent: true},
		{Name: "once", NonIdempotent: true},
		{Name: "keyed", ScopeZone: true, DedupWindow: 100 * ms},
		{Name: "keyed-all", ScopeAll: true, DedupWindow: 100 * ms},
	},
	Workers: []Location{{Zone: 0}, {Zone: 0}, {Zone: 1}}, DrainGrace: 500 * ms, Slack: 50 * ms,
}

// check records one request with its attempts, and returns the violated rules.
func check(operation int, outcome Outcome, attempts ...Attempt) (rules []Rule) {
	l := New()
	t := l.RequestOpened("a", operation, 0, 1000*ms)
	l.RequestSent(t, 5*ms)
	result := ""
	for _, f := range attempts {
		l.AttemptReceived("a", f)
		if f.End == Done {
			result = f.Result
		}
	}
	l.RequestEnded(t, outcome, 0, result, 400*ms)
	for _, b := range l.Check(config) {
		rules = append(rules, b.Rule)
	}
	return rules
}

func at(worker int, first time.Duration, end AttemptEnd, ended time.Duration) Attempt {
	f := Attempt{Worker: worker, FirstByteAt: first, ReceivedAt: first + ms, End: end, EndedAt: ended}
	if end == Done {
		f.Result = "made"
	}
	return f
}

func TestRepeatsAreCheckedByOperation(t *testing.T) {
	crashed, done := at(0, 10*ms, Crashed, 20*ms), at(1, 30*ms, Done, 60*ms)
	far, late := at(2, 30*ms, Done, 60*ms), at(1, 200*ms, Done, 260*ms)
	returned := at(0, 10*ms, Returned, 20*ms)
	unread := at(0, 10*ms, Returned, 40*ms)
	twice := []Rule{RuleNoDoubleEffect}
	for _, c := range []struct {
		name      string
		operation int
		attempts  []Attempt
		want      []Rule
	}{
		{"idempotent work may run again anywhere", 0, []Attempt{crashed, far}, nil},
		{"non-idempotent work that may have run", 1, []Attempt{crashed, done}, twice},
		{"a copy while the first is out", 1, []Attempt{at(0, 10*ms, Running, 0), done}, twice},
		{"non-idempotent work that was returned", 1, []Attempt{returned, done}, nil},
		{"sent again before the return was written", 1, []Attempt{unread, done}, twice},
		{"deduplicated within the group", 2, []Attempt{crashed, done}, nil},
		{"deduplicated in another zone", 2, []Attempt{crashed, far}, twice},
		{"deduplicated after the window", 2, []Attempt{crashed, late}, twice},
		{"deduplicated by all", 3, []Attempt{crashed, far}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, check(c.operation, Succeeded, c.attempts...))
		})
	}
}

func TestRejectionsAreCheckedByWhatMayHaveRun(t *testing.T) {
	crashed := at(0, 10*ms, Crashed, 20*ms)
	assert.Empty(t, check(0, Throttled, crashed))
	assert.Equal(t, []Rule{RuleNoDoubleEffect}, check(1, Throttled, crashed))
	assert.Equal(t, []Rule{RuleNoDoubleEffect}, check(2, Throttled, crashed))
	assert.Empty(t, check(3, Throttled, crashed))
	assert.Empty(t, check(1, Throttled, at(0, 10*ms, Returned, 20*ms)))
	assert.Empty(t, check(1, Errored, crashed))
}

func TestLostRequestsAreFound(t *testing.T) {
	lost := []Rule{RuleNoRequestLost}
	assert.Equal(t, lost, check(0, Broken))
	assert.Equal(t, lost, check(0, Succeeded), "no worker produced the result")
	assert.Empty(t, check(0, Succeeded, at(0, 10*ms, Done, 20*ms)))
	assert.Empty(t, check(0, Unanswered), "the client left before its deadline")
	l := New()
	for n, id := range []string{"in time", "away", "never sent"} {
		request := l.RequestOpened(id, 0, n, 100*ms)
		if n < 2 {
			l.RequestSent(request, ms)
		}
		l.RequestEnded(request, Unanswered, 0, "", 100*ms)
	}
	l.AddOutage(Outage{Dispatcher: 1, From: 50 * ms, To: 80 * ms})
	l.AddOutage(Outage{Dispatcher: 0, Planned: true, From: 50 * ms, To: 80 * ms})
	violations := l.Check(config)
	assert.Len(t, violations, 1)
	assert.Equal(t, "in time", violations[0].ID)
	assert.Equal(t, "safe", violations[0].Operation)
}

func TestAttemptWithUnknownIDIsFound(t *testing.T) {
	l := New()
	l.AttemptReceived("nobody's", Attempt{Worker: 1})
	assert.Equal(t, "nobody's", l.Check(config)[0].ID)
}

func TestDrainsAreCheckedByNotificationsOfTheDispatcher(t *testing.T) {
	l := New()
	l.WorkerListed(Notification{Dispatcher: 0, Worker: 1, Ready: true, At: 0})
	l.WorkerListed(Notification{Dispatcher: 0, Worker: 1, At: 1000 * ms})
	l.WorkerListed(Notification{Dispatcher: 0, Worker: 1, At: 2000 * ms}) // a repetition does not restart the grace
	l.WorkerListed(Notification{Dispatcher: 0, Worker: 1, Ready: true, At: 4000 * ms})
	for n, f := range []Attempt{
		{Dispatcher: 0, FirstByteAt: 1540 * ms}, // within the grace
		{Dispatcher: 0, FirstByteAt: 2100 * ms}, // beyond
		{Dispatcher: 1, FirstByteAt: 2100 * ms}, // was not notified
		{Dispatcher: 0, FirstByteAt: 4100 * ms}, // ready again
	} {
		id := string(rune('a' + n))
		l.RequestEnded(l.RequestOpened(id, 0, 0, 0), Errored, 502, "", 0)
		f.Worker = 1
		l.AttemptReceived(id, f)
	}
	violations := l.Check(config)
	assert.Len(t, violations, 1)
	assert.Equal(t, "b", violations[0].ID)
	assert.Equal(t, RuleDrainsRespected, violations[0].Rule)
}

func TestOverloadNamesTheAttemptThatCausedIt(t *testing.T) {
	l := New()
	l.RequestOpened("heavy", 1, 0, 0)
	l.WorkerOverloaded(Overload{
		Worker: 2, ID: "heavy", At: 7 * ms, SentWork: 3 * time.Second, Budget: time.Second,
		RecentJobs: "1 sent: heavy 3s",
	})
	violations := l.Check(config)
	assert.Len(t, violations, 1)
	assert.Equal(t, Violation{
		Rule: RuleWarmupBudget, ID: "heavy", Operation: "once", Worker: 2, At: 7 * ms,
		Description: "3s of work within the span, over its budget of 1s: 1 sent: heavy 3s",
	}, violations[0])
}

// An answer lost on an idle connection must not pass for a connection that was closed between two messages: the client
// sends the request again, and the second effect follows from that loss.
func TestIdleConnectionThatEndsAfterAnAttemptLosesTheRequest(t *testing.T) {
	for _, attempted := range []bool{false, true} {
		l := New()
		request := l.RequestOpened("a", 1, 0, 1000*ms)
		l.RequestSent(request, 5*ms)
		if attempted {
			l.AttemptReceived("a", at(0, 10*ms, Done, 20*ms))
		}
		l.RequestResent(request, 25*ms)
		l.RequestSent(request, 26*ms)
		l.AttemptReceived("a", at(1, 30*ms, Done, 40*ms))
		l.RequestEnded(request, Succeeded, 200, "made", 50*ms)
		rules := []Rule{}
		for _, b := range l.Check(config) {
			rules = append(rules, b.Rule)
		}
		want := []Rule{}
		if attempted {
			want = []Rule{RuleNoRequestLost}
		}
		assert.Equal(t, want, rules)
	}
}

// A loss of power ends a connection after an attempt of its request; the client, which got no answer, sends it again, and
// the dispatcher's next incarnation rejects that. The incarnation that made the attempt is gone.
func TestRejectionOfAResentRequestIsCheckedByAttemptsSince(t *testing.T) {
	for _, since := range []bool{false, true} {
		l := New()
		request := l.RequestOpened("a", 1, 0, 9*time.Second)
		l.RequestSent(request, 5*ms)
		l.AttemptReceived("a", at(0, 10*ms, Crashed, 20*ms))
		l.AddOutage(Outage{Dispatcher: 0, From: 20 * ms, To: 50 * ms})
		l.RequestResent(request, 25*ms)
		l.RequestSent(request, 60*ms)
		if since {
			l.AttemptReceived("a", at(1, 70*ms, Crashed, 80*ms))
		}
		l.RequestEnded(request, Throttled, 503, "", 100*ms)
		violations := l.Check(config)
		if since {
			assert.Len(t, violations, 1, "what this incarnation sent may have run")
			continue
		}
		assert.Empty(t, violations)
	}
}
