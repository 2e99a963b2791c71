package balancer

import (
	"fmt"
	"math"

	"canvasroute/internal/balancer/slotestimate"
)

// recorder writes down the answers of a dispatcher.
type recorder struct{ lines []string }

func (r *recorder) add(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}

func (r *recorder) SendAttempt(id RequestID, target WorkerID, _ Duration) {
	r.add("attempt %d to %d", id, target)
}

func (r *recorder) CancelAttempt(id RequestID, n int) { r.add("cancel %d.%d", id, n) }

func (r *recorder) Reject(id RequestID, back Duration) { r.add("reject %d, retry after %d", id, back) }

func (r *recorder) Fail(id RequestID) { r.add("fail %d", id) }

func (r *recorder) Wake(uint64, Duration) {}

func (r *recorder) PollEndpoints() { r.add("poll") }

func (r *recorder) Probe(target WorkerID) { r.add("probe %d", target) }

func (r *recorder) SendLoad(to PeerID, l WorkerLoad) {
	r.add("load for %d: worker %d has %d", to, l.Worker, l.InFlight)
}

func (r *recorder) Log(Event) {}

var testConfig = Config{
	Dispatchers: 2, Kinds: 1, Granularity: 20, MaxPollInterval: 10 * Second, WarmupDuration: 20 * Second, WarmupWindow: 2 * Second,
	InitialWarmup: 0.2, OverloadFactor: 4, Cancellation: true, Hedging: true, MaxAttempts: 4, OverQuotaShare: 0.1,
	StartNotices: true, RetryAfter: true, MaxRetryAfter: 2 * Second,
	ReportInFlight: NotReported, ReportQueue: NotReported, ReportFree: 0,
	Tenants: []TenantConfig{{Quota: math.Inf(1)}, {Quota: 20}, {Quota: 0.2}},
	Operations: []OperationConfig{
		{LatencyObjective: Second, Value: 1, LateShare: 0.2, Kind: AnyKind},
		{LatencyObjective: Second, Value: 8, Idempotency: NonIdempotent, Kind: AnyKind},
		{LatencyObjective: Second, DedupWindow: 5 * Second, Value: 1, Idempotency: IdempotentByKey, DedupScope: ScopeZone, Kind: AnyKind},
		{LatencyObjective: Second, DedupWindow: 5 * Second, Value: 1, Idempotency: IdempotentByKey, DedupScope: ScopeAll, Kind: AnyKind},
		{LatencyObjective: Second, DedupWindow: 5 * Second, Value: 1, Idempotency: IdempotentByKey, DedupScope: ScopeCell, Kind: AnyKind},
	},
}

// newWarmBalancer has n warm workers; even ones are in zone 0, odd ones in zone 1, each in a cell of its own.
func newWarmBalancer(n int, seed uint64) (*Balancer, *recorder) {
	effects := &recorder{}
	balancer := New(testConfig, seed, effects)
	balancer.SetTime(100 * Second)
	var list []Endpoint
	for w := range n {
		list = append(list, Endpoint{Worker: WorkerID(w), ID: fmt.Sprintf("w%d", w), Zone: ZoneID(w % 2), Cell: CellID(w)})
	}
	balancer.UpdateEndpoints(list, AllEndpoints, FromDiscovery)
	return balancer, effects
}

// withinWarmupBudget reports whether slow start lets a worker have one more attempt of a size.
func (b *Balancer) withinWarmupBudget(id WorkerID, size Work) bool {
	return b.slowStartExclusion(id, size) == eligible
}

// setSizes replaces the sample of sizes, and renews the size intervals.
func setSizes(balancer *Balancer, sizes ...Work) {
	balancer.sizes.Restore(sizes, len(sizes))
	balancer.sizes.Update()
}

// startOf is how an attempt starts.
func startOf(atOnce bool) slotestimate.Start {
	if atOnce {
		return slotestimate.AtOnce
	}
	return slotestimate.Waited
}
