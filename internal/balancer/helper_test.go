package balancer

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// testStart is the time to which the tests set the clock first.
const testStart = Time(100 * Second)

// The operations of testConfig. They differ in how often a request may be executed.
const (
	idempotentOp    OperationID = iota // any number of times
	nonIdempotentOp                    // once; the value of its answers is eight times that of the others
	zoneKeyedOp                        // again with its idempotency key, at the workers of a zone
	fleetKeyedOp                       // again with its idempotency key, at all workers
	cellKeyedOp                        // again with its idempotency key, at the workers of a cell
)

// The tenants of testConfig, by quota. Each of the two dispatchers has half of the quota.
const (
	unlimitedTenant  TenantID = iota
	twentyRPSTenant           // 20 requests per second
	fifthOfRPSTenant          // one request per 5 s
)

var testConfig = Config{
	Dispatchers: 2,
	Kinds:       1,
	Granularity: 20,
	Discovery: DiscoveryConfig{
		MaxPollInterval: 10 * Second,
	},
	Warmup: WarmupConfig{
		Duration:       20 * Second,
		Window:         2 * Second,
		InitialShare:   0.2,
		OverloadFactor: 4,
	},
	Attempts: AttemptConfig{
		Cancellation: true,
		Hedging:      true,
		Max:          4,
		StartNotices: true,
	},
	Quotas: QuotaConfig{
		OverQuotaWeight: 0.1,
		Tenants: []TenantConfig{
			unlimitedTenant:  {Quota: math.Inf(1)},
			twentyRPSTenant:  {Quota: 20},
			fifthOfRPSTenant: {Quota: 0.2},
		},
	},
	Rejections: RejectionConfig{
		RetryAfter:    true,
		MaxRetryAfter: 2 * Second,
	},
	LoadReports: LoadReportConfig{
		InFlight:  NotReported,
		Queue:     NotReported,
		FreeSlots: 0,
	},
	Operations: []OperationConfig{
		idempotentOp: {
			LatencyObjective: Second,
			Value:            1,
			LateShare:        0.2,
			Kind:             AnyKind,
		},
		nonIdempotentOp: {
			LatencyObjective: Second,
			Value:            8,
			Idempotency:      NonIdempotent,
			Kind:             AnyKind,
		},
		zoneKeyedOp:  keyedOperation(ScopeZone),
		fleetKeyedOp: keyedOperation(ScopeAll),
		cellKeyedOp:  keyedOperation(ScopeCell),
	},
}

// keyedOperation returns an operation with an idempotency key and the given dedup scope.
func keyedOperation(scope DedupScope) OperationConfig {
	return OperationConfig{
		LatencyObjective: Second,
		DedupWindow:      5 * Second,
		Value:            1,
		Idempotency:      IdempotentByKey,
		DedupScope:       scope,
		Kind:             AnyKind,
	}
}

// testEndpoint returns a worker in zone 0 if its ID is even and in zone 1 if it is odd, and in a cell of its own.
func testEndpoint(id WorkerID) Endpoint {
	return Endpoint{
		Worker: id,
		ID:     fmt.Sprintf("w%d", id),
		Zone:   ZoneID(id % 2),
		Cell:   CellID(id),
	}
}

// testEndpoints returns the first count workers of testEndpoint, starting with ID 0.
func testEndpoints(count int) (endpoints []Endpoint) {
	for id := range WorkerID(count) {
		endpoints = append(endpoints, testEndpoint(id))
	}
	return endpoints
}

// newTestBalancer returns a Balancer whose endpoint list is from the discovery service, and a recorder of its effects.
func newTestBalancer(config Config, seed uint64, endpoints []Endpoint) (*Balancer, *recorder) {
	effects := &recorder{}
	balancer := New(config, seed, effects)
	balancer.SetTime(testStart)
	balancer.UpdateEndpoints(endpoints, AllEndpoints, FromDiscovery)
	return balancer, effects
}

// newWarmBalancer returns a Balancer with testConfig and the given number of warm workers from testEndpoints.
func newWarmBalancer(workers int, seed uint64) (*Balancer, *recorder) {
	return newTestBalancer(testConfig, seed, testEndpoints(workers))
}

// submitRequest submits a request and applies the rules that are due.
func submitRequest(balancer *Balancer, id RequestID, arrival Arrival) {
	balancer.RequestArrived(id, arrival)
	balancer.RunDueRules()
}

// endFirstAttempt reports an outcome of the first attempt that leaves the request open, and applies the rules that are
// due.
func endFirstAttempt(balancer *Balancer, id RequestID, outcome Outcome) {
	balancer.AttemptEnded(id, 0, outcome, NoAnswer)
	balancer.RunDueRules()
}

// advance advances the clock by elapsed, and applies the rules that are due.
func advance(balancer *Balancer, elapsed Duration) {
	balancer.SetTime(balancer.now.Add(elapsed))
	balancer.RunDueRules()
}

// reviewNow makes the review of open requests due, and applies the rules that are due.
func reviewNow(balancer *Balancer) {
	balancer.due.reviewAt = balancer.now
	balancer.RunDueRules()
}

// workerOfAttempt returns the worker of an attempt.
func workerOfAttempt(balancer *Balancer, id RequestID, number int) WorkerID {
	return balancer.requests.get(id).attempts[number].worker
}

// newUnattemptedRequest returns an open request of the idempotent operation that is within its quota and has no
// attempts and no size hint.
func newUnattemptedRequest(interval int) *request {
	return &request{
		attemptLimit: 4,
		interval:     interval,
		quotaWeight:  1,
		deadline:     never,
	}
}

// withinWarmupBudget reports whether slow start allows a worker one more attempt of the given size.
func (b *Balancer) withinWarmupBudget(id WorkerID, size Work) bool {
	return b.slowStartExclusion(id, size) == eligible
}

// setSizes replaces the sample of sizes and updates the size intervals.
func setSizes(balancer *Balancer, sizes ...Work) {
	balancer.sizes.Restore(sizes, len(sizes))
	balancer.sizes.Update()
}

// setSlots sets the number of slots of workers of kind 0, both the estimate and the maximum observed in use.
func setSlots(balancer *Balancer, slots float64) {
	balancer.slots.kinds[0].MaxObserved = slots
	balancer.slots.kinds[0].Estimate = slots
}

// assertPollDueWithin asserts that the next poll of the endpoint list is due within limit.
func assertPollDueWithin(t *testing.T, balancer *Balancer, limit Duration, messageAndArgs ...any) {
	t.Helper()
	assert.LessOrEqual(t, balancer.polling.DueAt().Sub(balancer.now), limit, messageAndArgs...)
}

// recorder records the effects of a Balancer, one per line. It ignores wake-ups and events.
type recorder struct{ lines []string }

func (r *recorder) record(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}

func (r *recorder) SendAttempt(id RequestID, target WorkerID, _ Duration) {
	r.record("attempt %d to %d", id, target)
}

func (r *recorder) CancelAttempt(id RequestID, number int) { r.record("cancel %d.%d", id, number) }

func (r *recorder) Reject(id RequestID, retryAfter Duration) {
	r.record("reject %d, retry after %d", id, retryAfter)
}

func (r *recorder) Fail(id RequestID) { r.record("fail %d", id) }

func (r *recorder) Wake(uint64, Duration) {}

func (r *recorder) PollEndpoints() { r.record("poll") }

func (r *recorder) Probe(target WorkerID) { r.record("probe %d", target) }

func (r *recorder) SendLoad(to PeerID, load WorkerLoad) {
	r.record("load for %d: worker %d has %d", to, load.Worker, load.InFlight)
}

func (r *recorder) Log(Event) {}
