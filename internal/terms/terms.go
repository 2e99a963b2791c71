// Package terms turns the settings that a dispatcher is given at its start into the terms of its decisions.
// The bench's adapter and the dispatcher on sockets both read them here.
package terms

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"github.com/valyala/fastjson"

	"canvasroute/decide"
)

// A message to peers of up to MessageLeast bytes has the same price, as measured; MessageMost is the longest.
const (
	MessageLeast = 16
	MessageMost  = 256
)

var repeats = map[string]decide.Repeat{
	"idempotent": decide.Idempotent, "deduplicated": decide.Deduplicated, "at_most_once": decide.NonIdempotent,
}

var scopes = map[string]decide.Scope{
	"": decide.ScopeAll, "all": decide.ScopeAll, "zone": decide.ScopeZone, "cell": decide.ScopeCell,
}

// Clock turns a moment in seconds into the decisions' time.
func Clock(s float64) decide.Time { return decide.Time(math.Round(s * decide.Second)) }

// Span rounds down, so that nothing is believed to last longer than it does.
func Span(s float64) decide.Time { return decide.Time(math.Floor(s*decide.Second + 1e-6)) }

// Parse reads the settings; keys that it does not know are passed over.
func Parse(v *fastjson.Value) (decide.Terms, error) {
	if v == nil || v.Type() != fastjson.TypeObject {
		return decide.Terms{}, errors.New("not an object")
	}
	limits, rules, info, report := v.Get("policyLimits"), v.Get("rules"), v.Get("familyInfo"), v.Get("report")
	goal := v.GetFloat64("goal", "whole") + v.GetFloat64("goal", "worstWindow")
	t := decide.Terms{
		Dispatchers: v.GetInt("balancers"), Kinds: max(len(v.GetArray("shapes")), 1),
		Zone:     decide.Zone(v.GetInt("zone")),
		Position: v.GetInt("position"), TellCost: v.GetFloat64("prices", "peer") * MessageLeast / MessageMost,
		Granularity: Span(v.GetFloat64("granularityS")), AskWithin: Span(rules.GetFloat64("askWithinS")),
		ComeBackMost: Span(limits.GetFloat64("maxRetryAfterS")), Ramp: Span(rules.GetFloat64("rampTimeS")),
		FallSpan: Span(rules.GetFloat64("fallS")), ColdFrom: rules.GetFloat64("coldFrom"),
		FallMultiple: rules.GetFloat64("overloadFactor"), SurplusShare: v.GetFloat64("surplusBilledValue"),
		CrossCost: v.GetFloat64("prices", "crossZone"), ForwardsMost: limits.GetInt("maxForwards"),
		AskForList: string(v.GetStringBytes("registryMode")) == "subscribe",
		MayCancel:  limits.GetBool("mayCancel"), Copies: limits.GetBool("secondCopies"),
		Probes: limits.GetBool("probes"), Peers: limits.GetBool("peers"), ComeBack: limits.GetBool("retryAfter"),
		StartNotes:     info.GetBool("tellsStart"),
		WorstOperation: v.GetFloat64("goal", "worstClass") / max(goal, 0.01),
		ReportsOnProbe: string(report.GetStringBytes("how")) == "on_probe",
	}
	if string(v.GetStringBytes("billedValueBasis")) != "work" {
		t.ValueByInvocation = 1
	}
	t.ReportInFlight, t.ReportQueue, t.ReportFree = reportPlaces(report, info)
	var err error
	if t.Operations, err = operations(v.GetArray("operations"), info); err != nil {
		return t, err
	}
	t.Customers = customers(v.GetArray("orgs"))
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
func operations(settings []*fastjson.Value, info *fastjson.Value) (all []decide.OperationTerms, err error) {
	for n, o := range settings {
		repeat, known := repeats[string(o.GetStringBytes("repeat"))]
		scope, named := scopes[string(o.GetStringBytes("dedupScope"))]
		if !known || !named {
			return all, fmt.Errorf("operations[%d]: unknown repeat %q or dedupScope %q", n,
				o.GetStringBytes("repeat"), o.GetStringBytes("dedupScope"))
		}
		op := decide.OperationTerms{
			Name:      string(o.GetStringBytes("name")),
			Objective: Span(o.GetFloat64("latencyObjectiveS")), Window: Span(o.GetFloat64("dedupWindowS")),
			Value: o.GetFloat64("billedValue"), TardyShare: o.GetFloat64("tardyBilledValue"),
			Repeat: repeat, Scope: scope, Kind: -1,
		}
		if stretch := info.GetArray("classStretch"); n < len(stretch) {
			op.Stretch = stretch[n].GetFloat64()
		}
		if o.Exists("aimStretch") {
			op.Stretch = o.GetFloat64("aimStretch")
		}
		if k := info.GetArray("classKind"); n < len(k) {
			op.Kind = decide.Kind(k[n].GetInt())
		}
		all = append(all, op)
	}
	return all, nil
}

// customers reads the terms of each customer, or of a single one without a quota where the settings name none.
func customers(settings []*fastjson.Value) (all []decide.CustomerTerms) {
	for _, c := range settings {
		quota := c.GetFloat64("quotaPerS")
		if quota <= 0 {
			quota = math.Inf(1)
		}
		all = append(all, decide.CustomerTerms{
			Quota: quota,
			Name:  string(c.GetStringBytes("name")),
		})
	}
	if len(all) == 0 { // all invocations come from one that has no share
		return []decide.CustomerTerms{{Quota: math.Inf(1)}}
	}
	return all
}

// check refuses settings that no dispatcher can work with, and names the field.
func check(v *fastjson.Value) error {
	if len(v.GetArray("operations")) == 0 {
		return errors.New("operations: there must be at least one")
	}
	if n := v.GetInt("balancers"); n < 1 {
		return fmt.Errorf("balancers: %d, must be at least 1", n)
	}
	if n := v.GetInt("position"); n < 0 || n >= v.GetInt("balancers") {
		return fmt.Errorf("position: %d, must be one of %d", n, v.GetInt("balancers"))
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
			return fmt.Errorf("%s: %v, must not be negative", strings.Join(path, "."), s)
		}
	}
	for n, o := range v.GetArray("operations") {
		for _, key := range []string{"latencyObjectiveS", "clientTimeoutS", "dedupWindowS"} {
			if s := o.GetFloat64(key); s < 0 {
				return fmt.Errorf("operations[%d].%s: %v, must not be negative", n, key, s)
			}
		}
	}
	return nil
}
