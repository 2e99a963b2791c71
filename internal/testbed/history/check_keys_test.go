package history

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestMarkedRetryAfterAnOutageGoesToTheFirstDedupGroup(t *testing.T) {
	second := time.Second
	for _, c := range []struct {
		name       string
		marked     bool
		dispatcher int // of the retry; 1 has an outage from 2 s to 3 s, 0 has none
		worker     int // of the retry; the first went to 0
		at         time.Duration
		violated   bool
	}{
		{"the same group", true, 1, 1, 4 * second, false},
		{"another group", true, 1, 2, 4 * second, true},
		{"not marked", false, 1, 2, 4 * second, false},
		{"after the window", true, 1, 2, 12 * second, false},
		{"at a dispatcher without an outage", true, 0, 2, 4 * second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := New()
			first := l.RequestOpened("a0", 0, 0, 9*second)
			l.SetKey(first, 7, false)
			l.AttemptReceived("a0", Attempt{Worker: 0, Dispatcher: 0, FirstByteAt: second, ReceivedAt: second})
			l.AddOutage(Outage{Dispatcher: 1, From: 2 * second, To: 3 * second})
			retry := l.RequestOpened("a1", 0, c.dispatcher, 20*second)
			l.SetKey(retry, 7, c.marked)
			l.AttemptReceived("a1", Attempt{Worker: c.worker, Dispatcher: c.dispatcher, FirstByteAt: c.at, ReceivedAt: c.at})
			config := RuleConfig{
				Operations: []Operation{{Name: "choices", ScopeZone: true, DedupWindow: 10 * second}},
				Workers:    []Location{{Zone: 0}, {Zone: 0}, {Zone: 1}}, KeysPersisted: true,
			}
			violated := false
			for _, b := range l.Check(config) {
				violated = violated || b.Rule == RuleKeysPersisted
			}
			assert.Equal(t, c.violated, violated)
		})
	}
}
