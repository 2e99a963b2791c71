package proxy

import (
	"runtime"
	"sync/atomic"

	"github.com/rs/zerolog"

	"canvasroute/internal/balancer"
)

// numOutcomes is the number of outcomes, including the unused value 0.
const numOutcomes = balancer.ConnectionRefused + 1

// counters count requests, attempts and probes since the process started. The keys in the log line are older names,
// which are kept for operators.
type counters struct {
	// Requests. A validated request is also counted by one of the next five counters when it ends. Any other request
	// that gets a response is counted by one of the last three, except health checks with a supported method and
	// requests whose head is rejected because the process is drained.
	validated          atomic.Int64 // valid with an ID that was free, or imported from the sibling process
	succeeded          atomic.Int64
	rejected           atomic.Int64
	failed             atomic.Int64
	clientDisconnected atomic.Int64
	migrated           atomic.Int64 // continued by the sibling process
	invalid            atomic.Int64 // malformed, with an unknown path or method, or with the ID of an open request
	overBudget         atomic.Int64 // rejected because of the connection limit or the memory limit for bodies
	shed               atomic.Int64 // rejected by the admission controller

	sent     atomic.Int64              // attempts whose last byte was written
	outcomes [numOutcomes]atomic.Int64 // attempts that have ended, by outcome
	probes   atomic.Int64              // probes of workers that got a connection, with or without a response
}

// outcomeNames are the keys of the outcomes in the log line; an outcome without a name is omitted.
var outcomeNames = [numOutcomes]string{
	balancer.Succeeded:         "succeeded",
	balancer.WorkerError:       "worker_error",
	balancer.Overloaded:        "full",
	balancer.TimedOut:          "timed_out",
	balancer.NoConnection:      "no_connection",
	balancer.ConnectionReset:   "reset",
	balancer.Canceled:          "called_off",
	balancer.NotSent:           "never_sent",
	balancer.ConnectionStale:   "stale_connection",
	balancer.ConnectionRefused: "refused",
}

func (c *counters) countOutcome(outcome balancer.Outcome) { c.outcomes[outcome].Add(1) }

// LogCounters logs all counters in one line. reason is why they are logged.
func (p *Proxy) LogCounters(reason string) {
	requests := &p.counters
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	p.log.Info().Str("why", reason).
		Int("open", p.balancer.OpenRequests()).
		Int64("taken", requests.validated.Load()).
		Int64("succeeded", requests.succeeded.Load()).
		Int64("throttled", requests.rejected.Load()).
		Int64("errored", requests.failed.Load()).
		Int64("client_left", requests.clientDisconnected.Load()).
		Int64("turned_away", requests.invalid.Load()).
		Int64("overfull", requests.overBudget.Load()).
		Int64("at_door", requests.shed.Load()).
		Int64("handed_over", requests.migrated.Load()).
		Dict("forwards", p.attemptCounts()).
		Int64("probes", requests.probes.Load()).
		Int64("lists", p.discovery.Counters.Lists.Load()).
		Int64("watches_lost", p.discovery.Counters.WatchesLost.Load()).
		Dict("datagrams", p.datagramCounts()).
		Uint64("mallocs", memory.Mallocs).
		Uint64("alloc_bytes", memory.TotalAlloc).
		Msg("counters")
}

// attemptCounts returns the counters of attempts for the log line.
func (p *Proxy) attemptCounts() *zerolog.Event {
	attempts := zerolog.Dict().Int64("sent", p.counters.sent.Load())
	for outcome, name := range outcomeNames {
		if name != "" {
			attempts.Int64(name, p.counters.outcomes[outcome].Load())
		}
	}
	return attempts
}

// datagramCounts returns the counters of gossip for the log line.
func (p *Proxy) datagramCounts() *zerolog.Event {
	datagrams := &p.gossip.Counters
	return zerolog.Dict().
		Int64("sent", datagrams.Sent.Load()).
		Int64("failed", datagrams.Failed.Load()).
		Int64("heard", datagrams.Received.Load()).
		Int64("malformed", datagrams.Malformed.Load()).
		Int64("strangers", datagrams.UnknownSenders.Load()).
		Int64("overtaken", datagrams.Reordered.Load())
}
