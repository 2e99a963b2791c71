package settings

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/valyala/fastjson"

	"canvasroute/internal/balancer"
)

// allSettings has each key that Parse reads, with a value other than the default.
const allSettings = `{
"balancers": 5, "position": 2, "zone": 3, "shapes": ["std", "big"], "granularityS": 0.002,
"prices": {"peer": 0.5, "crossZone": 0.25}, "surplusBilledValue": 0.125, "billedValueBasis": "invocation",
"registryMode": "subscribe",
"goal": {"whole": 1.5, "worstWindow": 0.5, "worstClass": 3},
"rules": {"askWithinS": 6, "rampTimeS": 30, "fallS": 2, "coldFrom": 0.4, "overloadFactor": 1.5, "drainGraceS": 0.75},
"policyLimits": {"maxRetryAfterS": 2.5, "maxForwards": 3, "mayCancel": true, "secondCopies": true, "probes": true,
"peers": true, "retryAfter": true},
"familyInfo": {"tellsStart": true, "reportX0": "free slots", "classStretch": [0.75], "classKind": [1, 0]},
"report": {"how": "on_probe", "names": ["other", "rif", "q", "x0"]},
"operations": [
{"name": "render", "latencyObjectiveS": 1.25, "dedupWindowS": 600, "billedValue": 4, "tardyBilledValue": 0.5,
"repeat": "deduplicated", "dedupScope": "cell"},
{"name": "pay", "latencyObjectiveS": 0.5, "dedupWindowS": 1, "billedValue": 2, "tardyBilledValue": 0.25,
"repeat": "at_most_once", "dedupScope": "zone", "aimStretch": 0.5}],
"orgs": [{"name": "acme", "quotaPerS": 7.5}, {"name": "globex", "quotaPerS": 0}]
}`

// wantOperations are the operations of allSettings.
func wantOperations() []balancer.OperationConfig {
	return []balancer.OperationConfig{
		{
			Name:             "render",
			LatencyObjective: 12_500,
			DedupWindow:      6_000_000,
			Value:            4,
			LateShare:        0.5,
			Stretch:          0.75,
			Idempotency:      1,
			DedupScope:       2,
			Kind:             1,
		},
		{
			Name:             "pay",
			LatencyObjective: 5_000,
			DedupWindow:      10_000,
			Value:            2,
			LateShare:        0.25,
			Stretch:          0.5,
			Idempotency:      2,
			DedupScope:       1,
			Kind:             0,
		},
	}
}

// wantConfig is the configuration that Parse returns for allSettings.
func wantConfig() balancer.Config {
	return balancer.Config{
		Dispatchers: 5,
		Kinds:       2,
		Position:    2,
		Gossip: balancer.GossipConfig{
			MessageCost: 0.03125,
			Enabled:     true,
		},
		Zone:       3,
		Operations: wantOperations(),
		Quotas: balancer.QuotaConfig{
			Tenants:         []balancer.TenantConfig{{Quota: 7.5, Name: "acme"}, {Quota: math.Inf(1), Name: "globex"}},
			OverQuotaWeight: 0.125,
		},
		Granularity: 20,
		Discovery: balancer.DiscoveryConfig{
			MaxPollInterval: 60_000,
			Poll:            true,
			DrainGrace:      7_500,
		},
		Rejections: balancer.RejectionConfig{
			MaxRetryAfter: 25_000,
			RetryAfter:    true,
		},
		Warmup: balancer.WarmupConfig{
			Duration:       300_000,
			Window:         20_000,
			InitialShare:   0.4,
			OverloadFactor: 1.5,
		},
		Objective: balancer.ObjectiveConfig{
			CrossZoneCost:        0.25,
			WorstOperationWeight: 1.5,
			ValuePerRequest:      1,
		},
		Attempts: balancer.AttemptConfig{
			Cancellation: true,
			Hedging:      true,
			StartNotices: true,
			Max:          3,
		},
		LoadReports: balancer.LoadReportConfig{
			Probes:    true,
			OnProbe:   true,
			InFlight:  1,
			Queue:     2,
			FreeSlots: 3,
		},
	}
}

// fieldsNotInSettings are the fields that package daemon sets instead of Parse.
var fieldsNotInSettings = []string{"EndpointChangeDeadline", "DeliveryNotices"}

// TestEachSettingSetsItsConfigField checks that each key of the settings sets its field of the configuration.
func TestEachSettingSetsItsConfigField(t *testing.T) {
	got, err := Parse(fastjson.MustParse(allSettings))
	assert.NoError(t, err)
	assert.Equal(t, wantConfig(), got)
	config := reflect.ValueOf(wantConfig())
	for n := range config.NumField() {
		name := config.Type().Field(n).Name
		assert.Equal(t, slices.Contains(fieldsNotInSettings, name), config.Field(n).IsZero(),
			"%s: field without a setting in this test", name)
	}
}

// TestEnumValuesOfSettings checks the words that are valid for each enumerated setting, and the numbers that represent
// them in stored data.
func TestEnumValuesOfSettings(t *testing.T) {
	for _, tt := range []struct {
		word string
		want balancer.Idempotency
	}{{"idempotent", 0}, {"deduplicated", 1}, {"at_most_once", 2}} {
		t.Run("repeat "+tt.word, func(t *testing.T) {
			got, err := Parse(fastjson.MustParse(
				fmt.Sprintf(`{"balancers":1,"operations":[{"repeat":%q,"dedupScope":"zone"}]}`, tt.word)))
			assert.NoError(t, err)
			assert.Equal(t, tt.want, got.Operations[0].Idempotency)
		})
	}
	for _, tt := range []struct {
		word string
		want balancer.DedupScope
	}{{"", 0}, {"all", 0}, {"zone", 1}, {"cell", 2}} {
		t.Run("dedupScope "+tt.word, func(t *testing.T) {
			got, err := Parse(fastjson.MustParse(
				fmt.Sprintf(`{"balancers":1,"operations":[{"repeat":"idempotent","dedupScope":%q}]}`, tt.word)))
			assert.NoError(t, err)
			assert.Equal(t, tt.want, got.Operations[0].DedupScope)
		})
	}
}

// The discovery mode must have an effect: where lists are pushed, a change is in use sooner.
func TestDiscoveryModesOfSettings(t *testing.T) {
	for _, tt := range []struct {
		word           string
		polled, pushed bool
	}{{"subscribe", true, false}, {"automatic", false, true}, {"", false, false}} {
		t.Run(tt.word, func(t *testing.T) {
			got, err := Parse(fastjson.MustParse(
				fmt.Sprintf(`{"balancers":1,"registryMode":%q,"operations":[{"repeat":"idempotent"}]}`, tt.word)))
			assert.NoError(t, err)
			assert.Equal(t, tt.polled, got.Discovery.Poll)
			assert.Equal(t, tt.pushed, got.Discovery.Pushed)
		})
	}
}

// TestOmittedSettingsHaveDefaults checks the configuration for keys that the settings omit.
func TestOmittedSettingsHaveDefaults(t *testing.T) {
	got, err := Parse(fastjson.MustParse(
		`{"balancers":1,"billedValueBasis":"work","operations":[{"repeat":"idempotent"}]}`))
	assert.NoError(t, err)
	want := balancer.Config{
		Dispatchers: 1,
		Kinds:       1,
		Operations:  []balancer.OperationConfig{{Kind: -1}},
		Quotas: balancer.QuotaConfig{
			Tenants: []balancer.TenantConfig{{Quota: math.Inf(1)}},
		},
		LoadReports: balancer.LoadReportConfig{
			InFlight:  balancer.NotReported,
			Queue:     balancer.NotReported,
			FreeSlots: balancer.NotReported,
		},
	}
	assert.Equal(t, want, got)
}

// TestInvalidSettingsAreRejectedWithTheirKey checks the keys and problems in the errors for invalid settings.
func TestInvalidSettingsAreRejectedWithTheirKey(t *testing.T) {
	const idempotent = `"operations":[{"repeat":"idempotent"}]`
	for _, tt := range []struct{ name, settings, key, problem string }{
		{"no operations", `{"balancers":1}`, "operations", "there must be at least one"},
		{"no dispatchers", `{"balancers":0,` + idempotent + `}`, "balancers", "0, must be at least 1"},
		{
			"position out of range", `{"balancers":2,"position":2,` + idempotent + `}`,
			"position", "2, must be from 0 to 1, as there are 2 balancers",
		},
		{
			"unknown repeat", `{"balancers":1,"operations":[{"repeat":"never","dedupScope":"moon"}]}`,
			"operations[0].repeat", `"never", must be one of at_most_once, deduplicated, idempotent`,
		},
		{
			"unknown dedupScope", `{"balancers":1,"operations":[{"repeat":"idempotent","dedupScope":"moon"}]}`,
			"operations[0].dedupScope", `"moon", must be one of all, cell, zone`,
		},
		{
			"dedupScope as a number", `{"balancers":1,"operations":[{"repeat":"idempotent","dedupScope":2}]}`,
			"operations[0].dedupScope", "2, must be one of all, cell, zone",
		},
		{
			"deduplicated without dedupScope", `{"balancers":1,"operations":[{"repeat":"deduplicated","dedupWindowS":9}]}`,
			"operations[0].dedupScope", "missing, must be set for a deduplicated operation to one of all, cell, zone",
		},
		{
			"deduplicated with an empty dedupScope", `{"balancers":1,"operations":[{"repeat":"deduplicated","dedupScope":""}]}`,
			"operations[0].dedupScope", "missing, must be set for a deduplicated operation to one of all, cell, zone",
		},
		{
			"negative client timeout", `{"balancers":1,"operations":[{"repeat":"idempotent","clientTimeoutS":-1}]}`,
			"operations[0].clientTimeoutS", "-1, must not be negative",
		},
		{
			"negative deduplication window", `{"balancers":1,"operations":[{"repeat":"idempotent","dedupWindowS":-1}]}`,
			"operations[0].dedupWindowS", "-1, must not be negative",
		},
		{
			"negative rule", `{"balancers":1,` + idempotent + `,"rules":{"drainGraceS":-2}}`,
			"rules.drainGraceS", "-2, must not be negative",
		},
		{
			"negative policy limit", `{"balancers":1,` + idempotent + `,"policyLimits":{"maxRetryAfterS":-2}}`,
			"policyLimits.maxRetryAfterS", "-2, must not be negative",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse(fastjson.MustParse(tt.settings))
			var keyError *KeyError
			assert.ErrorAs(t, err, &keyError)
			assert.Equal(t, &KeyError{Key: tt.key, Problem: tt.problem}, keyError)
			assert.EqualError(t, err, tt.key+": "+tt.problem)
		})
	}
	_, err := Parse(fastjson.MustParse("[]"))
	assert.ErrorIs(t, err, ErrNotObject)
	_, err = Parse(nil)
	assert.ErrorIs(t, err, ErrNotObject)
}
