package experiment

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"canvasroute/internal/testbed/unit"
	"canvasroute/internal/testbed/workload"
)

// jsonObject is a JSON object in the platform's configuration.
type jsonObject map[string]any

// idempotencyNames maps the values of Operation.Idempotency to those in the platform's settings.
var idempotencyNames = map[string]string{
	workload.Idempotent:      "idempotent",
	workload.IdempotentByKey: "deduplicated",
	workload.NonIdempotent:   "at_most_once",
}

// Weights of the platform's goal in the settings. The testbed does not apply them itself.
const (
	goalTotal       = 0.8 // weight of the value of all requests
	goalWorstWindow = 0.1 // weight of the worst time window
	goalWorstClass  = 0.1 // weight of the worst class of requests
)

// settings returns the settings of the dispatcher at a position, in the platform's format.
func (p *Plan) settings(position int) jsonObject {
	dispatchers, fleet := &p.Dispatchers, &p.Fleet
	var operations, tenants []jsonObject
	for _, operation := range p.Operations {
		operations = append(operations, operationSettings(operation))
	}
	for _, tenant := range p.Tenants {
		tenants = append(tenants, jsonObject{"name": tenant.Name, "quotaPerS": tenant.Quota})
	}
	var kinds []string
	for _, kind := range fleet.Kinds {
		kinds = append(kinds, kind.Name)
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
		"balancers":          dispatchers.Count,
		"position":           position,
		"zone":               position % len(fleet.Zones),
		"zones":              fleet.Zones,
		"shapes":             kinds,
		"granularityS":       dispatchers.Granularity.Std().Seconds(),
		"operations":         operations,
		"orgs":               tenants,
		"familyInfo":         info,
		"report":             report,
		"registryMode":       "subscribe",
		"billedValueBasis":   basis,
		"surplusBilledValue": dispatchers.OverQuotaValue,
		"prices":             jsonObject{"peer": 0, "crossZone": 0},
		"goal":               jsonObject{"whole": goalTotal, "worstWindow": goalWorstWindow, "worstClass": goalWorstClass},
		"policyLimits":       p.limitSettings(),
		"rules": jsonObject{
			"askWithinS":     dispatchers.PollInterval.Std().Seconds(),
			"rampTimeS":      fleet.WarmupDuration.Std().Seconds(),
			"drainGraceS":    dispatchers.DrainGrace.Std().Seconds(),
			"fallS":          fleet.OverloadSpan.Std().Seconds(),
			"coldFrom":       fleet.InitialShare,
			"overloadFactor": fleet.OverloadMultiple,
		},
	}
}

// operationSettings returns the settings of one operation.
func operationSettings(operation workload.Operation) jsonObject {
	return jsonObject{
		"name":              operation.Name,
		"repeat":            idempotencyNames[operation.Idempotency],
		"dedupScope":        dedupScope(operation),
		"dedupWindowS":      operation.DedupWindow.Std().Seconds(),
		"latencyObjectiveS": operation.LatencyObjective.Std().Seconds(),
		"clientTimeoutS":    operation.Timeout.Std().Seconds(),
		"billedValue":       operation.Value,
		"tardyBilledValue":  operation.LateShare,
		"aimStretch":        operation.Stretch,
	}
}

// limitSettings returns the policy limits: the features that a dispatcher may use, and their limits.
func (p *Plan) limitSettings() jsonObject {
	dispatchers, fleet := &p.Dispatchers, &p.Fleet
	return jsonObject{
		"maxForwards":    dispatchers.MaxAttempts,
		"mayCancel":      dispatchers.Cancellation,
		"secondCopies":   dispatchers.Hedging,
		"probes":         fleet.Probes,
		"peers":          dispatchers.Peers && dispatchers.Count > 1,
		"retryAfter":     dispatchers.MaxRetryAfter > 0,
		"maxRetryAfterS": dispatchers.MaxRetryAfter.Std().Seconds(),
		"connIdleS":      fleet.ConnIdleTimeout.Std().Seconds(),
		"dialTimeoutS":   dispatchers.DialTimeout.Std().Seconds(),
	}
}

// dedupScope returns the scope in which workers deduplicate an operation. For an operation that is idempotent by key,
// it defaults to all workers.
func dedupScope(operation workload.Operation) string {
	if operation.Idempotency == workload.IdempotentByKey && operation.DedupScope == "" {
		return workload.ScopeAll
	}
	return operation.DedupScope
}

// dispatcherConfigFile is a dispatcher's configuration file, in the platform's format.
type dispatcherConfigFile struct {
	Name       string           `json:"name"`
	Listen     string           `json:"listen"`
	Discovery  string           `json:"discovery"`
	Seed       string           `json:"seed"`
	Limits     jsonObject       `json:"limits"`
	AdminAddr  string           `json:"mgmt"`
	PeerListen string           `json:"peer_listen,omitempty"`
	Peers      []netip.AddrPort `json:"peers,omitempty"`
	Endpoints  json.RawMessage  `json:"known,omitempty"` // endpoint list at the start
	Settings   jsonObject       `json:"settings"`
}

// dispatcherAddrs holds the addresses in a dispatcher's configuration.
type dispatcherAddrs struct {
	listen    string           // for clients
	admin     string           // of the admin server
	discovery string           // of the discovery service
	peers     []netip.AddrPort // at which the dispatcher reaches all dispatchers, nil if peers are off
}

// dispatcherConfig returns the configuration of dispatcher n as JSON. endpoints is the endpoint list at its start.
func (p *Plan) dispatcherConfig(n int, seed uint64, addrs dispatcherAddrs, endpoints []byte) ([]byte, error) {
	d := &p.Dispatchers
	file := dispatcherConfigFile{
		Name:      dispatcherName(n),
		Listen:    addrs.listen,
		AdminAddr: addrs.admin,
		Discovery: addrs.discovery,
		Seed:      fmt.Sprintf("%016x", seed),
		Limits:    jsonObject{"cores": d.Cores, "memory_mb": d.MemoryMB, "sockets": d.Sockets},
		Endpoints: endpoints,
		Settings:  p.settings(n),
	}
	if addrs.peers != nil {
		file.PeerListen = addrs.peers[n].String()
		file.Peers = addrs.peers
	}
	return json.MarshalIndent(file, "", " ")
}

// dispatcherSeed returns the seed of one incarnation of a dispatcher.
func dispatcherSeed(seed uint64, n, incarnation int) uint64 {
	return unit.RandomStream(seed, fmt.Sprint("dispatcher ", n, " ", incarnation)).Uint64()
}

// dispatcherName returns the name of dispatcher n.
func dispatcherName(n int) string { return fmt.Sprintf("d%d", n) }
