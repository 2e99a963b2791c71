// Package settings reads the platform's settings, which every dispatcher is given at its start, as the balancer's
// configuration. The simulator's adapter and the dispatcher on sockets both read them here. It checks and defaults what
// the balancer uses, and nothing else: keys that it does not know are ignored, and what only the dispatcher on sockets
// needs is read by package daemon.
package settings

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/valyala/fastjson"

	"canvasroute/internal/balancer"
)

// Sizes of messages between dispatchers, in bytes.
const (
	MinPricedMessage = 16  // a message of up to so many has the same price, as measured
	MaxMessageBytes  = 256 // the longest message
)

// roundingSlack makes up for a product of floats that falls just short of a whole number of ticks.
const roundingSlack = 1e-6

// TimeOf is a moment in seconds as the balancer's time, rounded to the nearest tick.
func TimeOf(seconds float64) balancer.Time {
	return balancer.Time(math.Round(seconds * balancer.Second))
}

// DurationOf is a duration in seconds as the balancer's time. It is rounded down, so that nothing is taken to last longer
// than it does.
func DurationOf(seconds float64) balancer.Duration {
	return balancer.Duration(math.Floor(seconds*balancer.Second + roundingSlack))
}

// Parse reads the settings. It fails with ErrNotObject, or with a *KeyError for settings that no dispatcher can work
// with.
func Parse(v *fastjson.Value) (balancer.Config, error) {
	if v == nil || v.Type() != fastjson.TypeObject {
		return balancer.Config{}, ErrNotObject
	}
	operations, err := parseOperations(v.GetArray("operations"), v.Get("familyInfo"))
	if err != nil {
		return balancer.Config{}, err
	}
	if err := check(v); err != nil {
		return balancer.Config{}, err
	}
	c := balancer.Config{Operations: operations, Tenants: parseTenants(v.GetArray("orgs"))}
	parseTopology(&c, v)
	parseValue(&c, v)
	parsePolicyLimits(&c, v.Get("policyLimits"))
	parseRules(&c, v.Get("rules"))
	parseLoadReports(&c, v.Get("report"), v.Get("familyInfo"))
	return c, nil
}

// parseTopology reads who there is, and how the worker list comes.
func parseTopology(c *balancer.Config, v *fastjson.Value) {
	c.Dispatchers = v.GetInt("balancers")
	c.Position = v.GetInt("position")
	c.Zone = balancer.ZoneID(v.GetInt("zone"))
	c.Kinds = max(len(v.GetArray("shapes")), 1)
	c.Granularity = DurationOf(v.GetFloat64("granularityS"))
	c.PollEndpoints = string(v.GetStringBytes("registryMode")) == "subscribe"
}

// parseValue reads what requests are worth and what messages cost.
func parseValue(c *balancer.Config, v *fastjson.Value) {
	const minGoal = 0.01 // keeps the weight finite where the settings have no goal
	goal := v.GetFloat64("goal", "whole") + v.GetFloat64("goal", "worstWindow")
	c.WorstOperationWeight = v.GetFloat64("goal", "worstClass") / max(goal, minGoal)
	c.OverQuotaShare = v.GetFloat64("surplusBilledValue")
	c.GossipCost = v.GetFloat64("prices", "peer") * MinPricedMessage / MaxMessageBytes
	c.CrossZoneCost = v.GetFloat64("prices", "crossZone")
	if string(v.GetStringBytes("billedValueBasis")) != "work" {
		c.ValuePerRequest = 1
	}
}

// parsePolicyLimits reads what a dispatcher may do.
func parsePolicyLimits(c *balancer.Config, limits *fastjson.Value) {
	c.MaxAttempts = limits.GetInt("maxForwards")
	c.MaxRetryAfter = DurationOf(limits.GetFloat64("maxRetryAfterS"))
	c.Cancellation = limits.GetBool("mayCancel")
	c.Hedging = limits.GetBool("secondCopies")
	c.Probes = limits.GetBool("probes")
	c.Gossip = limits.GetBool("peers")
	c.RetryAfter = limits.GetBool("retryAfter")
}

// parseRules reads what workers and the list service expect of a dispatcher.
func parseRules(c *balancer.Config, rules *fastjson.Value) {
	c.MaxPollInterval = DurationOf(rules.GetFloat64("askWithinS"))
	c.WarmupDuration = DurationOf(rules.GetFloat64("rampTimeS"))
	c.WarmupWindow = DurationOf(rules.GetFloat64("fallS"))
	c.InitialWarmup = rules.GetFloat64("coldFrom")
	c.OverloadFactor = rules.GetFloat64("overloadFactor")
}

// parseLoadReports reads what workers report, and the place of each value in a report.
func parseLoadReports(c *balancer.Config, report, info *fastjson.Value) {
	c.StartNotices = info.GetBool("tellsStart")
	c.ReportsOnProbe = string(report.GetStringBytes("how")) == "on_probe"
	c.ReportInFlight = balancer.NotReported
	c.ReportQueue = balancer.NotReported
	c.ReportFree = balancer.NotReported
	for n, name := range report.GetArray("names") {
		switch string(name.GetStringBytes()) {
		case "rif":
			c.ReportInFlight = balancer.ReportIndex(n)
		case "q":
			c.ReportQueue = balancer.ReportIndex(n)
		case "x0":
			if string(info.GetStringBytes("reportX0")) == "free slots" {
				c.ReportFree = balancer.ReportIndex(n)
			}
		}
	}
}

// parseTenants reads the tenants, or a single one without a quota where the settings name none.
func parseTenants(list []*fastjson.Value) []balancer.TenantConfig {
	var tenants []balancer.TenantConfig
	for _, v := range list {
		quota := v.GetFloat64("quotaPerS")
		if quota <= 0 {
			quota = math.Inf(1)
		}
		tenants = append(tenants, balancer.TenantConfig{Quota: quota, Name: string(v.GetStringBytes("name"))})
	}
	if len(tenants) == 0 {
		return []balancer.TenantConfig{{Quota: math.Inf(1)}}
	}
	return tenants
}

// check rejects settings that no dispatcher can work with.
func check(v *fastjson.Value) error {
	if len(v.GetArray("operations")) == 0 {
		return reject("operations", "there must be at least one")
	}
	dispatchers := v.GetInt("balancers")
	if dispatchers < 1 {
		return reject("balancers", fmt.Sprintf("%d, must be at least 1", dispatchers))
	}
	if position := v.GetInt("position"); position < 0 || position >= dispatchers {
		return reject("position", fmt.Sprintf("%d, must be from 0 to %d, as there are %d balancers", position,
			dispatchers-1, dispatchers))
	}
	for _, path := range [][]string{
		{"granularityS"},
		{"policyLimits", "maxRetryAfterS"},
		{"rules", "askWithinS"},
		{"rules", "rampTimeS"},
		{"rules", "drainGraceS"},
		{"rules", "fallS"},
		{"rules", "coldFrom"},
	} {
		if err := checkNotNegative(v.GetFloat64(path...), strings.Join(path, ".")); err != nil {
			return err
		}
	}
	for n, operation := range v.GetArray("operations") {
		for _, key := range []string{"latencyObjectiveS", "clientTimeoutS", "dedupWindowS"} {
			if err := checkNotNegative(operation.GetFloat64(key), operationKey(n, key)); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkNotNegative(n float64, key string) error {
	if n < 0 {
		return reject(key, fmt.Sprintf("%v, must not be negative", n))
	}
	return nil
}

// words are the values that a setting chooses from, in alphabetical order.
func words[T any](choices map[string]T) string {
	var list []string
	for word := range choices {
		if word != "" { // the setting is left out
			list = append(list, word)
		}
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}
