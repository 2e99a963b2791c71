package fault

import (
	"fmt"
	"slices"
	"strings"

	"canvasroute/internal/testbed/unit"
)

// Spec is a [[fault]] section of an experiment file. Each kind of fault uses some of the keys, which are part of the
// interface for operators.
type Spec struct {
	Kind        string        `toml:"kind"`
	At          unit.Duration `toml:"at"`          // since the start of the experiment
	For         unit.Duration `toml:"for"`         // duration of the fault
	Workers     int           `toml:"workers"`     // number of workers affected; grow: number added
	Dispatchers int           `toml:"dispatchers"` // number of dispatchers affected
	Zone        string        `toml:"zone"`
	Tenant      string        `toml:"tenant"`
	Factor      float64       `toml:"factor"`       // slow: slowdown factor; burst, flood: multiple of the base load
	Share       float64       `toml:"share"`        // neighbour: share of the machine; peer-loss, link-loss: share lost
	Every       unit.Duration `toml:"every"`        // neighbour: interval between the starts of busy periods
	Width       unit.Duration `toml:"width"`        // neighbour: length of a busy period
	Lag         unit.Duration `toml:"lag"`          // list-lag: delay until a change of the list is visible
	Gap         unit.Duration `toml:"gap"`          // rolling-restart, upgrade: interval; drain: delay of the restart
	MaxAttempts int           `toml:"max-attempts"` // new-settings: attempts per request
	Connections int           `toml:"connections"`  // silent-clients, piecemeal-clients: number of connections

	// power-loss: the time from the loss until power is restored. Each dispatcher and worker starts after an
	// additional random delay of up to Spread.
	RestoreAfter        unit.Duration       `toml:"restore-after"`         // for dispatchers
	WorkersRestoreAfter unit.Duration       `toml:"workers-restore-after"` // 0: workers keep their power
	ListRestoreAfter    unit.Duration       `toml:"list-restore-after"`    // 0: the discovery service keeps its power
	PeersRestoreAfter   unit.Duration       `toml:"peers-restore-after"`   // 0: the peer network keeps its power
	Spread              unit.Duration       `toml:"spread"`
	NeverRestored       int                 `toml:"never-restored"` // number of dispatchers that stay without power
	Times               int                 `toml:"times"`          // number of losses, at intervals of Every; 0: 1
	Disk                string              `toml:"disk"`           // DiskRandom, or one of DiskStates; "": DiskIntact
	Clock               unit.SignedDuration `toml:"clock"`          // clock jump of a random dispatcher; 0: none

	// link-cut: the direction that is cut for the dispatchers affected: receiving ("hear"), sending ("heard"), or both
	// ("both" or empty).
	Direction string `toml:"way"`
}

// Topology describes the workers, zones, dispatchers and tenants that faults can affect.
type Topology struct {
	Workers     int      // number at the start of the experiment
	Zones       []string // names
	WorkerZones []int    // index into Zones, by worker
	Dispatchers int      // number
	Tenants     []string // names
}

// The values of Spec.Direction, and of Action.Mode of a LinkCut.
const (
	DirectionReceive = "hear"
	DirectionSend    = "heard"
	DirectionBoth    = "both"
)

// maxCount is the maximum number of attempts or connections of a fault.
const maxCount = 10_000

// validate checks the value of one key. The error text begins with the key.
func (s Spec) validate(key string, t Topology) error {
	switch key {
	case "for", "every", "width", "lag", "restore-after":
		return s.validateDuration(key)
	case "workers":
		if s.Kind == "grow" {
			return require(s.Workers >= 1, "%s: %d, must be at least 1", key, s.Workers)
		}
		return checkRange(key, s.Workers, 1, t.Workers)
	case "dispatchers":
		return checkRange(key, s.Dispatchers, 1, t.Dispatchers)
	case "never-restored":
		return checkRange(key, s.NeverRestored, 0, t.Dispatchers-1)
	case "max-attempts":
		return checkRange(key, s.MaxAttempts, 1, maxCount)
	case "connections":
		return checkRange(key, s.Connections, 1, maxCount)
	case "factor":
		return require(s.Factor > 1, "%s: %v, must be greater than 1", key, s.Factor)
	case "share":
		return require(s.Share > 0 && s.Share < 1, "%s: %v, must be between 0 and 1", key, s.Share)
	case "disk":
		return checkOneOf(key, s.Disk, append([]string{"", DiskRandom}, DiskStates...))
	case "way":
		return checkOneOf(key, s.Direction, []string{"", DirectionReceive, DirectionSend, DirectionBoth})
	case "zone":
		return checkOneOf(key, s.Zone, t.Zones)
	case "tenant":
		return checkOneOf(key, s.Tenant, t.Tenants)
	}
	return nil
}

// validateDuration checks that a required duration is greater than 0. Every must also be longer than Width.
func (s Spec) validateDuration(key string) error {
	durations := map[string]unit.Duration{
		"for":           s.For,
		"every":         s.Every,
		"width":         s.Width,
		"lag":           s.Lag,
		"restore-after": s.RestoreAfter,
	}
	value := durations[key]
	if value <= 0 {
		return fmt.Errorf("%s: must be greater than 0 for %s", key, s.Kind)
	}
	return require(key != "every" || value > s.Width, "%s: must be longer than width", key)
}

// require returns nil if a condition holds, and otherwise an error with the formatted message.
func require(holds bool, format string, args ...any) error {
	if holds {
		return nil
	}
	return fmt.Errorf(format, args...)
}

func checkRange(key string, value, least, most int) error {
	return require(value >= least && value <= most, "%s: %d, must be from %d to %d", key, value, least, most)
}

// checkOneOf checks that a value is one of the choices. An empty choice makes the key optional.
func checkOneOf(key, value string, choices []string) error {
	named := slices.DeleteFunc(slices.Clone(choices), func(c string) bool { return c == "" })
	return require(slices.Contains(choices, value), "%s: %q, must be one of %s", key, value, strings.Join(named, ", "))
}
