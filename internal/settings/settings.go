// Package settings reads the platform's settings, which every dispatcher gets at its start, as the balancer's
// configuration. Both the dispatcher on sockets and the simulator's adapter use it. It checks the values that the
// balancer needs and sets their defaults. Unknown keys are ignored; package daemon reads the keys that only the
// dispatcher on sockets needs.
//
// wire_names.go maps the platform's keys and words to the terms of this code.
package settings

import (
	"math"

	"github.com/valyala/fastjson"

	"canvasroute/internal/balancer"
)

// Sizes of gossip messages, in bytes.
const (
	MaxMessageBytes       = 256 // of the longest message; the platform's price is that of one
	minPricedMessageBytes = 16  // a shorter message has the price of one of this size
)

// roundingSlack, in ticks of the balancer's clock, makes up for a product of floats that falls just short of a whole
// number of ticks.
const roundingSlack = 1e-6

// minObjectiveWeight keeps the relative weight of the worst operation finite where the other weights of the objective
// function are 0 or left out.
const minObjectiveWeight = 0.01

// TimeOf returns a moment in seconds as the balancer's time, rounded to the nearest tick.
func TimeOf(seconds float64) balancer.Time {
	return balancer.Time(math.Round(seconds * balancer.Second))
}

// DurationOf returns a span in seconds as the balancer's. It is rounded down, as a timeout must not be taken for a longer
// one.
func DurationOf(seconds float64) balancer.Duration {
	return balancer.Duration(math.Floor(seconds*balancer.Second + roundingSlack))
}

// Parse returns the balancer's configuration for the platform's settings. The error is ErrNotObject, or a *KeyError for
// the first value that no dispatcher can work with.
func Parse(v *fastjson.Value) (balancer.Config, error) {
	if v == nil || v.Type() != fastjson.TypeObject {
		return balancer.Config{}, ErrNotObject
	}
	operations, err := parseOperations(v.GetArray(keyOperations), v.Get(keyWorkload))
	if err != nil {
		return balancer.Config{}, err
	}
	if err := check(v); err != nil {
		return balancer.Config{}, err
	}
	c := balancer.Config{Operations: operations, Tenants: parseTenants(v.GetArray(keyTenants))}
	parseTopology(&c, v)
	parseObjective(&c, v)
	parsePolicyLimits(&c, v.Get(keyPolicyLimits))
	parseRules(&c, v.Get(keyRules))
	parseLoadReports(&c, v.Get(keyLoadReport), v.Get(keyWorkload))
	return c, nil
}

// parseTopology reads the number of dispatchers and this one's place among them, the kinds of workers, and how endpoint
// lists come. Settings that name no kinds have one.
func parseTopology(c *balancer.Config, v *fastjson.Value) {
	c.Dispatchers = v.GetInt(keyDispatchers)
	c.Position = v.GetInt(keyPosition)
	c.Zone = balancer.ZoneID(v.GetInt(keyZone))
	c.Kinds = max(len(v.GetArray(keyKinds)), 1)
	c.Granularity = DurationOf(v.GetFloat64(keyGranularity))
	c.PollEndpoints = string(v.GetStringBytes(keyDiscoveryMode)) == wordPolledDiscovery
}

// parseObjective reads the value of requests and the prices of messages. Value is counted by request unless the settings
// say that it is counted by work.
func parseObjective(c *balancer.Config, v *fastjson.Value) {
	otherWeights := v.GetFloat64(keyGoal, keyGoalWholeRun) + v.GetFloat64(keyGoal, keyGoalWorstWindow)
	c.WorstOperationWeight = v.GetFloat64(keyGoal, keyGoalWorstOperation) / max(otherWeights, minObjectiveWeight)
	c.OverQuotaShare = v.GetFloat64(keyOverQuotaValue)
	c.GossipCost = v.GetFloat64(keyPrices, keyGossipPrice) * minPricedMessageBytes / MaxMessageBytes
	c.CrossZoneCost = v.GetFloat64(keyPrices, keyCrossZonePrice)
	if string(v.GetStringBytes(keyValueBasis)) != wordValueByWork {
		c.ValuePerRequest = 1
	}
}

// parsePolicyLimits reads what a dispatcher may do.
func parsePolicyLimits(c *balancer.Config, limits *fastjson.Value) {
	c.MaxAttempts = limits.GetInt(keyMaxAttempts)
	c.MaxRetryAfter = DurationOf(limits.GetFloat64(keyMaxRetryAfter))
	c.Cancellation = limits.GetBool(keyCancellation)
	c.Hedging = limits.GetBool(keyHedging)
	c.Probes = limits.GetBool(keyHealthChecks)
	c.Gossip = limits.GetBool(keyGossip)
	c.RetryAfter = limits.GetBool(keyRetryAfter)
}

// parseRules reads what workers and the discovery service expect of a dispatcher.
func parseRules(c *balancer.Config, rules *fastjson.Value) {
	c.MaxPollInterval = DurationOf(rules.GetFloat64(keyMaxPollInterval))
	c.WarmupDuration = DurationOf(rules.GetFloat64(keyWarmupDuration))
	c.WarmupWindow = DurationOf(rules.GetFloat64(keyWarmupWindow))
	c.InitialWarmup = rules.GetFloat64(keyInitialWarmup)
	c.OverloadFactor = rules.GetFloat64(keyOverloadFactor)
}

// parseLoadReports reads what workers report, and the index of each value that the balancer uses in a load report.
// The value that is particular to the workload is used where it counts free slots.
func parseLoadReports(c *balancer.Config, report, workload *fastjson.Value) {
	c.StartNotices = workload.GetBool(keyStartNotices)
	c.ReportsOnProbe = string(report.GetStringBytes(keyLoadReportSource)) == wordReportsOnProbe
	c.ReportInFlight = balancer.NotReported
	c.ReportQueue = balancer.NotReported
	c.ReportFree = balancer.NotReported
	reportsFreeSlots := string(workload.GetStringBytes(keyWorkloadValue)) == wordFreeSlots
	for n, name := range report.GetArray(keyLoadReportNames) {
		index := balancer.ReportIndex(n)
		switch string(name.GetStringBytes()) {
		case nameRequestsInFlight:
			c.ReportInFlight = index
		case nameQueuedRequests:
			c.ReportQueue = index
		case nameWorkloadValue:
			if reportsFreeSlots {
				c.ReportFree = index
			}
		}
	}
}

// LoadReportLength returns how many values a worker's load report has by the settings.
func LoadReportLength(v *fastjson.Value) int {
	return len(v.GetArray(keyLoadReport, keyLoadReportNames))
}

// parseTenants reads the tenants, or a single one without a quota where the settings name none. The balancer takes an
// infinite quota for none.
func parseTenants(list []*fastjson.Value) []balancer.TenantConfig {
	if len(list) == 0 {
		return []balancer.TenantConfig{{Quota: math.Inf(1)}}
	}
	var tenants []balancer.TenantConfig
	for _, v := range list {
		quota := v.GetFloat64(keyQuota)
		if quota <= 0 {
			quota = math.Inf(1)
		}
		tenants = append(tenants, balancer.TenantConfig{Quota: quota, Name: string(v.GetStringBytes(keyName))})
	}
	return tenants
}
