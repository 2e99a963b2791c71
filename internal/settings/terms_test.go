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

// allSettings has each key that Parse reads, with a value that is not its default.
const allSettings = `{
"balancers": 5, "position": 2, "zone": 3, "shapes": ["std", "big"], "granularityS": 0.002,
"prices": {"peer": 0.5, "crossZone": 0.25}, "surplusBilledValue": 0.125, "billedValueBasis": "invocation",
"registryMode": "subscribe",
"goal": {"whole": 1.5, "worstWindow": 0.5, "worstClass": 3},
"rules": {"askWithinS": 6, "rampTimeS": 30, "fallS": 2, "coldFrom": 0.4, "overloadFactor": 1.5},
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

// wantTerms is what allSettings says.
func wantTerms() balancer.Config {
	return balancer.Config{
		Dispatchers: 5, Kinds: 2, Position: 2, GossipCost: 0.03125, Zone: 3,
		Operations: []balancer.OperationConfig{
			{
				Name: "render", LatencyObjective: 12_500, DedupWindow: 6_000_000, Value: 4, LateShare: 0.5, Stretch: 0.75, Idempotency: 1,
				DedupScope: 2, Kind: 1,
			},
			{
				Name: "pay", LatencyObjective: 5_000, DedupWindow: 10_000, Value: 2, LateShare: 0.25, Stretch: 0.5, Idempotency: 2, DedupScope: 1,
				Kind: 0,
			},
		},
		Tenants:     []balancer.TenantConfig{{Quota: 7.5, Name: "acme"}, {Quota: math.Inf(1), Name: "globex"}},
		Granularity: 20, MaxPollInterval: 60_000, MaxRetryAfter: 25_000, WarmupDuration: 300_000, WarmupWindow: 20_000, InitialWarmup: 0.4,
		OverloadFactor: 1.5, OverQuotaShare: 0.125, CrossZoneCost: 0.25, PollEndpoints: true, Cancellation: true, Hedging: true,
		RetryAfter: true, Probes: true, Gossip: true, StartNotices: true, ReportsOnProbe: true, WorstOperationWeight: 1.5,
		ValuePerRequest: 1, MaxAttempts: 3, ReportInFlight: 1, ReportQueue: 2, ReportFree: 3,
	}
}

// notInSettings are the terms that a dispatcher's program sets itself.
var notInSettings = []string{"NotifyDeadline", "DeliveryNotices"}

// TestEachSettingArrivesInItsTerm pins the keys of the settings.
func TestEachSettingArrivesInItsTerm(t *testing.T) {
	read, err := Parse(fastjson.MustParse(allSettings))
	assert.NoError(t, err)
	assert.Equal(t, wantTerms(), read)
	v := reflect.ValueOf(wantTerms())
	for n := range v.NumField() {
		name := v.Type().Field(n).Name
		assert.Equal(t, slices.Contains(notInSettings, name), v.Field(n).IsZero(), "%s: a term without a setting here", name)
	}
}

// TestWordsOfSettings pins the words that settings choose by, with the numbers that they stand for in stored data.
func TestWordsOfSettings(t *testing.T) {
	for word, want := range map[string]int{"idempotent": 0, "deduplicated": 1, "at_most_once": 2} {
		read, err := Parse(fastjson.MustParse(fmt.Sprintf(`{"balancers":1,"operations":[{"repeat":%q}]}`, word)))
		assert.NoError(t, err)
		assert.EqualValues(t, want, read.Operations[0].Idempotency, word)
	}
	for word, want := range map[string]int{"": 0, "all": 0, "zone": 1, "cell": 2} {
		read, err := Parse(fastjson.MustParse(
			fmt.Sprintf(`{"balancers":1,"operations":[{"repeat":"idempotent","dedupScope":%q}]}`, word)))
		assert.NoError(t, err)
		assert.EqualValues(t, want, read.Operations[0].DedupScope, word)
	}
}

// TestDefaultsOfSettings pins what holds where the settings say nothing.
func TestDefaultsOfSettings(t *testing.T) {
	read, err := Parse(fastjson.MustParse(
		`{"balancers":1,"billedValueBasis":"work","operations":[{"repeat":"idempotent"}]}`))
	assert.NoError(t, err)
	assert.Equal(t, balancer.Config{
		Dispatchers: 1, Kinds: 1, Operations: []balancer.OperationConfig{{Kind: -1}},
		Tenants: []balancer.TenantConfig{{Quota: math.Inf(1)}}, ReportInFlight: -1, ReportQueue: -1, ReportFree: -1,
	},
		read)
}

// TestFaultsNameTheirSetting pins the keys in the messages of settings that cannot be worked with.
func TestFaultsNameTheirSetting(t *testing.T) {
	for _, c := range []struct{ settings, want string }{
		{`{"balancers":1}`, "operations: there must be at least one"},
		{`{"balancers":0,"operations":[{"repeat":"idempotent"}]}`, "balancers: 0, must be at least 1"},
		{`{"balancers":2,"position":2,"operations":[{"repeat":"idempotent"}]}`, "position: 2, must be one of 2"},
		{
			`{"balancers":1,"operations":[{"repeat":"never","dedupScope":"moon"}]}`,
			`operations[0]: unknown repeat "never" or dedupScope "moon"`,
		},
		{
			`{"balancers":1,"operations":[{"repeat":"idempotent","clientTimeoutS":-1}]}`,
			"operations[0].clientTimeoutS: -1, must not be negative",
		},
		{
			`{"balancers":1,"operations":[{"repeat":"idempotent","dedupWindowS":-1}]}`,
			"operations[0].dedupWindowS: -1, must not be negative",
		},
		{
			`{"balancers":1,"operations":[{"repeat":"idempotent"}],"rules":{"drainGraceS":-2}}`,
			"rules.drainGraceS: -2, must not be negative",
		},
		{
			`{"balancers":1,"operations":[{"repeat":"idempotent"}],"policyLimits":{"maxRetryAfterS":-2}}`,
			"policyLimits.maxRetryAfterS: -2, must not be negative",
		},
	} {
		_, err := Parse(fastjson.MustParse(c.settings))
		assert.EqualError(t, err, c.want)
	}
}
