// Package settings parses the platform's settings, which every dispatcher receives at startup, into the balancer's
// configuration. It is used by the dispatcher on sockets and by the adapter for the simulator. It validates the values
// that the balancer needs, and sets their defaults. Unknown keys are ignored; package daemon reads the keys that only
// the dispatcher on sockets needs.
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
	MaxMessageBytes       = 256 // maximum length of a message; the platform's price is that of a message of this length
	minPricedMessageBytes = 16  // shorter messages have the price of a message of this length
)

// roundingTolerance, in ticks of the balancer's clock, compensates for floating-point products that are slightly less
// than a whole number of ticks.
const roundingTolerance = 1e-6

// minObjectiveWeight keeps the relative weight of the worst operation finite if the other weights of the objective
// function are 0 or not set.
const minObjectiveWeight = 0.01

// TimeFromSeconds converts a timestamp in seconds to the balancer's time, rounded to the nearest tick.
func TimeFromSeconds(seconds float64) balancer.Time {
	return balancer.Time(math.Round(seconds * balancer.Second))
}

// DurationFromSeconds converts a duration in seconds to the balancer's duration. It rounds down, so that a timeout is
// never extended.
func DurationFromSeconds(seconds float64) balancer.Duration {
	return balancer.Duration(math.Floor(seconds*balancer.Second + roundingTolerance))
}

// Parse returns the balancer's configuration for the platform's settings. It returns ErrNotObject, or a *KeyError for
// the first value that is invalid for every dispatcher.
func Parse(root *fastjson.Value) (balancer.Config, error) {
	if root == nil || root.Type() != fastjson.TypeObject {
		return balancer.Config{}, ErrNotObject
	}
	operations, err := parseOperations(root.GetArray(keyOperations), root.Get(keyWorkload))
	if err != nil {
		return balancer.Config{}, err
	}
	if err := check(root); err != nil {
		return balancer.Config{}, err
	}
	config := balancer.Config{
		Operations: operations,
		Quotas: balancer.QuotaConfig{
			Tenants: parseTenants(root.GetArray(keyTenants)),
		},
	}
	parseTopology(&config, root)
	parseObjective(&config, root)
	parsePolicyLimits(&config, root.Get(keyPolicyLimits))
	parseRules(&config, root.Get(keyRules))
	parseLoadReports(&config, root.Get(keyLoadReport), root.Get(keyWorkload))
	return config, nil
}

// parseTopology parses the number of dispatchers, the position and zone of this dispatcher, the number of kinds of
// workers, the scheduling granularity and the discovery mode. If the settings list no kinds, there is a single kind.
func parseTopology(config *balancer.Config, root *fastjson.Value) {
	config.Dispatchers = root.GetInt(keyDispatchers)
	config.Position = root.GetInt(keyPosition)
	config.Zone = balancer.ZoneID(root.GetInt(keyZone))
	config.Kinds = max(len(root.GetArray(keyKinds)), 1)
	config.Granularity = DurationFromSeconds(root.GetFloat64(keyGranularity))
	discoveryMode := string(root.GetStringBytes(keyDiscoveryMode))
	config.Discovery.Poll = discoveryMode == wordPolledDiscovery
	config.Discovery.Pushed = discoveryMode == wordPushedDiscovery
}

// parseObjective parses the weight of the worst operation, the weight of requests beyond a tenant's quota, and the
// prices of gossip messages and of attempts in other zones. Value is counted per request unless the settings specify
// that it is counted per unit of work.
func parseObjective(config *balancer.Config, root *fastjson.Value) {
	otherWeights := root.GetFloat64(keyGoal, keyGoalWholeRun) + root.GetFloat64(keyGoal, keyGoalWorstWindow)
	config.Objective.WorstOperationWeight = root.GetFloat64(keyGoal, keyGoalWorstOperation) / max(otherWeights, minObjectiveWeight)
	config.Quotas.OverQuotaWeight = root.GetFloat64(keyOverQuotaValue)
	config.Gossip.MessageCost = root.GetFloat64(keyPrices, keyGossipPrice) * minPricedMessageBytes / MaxMessageBytes
	config.Objective.CrossZoneCost = root.GetFloat64(keyPrices, keyCrossZonePrice)
	if string(root.GetStringBytes(keyValueBasis)) != wordValueByWork {
		config.Objective.ValuePerRequest = 1
	}
}

// parsePolicyLimits parses the limits on the actions of a dispatcher, and the optional actions that are allowed.
func parsePolicyLimits(config *balancer.Config, limits *fastjson.Value) {
	config.Attempts.Max = limits.GetInt(keyMaxAttempts)
	config.Rejections.MaxRetryAfter = DurationFromSeconds(limits.GetFloat64(keyMaxRetryAfter))
	config.Attempts.Cancellation = limits.GetBool(keyCancellation)
	config.Attempts.Hedging = limits.GetBool(keyHedging)
	config.LoadReports.Probes = limits.GetBool(keyHealthChecks)
	config.Gossip.Enabled = limits.GetBool(keyGossip)
	config.Rejections.RetryAfter = limits.GetBool(keyRetryAfter)
}

// parseRules parses the rules that workers and the discovery service impose on dispatchers.
func parseRules(config *balancer.Config, rules *fastjson.Value) {
	config.Discovery.MaxPollInterval = DurationFromSeconds(rules.GetFloat64(keyMaxPollInterval))
	config.Discovery.DrainGrace = DurationFromSeconds(rules.GetFloat64(keyDrainGrace))
	config.Warmup.Duration = DurationFromSeconds(rules.GetFloat64(keyWarmupDuration))
	config.Warmup.Window = DurationFromSeconds(rules.GetFloat64(keyWarmupWindow))
	config.Warmup.InitialShare = rules.GetFloat64(keyInitialWarmup)
	config.Warmup.OverloadFactor = rules.GetFloat64(keyOverloadFactor)
}

// parseLoadReports parses whether workers report the start of attempts, whether only responses to health checks hold
// load reports, and the index in a load report of each value that the balancer uses. The workload-specific value is
// used only if it is the number of free slots.
func parseLoadReports(config *balancer.Config, report, workload *fastjson.Value) {
	config.Attempts.StartNotices = workload.GetBool(keyStartNotices)
	config.LoadReports.OnProbe = string(report.GetStringBytes(keyLoadReportSource)) == wordReportsOnProbe
	config.LoadReports.InFlight = balancer.NotReported
	config.LoadReports.Queue = balancer.NotReported
	config.LoadReports.FreeSlots = balancer.NotReported
	reportsFreeSlots := string(workload.GetStringBytes(keyWorkloadValue)) == wordFreeSlots
	for n, name := range report.GetArray(keyLoadReportNames) {
		index := balancer.ReportIndex(n)
		switch string(name.GetStringBytes()) {
		case nameRequestsInFlight:
			config.LoadReports.InFlight = index
		case nameQueuedRequests:
			config.LoadReports.Queue = index
		case nameWorkloadValue:
			if reportsFreeSlots {
				config.LoadReports.FreeSlots = index
			}
		}
	}
}

// LoadReportLength returns the number of values in a worker's load report according to the settings.
func LoadReportLength(root *fastjson.Value) int {
	return len(root.GetArray(keyLoadReport, keyLoadReportNames))
}

// parseTenants parses the tenants. If the settings list none, there is a single tenant without a quota. For the
// balancer, an infinite quota means no quota.
func parseTenants(list []*fastjson.Value) []balancer.TenantConfig {
	if len(list) == 0 {
		return []balancer.TenantConfig{{Quota: math.Inf(1)}}
	}
	var tenants []balancer.TenantConfig
	for _, tenant := range list {
		quota := tenant.GetFloat64(keyQuota)
		if quota <= 0 {
			quota = math.Inf(1)
		}
		tenants = append(tenants, balancer.TenantConfig{Quota: quota, Name: string(tenant.GetStringBytes(keyName))})
	}
	return tenants
}
