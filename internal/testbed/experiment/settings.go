package experiment

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"canvasroute/internal/testbed/unit"
	"canvasroute/internal/testbed/workload"
)

// jsonObject is an object of the platform's configuration.
type jsonObject map[string]any

// idempotencyNames are the values of Operation.Idempotency in the platform's settings.
var idempotencyNames = map[string]string{
	workload.Idempotent: "idempotent", workload.IdempotentByKey: "deduplicated",
	workload.NonIdempotent: "at_most_once",
}

// settings are the settings that the platform gives to the dispatcher at a position.
func (p *Plan) settings(position int) jsonObject {
	dispatchers, fleet := &p.Dispatchers, &p.Fleet
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
	for _, k := range fleet.Kinds {
		kinds = append(kinds, k.Name)
	}
	basis := "work"
	if dispatchers.ValueByCount {
		basis = "invocation"
	}
	report := jsonObject{"how": "off", "names": []string{}}
	info := jsonObject{"tellsStart": fleet.AnnounceStartNotes && fleet.StartNotes}
	if fleet.Probes {
		report = jsonObject{"how": "on_probe", "names": []string{"rif", "q", "x0"}}
		info["reportX0"] = "free slots"
	}
	return jsonObject{
		"balancers": dispatchers.Count, "position": position, "zone": position % len(fleet.Zones), "zones": fleet.Zones,
		"shapes": kinds, "granularityS": dispatchers.Granularity.Std().Seconds(), "operations": operations, "orgs": tenants,
		"familyInfo": info, "report": report, "registryMode": "subscribe", "billedValueBasis": basis,
		"surplusBilledValue": dispatchers.OverQuotaValue, "prices": jsonObject{"peer": 0, "crossZone": 0},
		"goal": jsonObject{"whole": 0.8, "worstWindow": 0.1, "worstClass": 0.1},
		"policyLimits": jsonObject{
			"maxForwards": dispatchers.MaxAttempts, "mayCancel": dispatchers.Cancellation,
			"secondCopies": dispatchers.Hedging, "probes": fleet.Probes, "peers": dispatchers.Peers && dispatchers.Count > 1,
			"retryAfter": dispatchers.MaxRetryAfter > 0, "maxRetryAfterS": dispatchers.MaxRetryAfter.Std().Seconds(),
			"connIdleS": fleet.Idle.Std().Seconds(), "dialTimeoutS": dispatchers.DialTimeout.Std().Seconds(),
		},
		"rules": jsonObject{
			"askWithinS": dispatchers.PollInterval.Std().Seconds(), "rampTimeS": fleet.WarmupDuration.Std().Seconds(),
			"drainGraceS": dispatchers.DrainGrace.Std().Seconds(), "fallS": fleet.OverloadSpan.Std().Seconds(), "coldFrom": fleet.InitialShare,
			"overloadFactor": fleet.OverloadMultiple,
		},
	}
}

// dedupScope is the scope in which workers deduplicate an operation, by default all of them.
func dedupScope(o workload.Operation) string {
	if o.Idempotency == workload.IdempotentByKey && o.DedupScope == "" {
		return "all"
	}
	return o.DedupScope
}

// dispatcherConfigFile is a dispatcher's configuration file, in the platform's format.
type dispatcherConfigFile struct {
	Name          string           `json:"name"`
	Listen        string           `json:"listen"`
	Discovery     string           `json:"discovery"`
	Seed          string           `json:"seed"`
	Limits        jsonObject       `json:"limits"`
	OperatorsAddr string           `json:"mgmt"`
	PeerListen    string           `json:"peer_listen,omitempty"`
	Peers         []netip.AddrPort `json:"peers,omitempty"`
	Known         json.RawMessage  `json:"known,omitempty"`
	Settings      jsonObject       `json:"settings"`
}

// dispatcherAddrs are the addresses in a dispatcher's configuration.
type dispatcherAddrs struct {
	listen, operators, discovery string
	peers                        []netip.AddrPort // of all dispatchers as this one sees them, nil if peers are off
}

// dispatcherConfig returns the configuration of dispatcher n as JSON. endpoints is the list that it starts with.
func (p *Plan) dispatcherConfig(n int, seed uint64, addrs dispatcherAddrs, endpoints []byte) ([]byte, error) {
	d := &p.Dispatchers
	file := dispatcherConfigFile{
		Name: dispatcherName(n), Listen: addrs.listen, OperatorsAddr: addrs.operators, Discovery: addrs.discovery,
		Seed:   fmt.Sprintf("%016x", seed),
		Limits: jsonObject{"cores": d.Cores, "memory_mb": d.MemoryMB, "sockets": d.Sockets},
		Known:  endpoints, Settings: p.settings(n),
	}
	if addrs.peers != nil {
		file.PeerListen = addrs.peers[n].String()
		file.Peers = addrs.peers
	}
	return json.MarshalIndent(file, "", " ")
}

// dispatcherSeed is the seed of one incarnation of a dispatcher.
func dispatcherSeed(seed uint64, n, incarnation int) uint64 {
	return unit.RandomStream(seed, fmt.Sprint("dispatcher ", n, " ", incarnation)).Uint64()
}

func dispatcherName(n int) string { return fmt.Sprintf("d%d", n) }
