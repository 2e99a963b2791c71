package history

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const ms = time.Millisecond

var terms = Terms{
	Operations: []Repeat{
		{Name: "safe", Idempotent: true},
		{Name: "once", Once: true},
		{Name: "keyed", ScopeZone: true, Window: 100 * ms},
		{Name: "keyed-all", ScopeAll: true, Window: 100 * ms},
	},
	Workers: []Place{{Zone: 0}, {Zone: 0}, {Zone: 1}}, Grace: 500 * ms, Slack: 50 * ms,
}

// play writes down one invocation with its forwards, and returns the rules that are broken.
func play(operation int, kind Kind, forwards ...Forward) (rules []Rule) {
	l := New()
	t := l.Tried("a", operation, 0, 1000*ms)
	l.Sent(t, 5*ms)
	result := ""
	for _, f := range forwards {
		r := l.Received("a", f)
		if f.End == Done {
			result = f.Result
		}
		_ = r
	}
	l.Ended(t, kind, 0, result, 400*ms)
	for _, b := range l.Judge(terms) {
		rules = append(rules, b.Rule)
	}
	return rules
}

func at(worker int, first time.Duration, end End, ended time.Duration) Forward {
	f := Forward{Worker: worker, First: first, Whole: first + ms, End: end, Ended: ended}
	if end == Done {
		f.Result = "made"
	}
	return f
}

func TestRepeatsAreJudgedByOperation(t *testing.T) {
	crashed, done := at(0, 10*ms, Crashed, 20*ms), at(1, 30*ms, Done, 60*ms)
	far, late := at(2, 30*ms, Done, 60*ms), at(1, 200*ms, Done, 260*ms)
	returned := at(0, 10*ms, Returned, 20*ms)
	unread := at(0, 10*ms, Returned, 40*ms)
	twice := []Rule{RuleNoneTwice}
	for _, c := range []struct {
		name      string
		operation int
		forwards  []Forward
		want      []Rule
	}{
		{"idempotent work may run again anywhere", 0, []Forward{crashed, far}, nil},
		{"non-idempotent work that may have run", 1, []Forward{crashed, done}, twice},
		{"a copy while the first is out", 1, []Forward{at(0, 10*ms, Running, 0), done}, twice},
		{"non-idempotent work that was returned", 1, []Forward{returned, done}, nil},
		{"sent again before the return was written", 1, []Forward{unread, done}, twice},
		{"deduplicated within the group", 2, []Forward{crashed, done}, nil},
		{"deduplicated in another zone", 2, []Forward{crashed, far}, twice},
		{"deduplicated after the window", 2, []Forward{crashed, late}, twice},
		{"deduplicated by all", 3, []Forward{crashed, far}, nil},
	} {
		assert.Equal(t, c.want, play(c.operation, Succeeded, c.forwards...), c.name)
	}
}

func TestThrottlesAreJudgedByWhatMayHaveRun(t *testing.T) {
	crashed := at(0, 10*ms, Crashed, 20*ms)
	assert.Empty(t, play(0, Throttled, crashed))
	assert.Equal(t, []Rule{RuleNoneTwice}, play(1, Throttled, crashed))
	assert.Equal(t, []Rule{RuleNoneTwice}, play(2, Throttled, crashed))
	assert.Empty(t, play(3, Throttled, crashed))
	assert.Empty(t, play(1, Throttled, at(0, 10*ms, Returned, 20*ms)))
	assert.Empty(t, play(1, Errored, crashed))
}

func TestLostInvocationsAreNamed(t *testing.T) {
	lost := []Rule{RuleNoneLost}
	assert.Equal(t, lost, play(0, Broken))
	assert.Equal(t, lost, play(0, Succeeded), "no worker made it")
	assert.Empty(t, play(0, Succeeded, at(0, 10*ms, Done, 20*ms)))
	assert.Empty(t, play(0, Unanswered), "the client left by itself, before its time")
	l := New()
	for n, id := range []string{"in time", "away", "never sent"} {
		try := l.Tried(id, 0, n, 100*ms)
		if n < 2 {
			l.Sent(try, ms)
		}
		l.Ended(try, Unanswered, 0, "", 100*ms)
	}
	l.Away(Outage{Dispatcher: 1, From: 50 * ms, To: 80 * ms})
	l.Away(Outage{Dispatcher: 0, Planned: true, From: 50 * ms, To: 80 * ms})
	breaches := l.Judge(terms)
	assert.Len(t, breaches, 1)
	assert.Equal(t, "in time", breaches[0].ID)
	assert.Equal(t, "safe", breaches[0].Operation)
}

func TestForwardUnderAStrangeIdIsNamed(t *testing.T) {
	l := New()
	l.Received("nobody's", Forward{Worker: 1})
	assert.Equal(t, "nobody's", l.Judge(terms)[0].ID)
}

func TestDrainsAreJudgedByWhatThisDispatcherWasTold(t *testing.T) {
	l := New()
	l.Told(Notice{Dispatcher: 0, Worker: 1, Ready: true, At: 0})
	l.Told(Notice{Dispatcher: 0, Worker: 1, At: 1000 * ms})
	l.Told(Notice{Dispatcher: 0, Worker: 1, At: 2000 * ms}) // told again: the grace does not begin anew
	l.Told(Notice{Dispatcher: 0, Worker: 1, Ready: true, At: 4000 * ms})
	for n, f := range []Forward{
		{Dispatcher: 0, First: 1540 * ms}, // within the grace
		{Dispatcher: 0, First: 2100 * ms}, // beyond
		{Dispatcher: 1, First: 2100 * ms}, // was not told
		{Dispatcher: 0, First: 4100 * ms}, // ready again
	} {
		id := string(rune('a' + n))
		l.Ended(l.Tried(id, 0, 0, 0), Errored, 502, "", 0)
		f.Worker = 1
		l.Received(id, f)
	}
	breaches := l.Judge(terms)
	assert.Len(t, breaches, 1)
	assert.Equal(t, "b", breaches[0].ID)
	assert.Equal(t, RuleDrains, breaches[0].Rule)
}

func TestFallIsNamedWithTheForwardThatDidIt(t *testing.T) {
	l := New()
	l.Tried("heavy", 1, 0, 0)
	l.Fell(Fall{
		Worker: 2, ID: "heavy", At: 7 * ms, Sent: 3 * time.Second, Bound: time.Second,
		What: "1 sent: heavy 3s",
	})
	breaches := l.Judge(terms)
	assert.Len(t, breaches, 1)
	assert.Equal(t, Breach{
		Rule: RuleColdBudget, ID: "heavy", Operation: "once", Worker: 2, At: 7 * ms,
		What: "3s of work within the span, where it bears 1s: 1 sent: heavy 3s",
	}, breaches[0])
}

// Guards against an answer lost on a kept connection that passes for one that was closed between two
// messages: the client sends the invocation anew, and the second effect is that loss's doing.
func TestKeptConnectionThatEndsAfterAForwardLosesTheInvocation(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		l := New()
		try := l.Tried("a", 1, 0, 1000*ms)
		l.Sent(try, 5*ms)
		if forwarded {
			l.Received("a", at(0, 10*ms, Done, 20*ms))
		}
		l.Moved(try, 25*ms)
		l.Sent(try, 26*ms)
		l.Received("a", at(1, 30*ms, Done, 40*ms))
		l.Ended(try, Succeeded, 200, "made", 50*ms)
		rules := []Rule{}
		for _, b := range l.Judge(terms) {
			rules = append(rules, b.Rule)
		}
		want := []Rule{}
		if forwarded {
			want = []Rule{RuleNoneLost}
		}
		assert.Equal(t, want, rules)
	}
}

// A power loss ends a connection under an invocation that was forwarded; its client, which heard nothing, sends it once
// more, and the dispatcher's next life sends that away. The life that forwarded it is gone.
func TestThrottleOfWhatWasSentAnewAfterAnEndIsJudgedByWhatCameSince(t *testing.T) {
	for _, since := range []bool{false, true} {
		l := New()
		try := l.Tried("a", 1, 0, 9*time.Second)
		l.Sent(try, 5*ms)
		l.Received("a", at(0, 10*ms, Crashed, 20*ms))
		l.Away(Outage{Dispatcher: 0, From: 20 * ms, To: 50 * ms})
		l.Moved(try, 25*ms)
		l.Sent(try, 60*ms)
		if since {
			l.Received("a", at(1, 70*ms, Crashed, 80*ms))
		}
		l.Ended(try, Throttled, 503, "", 100*ms)
		breaches := l.Judge(terms)
		if since {
			assert.Len(t, breaches, 1, "what this life forwarded may have run")
			continue
		}
		assert.Empty(t, breaches)
	}
}
