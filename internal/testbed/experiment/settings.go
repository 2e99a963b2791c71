package experiment

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"canvasroute/internal/testbed/unit"
	"canvasroute/internal/testbed/workload"
)

type object map[string]any

var repeatWords = map[string]string{
	workload.Idempotent: "idempotent", workload.Deduplicated: "deduplicated",
	workload.NonIdempotent: "at_most_once",
}

// settings are what the platform tells a dispatcher of the deployment, in its own words.
func (p *Plan) settings(position int) object {
	d, f := &p.Dispatchers, &p.Fleet
	var operations, customers []object
	for _, o := range p.Operations {
		operations = append(operations, object{
			"name": o.Name, "repeat": repeatWords[o.Repeat],
			"dedupScope": scopeOf(o), "dedupWindowS": o.Window.D().Seconds(),
			"latencyObjectiveS": o.Objective.D().Seconds(), "clientTimeoutS": o.Timeout.D().Seconds(),
			"billedValue": o.Value, "tardyBilledValue": o.Tardy, "aimStretch": o.Stretch,
		})
	}
	for _, c := range p.Customers {
		customers = append(customers, object{"name": c.Name, "quotaPerS": c.Quota})
	}
	var kinds []string
	for _, k := range f.Kinds {
		kinds = append(kinds, k.Name)
	}
	basis := "work"
	if d.ValueByNumber {
		basis = "invocation"
	}
	report := object{"how": "off", "names": []string{}}
	info := object{"tellsStart": f.TellsStart && f.StartNotes}
	if f.Probes {
		report = object{"how": "on_probe", "names": []string{"rif", "q", "x0"}}
		info["reportX0"] = "free slots"
	}
	return object{
		"balancers": d.Count, "position": position, "zone": position % len(f.Zones), "zones": f.Zones,
		"shapes": kinds, "granularityS": d.Granularity.D().Seconds(), "operations": operations, "orgs": customers,
		"familyInfo": info, "report": report, "registryMode": "subscribe", "billedValueBasis": basis,
		"surplusBilledValue": d.SurplusShare, "prices": object{"peer": 0, "crossZone": 0},
		"goal": object{"whole": 0.8, "worstWindow": 0.1, "worstClass": 0.1},
		"policyLimits": object{
			"maxForwards": d.Forwards, "mayCancel": d.MayCancel,
			"secondCopies": d.SecondCopies, "probes": f.Probes, "peers": d.Peers && d.Count > 1,
			"retryAfter": d.ComeBackMost > 0, "maxRetryAfterS": d.ComeBackMost.D().Seconds(),
			"connIdleS": f.Idle.D().Seconds(), "dialTimeoutS": d.DialWithin.D().Seconds(),
		},
		"rules": object{
			"askWithinS": d.AskWithin.D().Seconds(), "rampTimeS": f.ColdRamp.D().Seconds(),
			"drainGraceS": d.DrainGrace.D().Seconds(), "fallS": f.ColdSpan.D().Seconds(), "coldFrom": f.ColdFrom,
			"overloadFactor": f.ColdMultiple,
		},
	}
}

// scopeOf is the group that drops an operation's repeats; none is named where none are dropped.
func scopeOf(o workload.Operation) string {
	if o.Repeat == workload.Deduplicated && o.Scope == "" {
		return "all"
	}
	return o.Scope
}

// placement is one dispatcher's configuration, as the platform writes it.
type placement struct {
	Name       string           `json:"name"`
	Listen     string           `json:"listen"`
	Discovery  string           `json:"discovery"`
	Seed       string           `json:"seed"`
	Limits     object           `json:"limits"`
	Mgmt       string           `json:"mgmt"`
	PeerListen string           `json:"peer_listen,omitempty"`
	Peers      []netip.AddrPort `json:"peers,omitempty"`
	Known      json.RawMessage  `json:"known,omitempty"`
	Settings   object           `json:"settings"`
}

func (p *Plan) placement(n, lives int, seed uint64, listen, mgmt, discovery string, peers []netip.AddrPort,
	known []byte,
) ([]byte, error) {
	d := &p.Dispatchers
	c := placement{
		Name: dispatcherName(n), Listen: listen, Mgmt: mgmt, Discovery: discovery,
		Seed:   fmt.Sprintf("%016x", unit.Chance(seed, fmt.Sprint("dispatcher ", n, " ", lives)).Uint64()),
		Limits: object{"cores": d.Cores, "memory_mb": d.MemoryMB, "sockets": d.Sockets},
		Known:  known, Settings: p.settings(n),
	}
	if peers != nil {
		c.PeerListen, c.Peers = peers[n].String(), peers
	}
	return json.MarshalIndent(c, "", " ")
}

func dispatcherName(n int) string { return fmt.Sprintf("d%d", n) }
