package proxy

import (
	"runtime"
	"sync/atomic"

	"github.com/rs/zerolog"

	"canvasroute/internal/balancer"
)

// numOutcomes is the number of outcomes, with the unused one of number 0.
const numOutcomes = balancer.ConnectionRefused + 1

// counters count requests, attempts and probes since the start. The log line has older names, which operators know.
type counters struct {
	// Requests. Those that are admitted end as one of the five after it, and the others as one of the last three.
	admitted   atomic.Int64 // with a valid head and a free ID
	succeeded  atomic.Int64
	rejected   atomic.Int64
	failed     atomic.Int64
	clientLeft atomic.Int64
	migrated   atomic.Int64 // the sibling process continues them
	invalid    atomic.Int64 // malformed, or with an unknown path or method, or with an ID that is open
	overBudget atomic.Int64 // rejected on a connection beyond the limit
	shed       atomic.Int64 // rejected by the admission controller

	sent     atomic.Int64              // attempts that were sent to their last byte
	outcomes [numOutcomes]atomic.Int64 // attempts that have ended, by outcome
	probes   atomic.Int64              // of workers for load reports, answered or not
}

// outcomeNames are the keys of the outcomes in the log line.
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

// LogCounters writes all counters in one log line. why is what the line was written for.
func (p *Proxy) LogCounters(why string) {
	requests := &p.counters
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	p.log.Info().Str("why", why).
		Int("open", p.balancer.OpenRequests()).
		Int64("taken", requests.admitted.Load()).
		Int64("succeeded", requests.succeeded.Load()).
		Int64("throttled", requests.rejected.Load()).
		Int64("errored", requests.failed.Load()).
		Int64("client_left", requests.clientLeft.Load()).
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
