// Package settings turns the settings that a dispatcher is given at its start into the terms of its decisions.
// The bench's adapter and the dispatcher on sockets both read them here.
package settings

import (
	"fmt"
	"math"
	"strings"

	"github.com/valyala/fastjson"

	"canvasroute/internal/balancer"
)

// A message to peers of up to MinPricedMessage bytes has the same price, as measured; MaxMessageBytes is the longest.
const (
	MinPricedMessage = 16
	MaxMessageBytes  = 256
)

var repeats = map[string]balancer.Idempotency{
	"idempotent": balancer.Idempotent, "deduplicated": balancer.IdempotentByKey, "at_most_once": balancer.NonIdempotent,
}

var scopes = map[string]balancer.DedupScope{
	"": balancer.ScopeAll, "all": balancer.ScopeAll, "zone": balancer.ScopeZone, "cell": balancer.ScopeCell,
}

// TimeOf turns a moment in seconds into the decisions' time.
func TimeOf(s float64) balancer.Time { return balancer.Time(math.Round(s * balancer.Second)) }

// DurationOf rounds down, so that nothing is believed to last longer than it does.
func DurationOf(s float64) balancer.Time { return balancer.Time(math.Floor(s*balancer.Second + 1e-6)) }

// Parse reads the settings; keys that it does not know are passed over.
func Parse(v *fastjson.Value) (balancer.Config, error) {
	if v == nil || v.Type() != fastjson.TypeObject {
		return balancer.Config{}, ErrNotObject
	}
	limits, rules, info, report := v.Get("policyLimits"), v.Get("rules"), v.Get("familyInfo"), v.Get("report")
	goal := v.GetFloat64("goal", "whole") + v.GetFloat64("goal", "worstWindow")
	t := balancer.Config{
		Dispatchers: v.GetInt("balancers"), Kinds: max(len(v.GetArray("shapes")), 1),
		Zone:     balancer.ZoneID(v.GetInt("zone")),
		Position: v.GetInt("position"), GossipCost: v.GetFloat64("prices", "peer") * MinPricedMessage / MaxMessageBytes,
		Granularity: DurationOf(v.GetFloat64("granularityS")), MaxPollInterval: DurationOf(rules.GetFloat64("askWithinS")),
		MaxRetryAfter: DurationOf(limits.GetFloat64("maxRetryAfterS")), WarmupDuration: DurationOf(rules.GetFloat64("rampTimeS")),
		WarmupWindow: DurationOf(rules.GetFloat64("fallS")), InitialWarmup: rules.GetFloat64("coldFrom"),
		OverloadFactor: rules.GetFloat64("overloadFactor"), OverQuotaShare: v.GetFloat64("surplusBilledValue"),
		CrossZoneCost: v.GetFloat64("prices", "crossZone"), MaxAttempts: limits.GetInt("maxForwards"),
		PollEndpoints: string(v.GetStringBytes("registryMode")) == "subscribe",
		Cancellation:  limits.GetBool("mayCancel"), Hedging: limits.GetBool("secondCopies"),
		Probes: limits.GetBool("probes"), Gossip: limits.GetBool("peers"), RetryAfter: limits.GetBool("retryAfter"),
		StartNotices:         info.GetBool("tellsStart"),
		WorstOperationWeight: v.GetFloat64("goal", "worstClass") / max(goal, 0.01),
		ReportsOnProbe:       string(report.GetStringBytes("how")) == "on_probe",
	}
	if string(v.GetStringBytes("billedValueBasis")) != "work" {
		t.ValuePerRequest = 1
	}
	t.ReportInFlight, t.ReportQueue, t.ReportFree = reportPlaces(report, info)
	var err error
	if t.Operations, err = operations(v.GetArray("operations"), info); err != nil {
		return t, err
	}
	t.Tenants = customers(v.GetArray("orgs"))
	return t, check(v)
}

// reportPlaces finds which field of a load report tells the invocations in flight, the queue and the free slots;
// -1 stands for one that is not reported.
func reportPlaces(report, info *fastjson.Value) (inFlight, queue, free int) {
	inFlight, queue, free = -1, -1, -1
	for n, name := range report.GetArray("names") {
		switch string(name.GetStringBytes()) {
		case "rif":
			inFlight = n
		case "q":
			queue = n
		case "x0":
			if string(info.GetStringBytes("reportX0")) == "free slots" {
				free = n
			}
		}
	}
	return inFlight, queue, free
}

// operations reads the terms of each operation. The error names the operation by its place in the settings.
func operations(settings []*fastjson.Value, info *fastjson.Value) (all []balancer.OperationConfig, err error) {
	for n, o := range settings {
		repeat, known := repeats[string(o.GetStringBytes("repeat"))]
		scope, named := scopes[string(o.GetStringBytes("dedupScope"))]
		if !known || !named {
			return all, reject(fmt.Sprintf("operations[%d]", n), fmt.Sprintf("unknown repeat %q or dedupScope %q",
				o.GetStringBytes("repeat"), o.GetStringBytes("dedupScope")))
		}
		op := balancer.OperationConfig{
			Name:             string(o.GetStringBytes("name")),
			LatencyObjective: DurationOf(o.GetFloat64("latencyObjectiveS")), DedupWindow: DurationOf(o.GetFloat64("dedupWindowS")),
			Value: o.GetFloat64("billedValue"), LateShare: o.GetFloat64("tardyBilledValue"),
			Idempotency: repeat, DedupScope: scope, Kind: -1,
		}
		if stretch := info.GetArray("classStretch"); n < len(stretch) {
			op.Stretch = stretch[n].GetFloat64()
		}
		if o.Exists("aimStretch") {
			op.Stretch = o.GetFloat64("aimStretch")
		}
		if k := info.GetArray("classKind"); n < len(k) {
			op.Kind = balancer.KindID(k[n].GetInt())
		}
		all = append(all, op)
	}
	return all, nil
}

// customers reads the terms of each customer, or of a single one without a quota where the settings name none.
func customers(settings []*fastjson.Value) (all []balancer.TenantConfig) {
	for _, c := range settings {
		quota := c.GetFloat64("quotaPerS")
		if quota <= 0 {
			quota = math.Inf(1)
		}
		all = append(all, balancer.TenantConfig{
			Quota: quota,
			Name:  string(c.GetStringBytes("name")),
		})
	}
	if len(all) == 0 { // all invocations come from one that has no share
		return []balancer.TenantConfig{{Quota: math.Inf(1)}}
	}
	return all
}

// check refuses settings that no dispatcher can work with, and names the field.
func check(v *fastjson.Value) error {
	if len(v.GetArray("operations")) == 0 {
		return reject("operations", "there must be at least one")
	}
	if n := v.GetInt("balancers"); n < 1 {
		return reject("balancers", fmt.Sprintf("%d, must be at least 1", n))
	}
	if n := v.GetInt("position"); n < 0 || n >= v.GetInt("balancers") {
		return reject("position", fmt.Sprintf("%d, must be one of %d", n, v.GetInt("balancers")))
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
		if s := v.GetFloat64(path...); s < 0 {
			return reject(strings.Join(path, "."), fmt.Sprintf("%v, must not be negative", s))
		}
	}
	for n, o := range v.GetArray("operations") {
		for _, key := range []string{"latencyObjectiveS", "clientTimeoutS", "dedupWindowS"} {
			if s := o.GetFloat64(key); s < 0 {
				return reject(fmt.Sprintf("operations[%d].%s", n, key), fmt.Sprintf("%v, must not be negative", s))
			}
		}
	}
	return nil
}
