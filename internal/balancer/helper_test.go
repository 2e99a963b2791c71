package balancer

import (
	"fmt"
	"math"
)

// recorder writes down the answers of a dispatcher.
type recorder struct{ lines []string }

func (b *recorder) add(format string, args ...any) {
	b.lines = append(b.lines, fmt.Sprintf(format, args...))
}

func (b *recorder) SendAttempt(inv RequestID, tgt WorkerID, _ Time) {
	b.add("forward %d to %d", inv, tgt)
}

func (b *recorder) CancelAttempt(inv RequestID, n int) { b.add("cancel %d.%d", inv, n) }

func (b *recorder) Reject(inv RequestID, back Time) { b.add("throttle %d back %d", inv, back) }

func (b *recorder) Fail(inv RequestID) { b.add("error %d", inv) }

func (b *recorder) Wake(uint64, Time) {}

func (b *recorder) PollEndpoints() { b.add("subscribe") }

func (b *recorder) Probe(tgt WorkerID) { b.add("probe %d", tgt) }

func (b *recorder) SendLoad(to PeerID, l Load) { b.add("tell %d of %d: %d", to, l.Worker, l.InFlight) }

func (b *recorder) Log(string) {}

var testConfig = Config{
	Dispatchers: 2, Kinds: 1, Granularity: 20, MaxPollInterval: 10 * Second, WarmupDuration: 20 * Second, WarmupWindow: 2 * Second,
	InitialWarmup: 0.2, OverloadFactor: 4, Cancellation: true, Hedging: true, MaxAttempts: 4, OverQuotaShare: 0.1,
	StartNotices: true, RetryAfter: true, MaxRetryAfter: 2 * Second,
	ReportInFlight: -1, ReportQueue: -1, ReportFree: 0,
	Tenants: []TenantConfig{{Quota: math.Inf(1)}, {Quota: 20}, {Quota: 0.2}},
	Operations: []OperationConfig{
		{LatencyObjective: Second, Value: 1, LateShare: 0.2, Kind: -1},
		{LatencyObjective: Second, Value: 8, Idempotency: NonIdempotent, Kind: -1},
		{LatencyObjective: Second, DedupWindow: 5 * Second, Value: 1, Idempotency: IdempotentByKey, DedupScope: ScopeZone, Kind: -1},
		{LatencyObjective: Second, DedupWindow: 5 * Second, Value: 1, Idempotency: IdempotentByKey, DedupScope: ScopeAll, Kind: -1},
		{LatencyObjective: Second, DedupWindow: 5 * Second, Value: 1, Idempotency: IdempotentByKey, DedupScope: ScopeCell, Kind: -1},
	},
}

// newWarmBalancer has n warm workers; even ones are in zone 0, odd ones in zone 1, each in a cell of its own.
func newWarmBalancer(n int, seed uint64) (*Balancer, *recorder) {
	b := &recorder{}
	d := New(testConfig, seed, b)
	d.SetTime(100 * Second)
	var list []Endpoint
	for w := range n {
		list = append(list, Endpoint{Worker: WorkerID(w), ID: fmt.Sprintf("w%d", w), Zone: ZoneID(w % 2), Cell: CellID(w)})
	}
	d.UpdateEndpoints(list, true, true)
	return d, b
}
