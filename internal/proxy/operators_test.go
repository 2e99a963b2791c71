package proxy

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer"
	"canvasroute/internal/peertest"
	"canvasroute/internal/protocol"
)

// TestDumpMetricNames checks the names in the response to DUMP, their order, and the counter of each.
func TestDumpMetricNames(t *testing.T) {
	p := newProxy(peertest.ClosedAddress)
	idem := p.operations.get("idem")
	idem.succeeded.Store(1)
	idem.declined.Store(2)
	idem.aborted.Store(3)
	idem.outstanding.Store(4)
	p.counters.sent.Store(5)
	assert.Equal(t, []protocol.Metric{
		{Name: "succeeded", Operation: "idem", Value: 1},
		{Name: "declined", Operation: "idem", Value: 2},
		{Name: "aborted", Operation: "idem", Value: 3},
		{Name: "succeeded", Operation: "once"},
		{Name: "declined", Operation: "once"},
		{Name: "aborted", Operation: "once"},
		{Name: "succeeded", Operation: "keyed"},
		{Name: "declined", Operation: "keyed"},
		{Name: "aborted", Operation: "keyed"},
		{Name: "forwards", Value: 5},
		{Name: "outstanding", Value: 4},
		{Name: "discovered", Value: 1},
		{Name: "ejected", Value: 0},
	}, p.Metrics())
}

// TestCountersLogLine checks the keys of the log line that SIGUSR1 requests, and the counter of each. Each outcome of
// an attempt is checked by its numeric value.
func TestCountersLogLine(t *testing.T) {
	p, log := newProxy(peertest.ClosedAddress), &bytes.Buffer{}
	p.log = zerolog.New(log)
	counts := &p.counters
	counts.validated.Store(11)
	counts.succeeded.Store(12)
	counts.rejected.Store(13)
	counts.failed.Store(14)
	counts.clientDisconnected.Store(15)
	counts.invalid.Store(16)
	counts.overBudget.Store(17)
	counts.shed.Store(18)
	counts.migrated.Store(19)
	counts.sent.Store(20)
	counts.probes.Store(21)
	p.discovery.Counters.Lists.Store(22)
	p.discovery.Counters.WatchesLost.Store(23)
	datagrams := &p.gossip.Counters
	datagrams.Sent.Store(24)
	datagrams.Failed.Store(25)
	datagrams.Received.Store(26)
	datagrams.Malformed.Store(27)
	datagrams.UnknownSenders.Store(28)
	datagrams.Reordered.Store(29)
	for outcome := range balancer.Outcome(11) {
		counts.outcomes[outcome].Store(100 + int64(outcome))
	}
	p.LogCounters("asked")
	var line map[string]any
	assert.NoError(t, json.Unmarshal(log.Bytes(), &line))
	for _, memory := range []string{"mallocs", "alloc_bytes"} {
		assert.Positive(t, line[memory], memory)
		delete(line, memory)
	}
	assert.Equal(t, map[string]any{
		"level": "info", "message": "counters", "why": "asked", "open": 0.0, "taken": 11.0,
		"succeeded": 12.0, "throttled": 13.0, "errored": 14.0, "client_left": 15.0, "turned_away": 16.0, "overfull": 17.0,
		"at_door": 18.0, "handed_over": 19.0, "probes": 21.0, "lists": 22.0, "watches_lost": 23.0,
		"forwards": map[string]any{
			"sent": 20.0, "succeeded": 101.0, "worker_error": 102.0, "full": 103.0,
			"timed_out": 104.0, "no_connection": 105.0, "reset": 106.0, "called_off": 107.0, "never_sent": 108.0,
			"stale_connection": 109.0, "refused": 110.0,
		},
		"datagrams": map[string]any{
			"sent": 24.0, "failed": 25.0, "heard": 26.0, "malformed": 27.0, "strangers": 28.0,
			"overtaken": 29.0,
		},
	}, line)
}

// TestHeadResponsesByPathAndMethod checks the responses that depend on the head alone.
func TestHeadResponsesByPathAndMethod(t *testing.T) {
	p := newProxy(peertest.ClosedAddress)
	p.discovery.SkipFirstPollWait()
	for _, test := range []struct {
		name, method, target string
		want                 *protocol.Response
	}{
		{"health check", "GET", "/_health", &protocol.Response{Status: 200}},
		{"health check by HEAD", "HEAD", "/_health", &protocol.Response{Status: 200}},
		{"health check with a wrong method", "POST", "/_health", &protocol.Response{Status: 405, Allow: "GET, HEAD"}},
		{"request with a wrong method", "GET", "/api", &protocol.Response{Status: 405, Allow: "POST"}},
		{"unknown path", "GET", "/metrics", &protocol.Response{Status: 404}},
		{"request", "POST", "/api?q=1", nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.want, p.RespondToHead(&protocol.Head{Method: test.method, Target: test.target}))
		})
	}
}

// TestNotReadyReasons checks the texts that operators read in the response to HEALTH.
func TestNotReadyReasons(t *testing.T) {
	p := newProxy(peertest.ClosedAddress)
	assert.EqualError(t, p.Ready(), "takes no clients: no list of workers yet")
	p.discovery.SkipFirstPollWait()
	assert.NoError(t, p.Ready())
	p.lifecycle.Drain(time.Now())
	assert.EqualError(t, p.Ready(), "takes no clients: leaving")
	assert.NoError(t, p.lifecycle.Rejoin(time.Now()))
	p.endpoints.Update(&protocol.EndpointList{Complete: true})
	assert.EqualError(t, p.Ready(), "takes no clients: no worker is listed")
}
