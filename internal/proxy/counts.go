package proxy

import (
	"runtime"
	"sync/atomic"

	"github.com/rs/zerolog"

	"canvasroute/internal/balancer"
)

// Counters are what has been taken in, sent and answered since the start.
type Counters struct {
	Taken, Succeeded, Throttled, Errored, Left, Malformed, Overfull, AtDoor atomic.Int64
	Handed, Sent                                                            atomic.Int64
	Probes, Lists, WatchesLost                                              atomic.Int64
	DatagramsSent, DatagramsFailed, DatagramsHeard                          atomic.Int64
	DatagramsBroken, Strangers, Overtaken                                   atomic.Int64

	outcomes [balancer.ConnectionRefused + 1]atomic.Int64
}

var outcomeNames = [balancer.ConnectionRefused + 1]string{
	balancer.Succeeded: "succeeded", balancer.WorkerError: "worker_error",
	balancer.Overloaded: "full", balancer.TimedOut: "timed_out", balancer.NoConnection: "no_connection",
	balancer.ConnectionReset: "reset", balancer.Canceled: "called_off", balancer.NotSent: "never_sent",
	balancer.ConnectionStale: "stale_connection", balancer.ConnectionRefused: "refused",
}

func (c *Counters) outcome(how balancer.Outcome) { c.outcomes[how].Add(1) }

// LogCounters leaves the counters in one log line.
func (r *Proxy) LogCounters(why string) {
	c, forwards, datagrams := &r.counts, zerolog.Dict(), zerolog.Dict()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	forwards.Int64("sent", c.Sent.Load())
	for how, name := range outcomeNames {
		if name != "" {
			forwards.Int64(name, c.outcomes[how].Load())
		}
	}
	datagrams.Int64("sent", c.DatagramsSent.Load()).Int64("failed", c.DatagramsFailed.Load()).
		Int64("heard", c.DatagramsHeard.Load()).Int64("malformed", c.DatagramsBroken.Load()).
		Int64("strangers", c.Strangers.Load()).Int64("overtaken", c.Overtaken.Load())
	r.log.Info().Str("why", why).Int("open", r.facade.OpenRequests()).Int64("taken", c.Taken.Load()).
		Int64("succeeded", c.Succeeded.Load()).Int64("throttled", c.Throttled.Load()).
		Int64("errored", c.Errored.Load()).Int64("client_left", c.Left.Load()).
		Int64("turned_away", c.Malformed.Load()).Int64("overfull", c.Overfull.Load()).
		Int64("at_door", c.AtDoor.Load()).Int64("handed_over", c.Handed.Load()).
		Dict("forwards", forwards).Int64("probes", c.Probes.Load()).Int64("lists", c.Lists.Load()).
		Int64("watches_lost", c.WatchesLost.Load()).Dict("datagrams", datagrams).
		Uint64("mallocs", memory.Mallocs).Uint64("alloc_bytes", memory.TotalAlloc).Msg("counters")
}
