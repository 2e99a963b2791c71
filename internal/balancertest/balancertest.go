// Package balancertest builds balancers for the tests of the packages that use one.
package balancertest

import (
	"time"

	"canvasroute/internal/balancer"
)

// Config returns the configuration of the first of two dispatchers that makes one attempt a request, without load
// reports. It has one tenant far within its quota, and one idempotent operation.
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

// NewShards returns the only shard of a process. Its clock runs in real time, from one second on.
func NewShards(config balancer.Config) *balancer.Shards {
	startedAt := time.Now()
	clock := func() balancer.Time {
		return balancer.Time(balancer.Second).Add(balancer.DurationOf(time.Since(startedAt)))
	}
	return balancer.NewShards(config, 1, 1, clock, func(balancer.Event) {})
}
