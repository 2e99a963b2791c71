// Package balancertest provides balancers for the tests of other packages.
package balancertest

import (
	"time"

	"canvasroute/internal/balancer"
)

// Config returns the configuration of the first of two dispatchers, with one attempt per request and no load reports.
// It has one tenant with a quota that tests do not reach, and one idempotent operation.
func Config() balancer.Config {
	return balancer.Config{
		Dispatchers: 2,
		Kinds:       1,
		Granularity: 20,
		Attempts:    balancer.AttemptConfig{Max: 1},
		Quotas:      balancer.QuotaConfig{Tenants: []balancer.TenantConfig{{Quota: 1e9}}},
		Operations:  []balancer.OperationConfig{{LatencyObjective: balancer.Second, Value: 1, Kind: balancer.AnyKind}},
		LoadReports: balancer.LoadReportConfig{
			InFlight:  balancer.NotReported,
			Queue:     balancer.NotReported,
			FreeSlots: balancer.NotReported,
		},
	}
}

// NewShards returns a Shards with a single shard. Its clock runs in real time and starts at one second.
func NewShards(config balancer.Config) *balancer.Shards {
	startedAt := time.Now()
	clock := func() balancer.Time {
		return balancer.Time(balancer.Second).Add(balancer.DurationOf(time.Since(startedAt)))
	}
	return balancer.NewShards(config, 1, 1, clock, func(balancer.Event) {})
}
