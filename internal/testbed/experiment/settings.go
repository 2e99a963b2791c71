package experiment

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"canvasroute/internal/testbed/unit"
	"canvasroute/internal/testbed/workload"
)

type jsonObject map[string]any

var idempotencyNames = map[string]string{
	workload.Idempotent: "idempotent", workload.IdempotentByKey: "deduplicated",
	workload.NonIdempotent: "at_most_once",
}

// settings are what the platform tells a dispatcher of the deployment, in its own words.
func (p *Plan) settings(position int) jsonObject {
	d, f := &p.Dispatchers, &p.Fleet
	var operations, tenants []jsonObject
	for _, o := range p.Operations {
		operations = append(operations, jsonObject{
			"name": o.Name, "repeat": idempotencyNames[o.Idempotency],
			"dedupScope": dedupScope(o), "dedupWindowS": o.DedupWindow.Std().Seconds(),
			"latencyObjectiveS": o.LatencyObjective.Std().Seconds(), "clientTimeoutS": o.Timeout.Std().Seconds(),
			"billedValue": o.Value, "tardyBilledValue": o.LateShare, "aimStretch": o.Stretch,
		})
	}
	for _, c := range p.Tenants {
		tenants = append(tenants, jsonObject{"name": c.Name, "quotaPerS": c.Quota})
	}
	var kinds []string
	for _, k := range f.Kinds {
		kinds = append(kinds, k.Name)
	}
	basis := "work"
	if d.ValueByCount {
		basis = "invocation"
	}
	report := jsonObject{"how": "off", "names": []string{}}
	info := jsonObject{"tellsStart": f.AnnounceStartNotes && f.StartNotes}
	if f.Probes {
		report = jsonObject{"how": "on_probe", "names": []string{"rif", "q", "x0"}}
		info["reportX0"] = "free slots"
	}
	return jsonObject{
		"balancers": d.Count, "position": position, "zone": position % len(f.Zones), "zones": f.Zones,
		"shapes": kinds, "granularityS": d.Granularity.Std().Seconds(), "operations": operations, "orgs": tenants,
		"familyInfo": info, "report": report, "registryMode": "subscribe", "billedValueBasis": basis,
		"surplusBilledValue": d.OverQuotaValue, "prices": jsonObject{"peer": 0, "crossZone": 0},
		"goal": jsonObject{"whole": 0.8, "worstWindow": 0.1, "worstClass": 0.1},
		"policyLimits": jsonObject{
			"maxForwards": d.MaxAttempts, "mayCancel": d.Cancellation,
			"secondCopies": d.Hedging, "probes": f.Probes, "peers": d.Peers && d.Count > 1,
			"retryAfter": d.MaxRetryAfter > 0, "maxRetryAfterS": d.MaxRetryAfter.Std().Seconds(),
			"connIdleS": f.Idle.Std().Seconds(), "dialTimeoutS": d.DialTimeout.Std().Seconds(),
		},
		"rules": jsonObject{
			"askWithinS": d.PollInterval.Std().Seconds(), "rampTimeS": f.WarmupDuration.Std().Seconds(),
			"drainGraceS": d.DrainGrace.Std().Seconds(), "fallS": f.OverloadSpan.Std().Seconds(), "coldFrom": f.InitialShare,
			"overloadFactor": f.OverloadMultiple,
		},
	}
}

// dedupScope is the group that drops an operation's repeats; none is named where none are dropped.
func dedupScope(o workload.Operation) string {
	if o.Idempotency == workload.IdempotentByKey && o.DedupScope == "" {
		return "all"
	}
	return o.DedupScope
}

// dispatcherConfigFile is one dispatcher's configuration, as the platform writes it.
type dispatcherConfigFile struct {
	Name       string           `json:"name"`
	Listen     string           `json:"listen"`
	Discovery  string           `json:"discovery"`
	Seed       string           `json:"seed"`
	Limits     jsonObject       `json:"limits"`
	Mgmt       string           `json:"mgmt"`
	PeerListen string           `json:"peer_listen,omitempty"`
	Peers      []netip.AddrPort `json:"peers,omitempty"`
	Known      json.RawMessage  `json:"known,omitempty"`
	Settings   jsonObject       `json:"settings"`
}

func (p *Plan) dispatcherConfig(n, incarnation int, seed uint64, listen, mgmt, discovery string, peers []netip.AddrPort,
	endpoints []byte,
) ([]byte, error) {
	d := &p.Dispatchers
	c := dispatcherConfigFile{
		Name: dispatcherName(n), Listen: listen, Mgmt: mgmt, Discovery: discovery,
		Seed:   fmt.Sprintf("%016x", unit.RandomStream(seed, fmt.Sprint("dispatcher ", n, " ", incarnation)).Uint64()),
		Limits: jsonObject{"cores": d.Cores, "memory_mb": d.MemoryMB, "sockets": d.Sockets},
		Known:  endpoints, Settings: p.settings(n),
	}
	if peers != nil {
		c.PeerListen, c.Peers = peers[n].String(), peers
	}
	return json.MarshalIndent(c, "", " ")
}

func dispatcherName(n int) string { return fmt.Sprintf("d%d", n) }
