package history

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/testbed/workload"
)

func TestMarkedRetryAfterAnOutageMustUseTheFirstDedupGroup(t *testing.T) {
	second := time.Second
	for _, c := range []struct {
		name       string
		marked     bool
		dispatcher int // of the retry; dispatcher 1 has an outage from 2 s to 3 s, dispatcher 0 has none
		worker     int // of the retry; the first request was sent to worker 0
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
			log := New()
			first := log.RequestOpened("a0", 0, 0, 9*second)
			log.SetKey(first, 7)
			log.AttemptReceived("a0", Attempt{Worker: 0, Dispatcher: 0, FirstByteAt: second, ReceivedAt: second})
			log.AddOutage(Outage{Dispatcher: 1, Start: 2 * second, End: 3 * second})
			retry := log.RequestOpened("a1", 0, c.dispatcher, 20*second)
			log.SetKey(retry, 7)
			if c.marked {
				log.MarkRetry(retry)
			}
			log.AttemptReceived("a1", Attempt{Worker: c.worker, Dispatcher: c.dispatcher, FirstByteAt: c.at, ReceivedAt: c.at})
			config := RuleConfig{
				Operations: []Operation{{
					Name: "choices", Idempotency: workload.IdempotentByKey, DedupScope: workload.ScopeZone, DedupWindow: 10 * second,
				}},
				Workers: []Location{{Zone: 0}, {Zone: 0}, {Zone: 1}}, KeysPersisted: true,
			}
			violated := false
			for _, violation := range log.Check(config) {
				violated = violated || violation.Rule == RuleKeysPersisted
			}
			assert.Equal(t, c.violated, violated)
		})
	}
}
