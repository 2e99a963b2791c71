package fault

import (
	"fmt"
	"slices"
	"strings"

	"canvasroute/internal/testbed/unit"
)

// Spec is one [[fault]] of an experiment file. The keys are the operators' interface. Each kind of fault uses some of
// them.
type Spec struct {
	Kind        string        `toml:"kind"`
	At          unit.Duration `toml:"at"`          // since the start of the experiment
	For         unit.Duration `toml:"for"`         // how long it lasts
	Workers     int           `toml:"workers"`     // how many are affected
	Dispatchers int           `toml:"dispatchers"` // how many are affected
	Zone        string        `toml:"zone"`
	Tenant      string        `toml:"tenant"`
	Factor      float64       `toml:"factor"`       // slow: times slower; burst, flood: times the base load
	Share       float64       `toml:"share"`        // neighbour: of the machine; peer-loss: of datagrams
	Every       unit.Duration `toml:"every"`        // neighbour: from the start of one busy period to the next
	Width       unit.Duration `toml:"width"`        // neighbour: length of a busy period
	Lag         unit.Duration `toml:"lag"`          // list-lag: how far behind the list is
	Gap         unit.Duration `toml:"gap"`          // rolling-restart, upgrade: between two dispatchers; drain: until the restart
	MaxAttempts int           `toml:"max-attempts"` // new-settings: attempts per request
	Connections int           `toml:"connections"`  // silent-clients, piecemeal-clients

	// power-loss: the time from the loss until power is restored. Each dispatcher and worker starts after a delay of
	// its own of up to Spread on top, drawn at random.
	RestoreAfter        unit.Duration       `toml:"restore-after"`         // of dispatchers
	WorkersRestoreAfter unit.Duration       `toml:"workers-restore-after"` // 0: workers keep their power
	ListRestoreAfter    unit.Duration       `toml:"list-restore-after"`    // 0: the discovery service keeps its power
	PeersRestoreAfter   unit.Duration       `toml:"peers-restore-after"`   // 0: the network between dispatchers keeps its power
	Spread              unit.Duration       `toml:"spread"`
	NeverRestored       int                 `toml:"never-restored"` // number of dispatchers that stay without power
	Times               int                 `toml:"times"`          // number of losses, Every apart; 0 means 1
	Disk                string              `toml:"disk"`           // of the dispatchers afterwards, see DiskStates; "" means DiskIntact
	Clock               unit.SignedDuration `toml:"clock"`          // jump of the clock of one dispatcher, drawn at random; 0: none

	// link-cut: what is cut at the dispatchers affected: receiving ("hear"), sending ("heard"), or both if empty.
	Direction string `toml:"way"`
}

// Topology is what faults can affect.
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

// maxCount bounds the number of attempts or connections of a fault.
const maxCount = 10_000

// validate checks one key of the fault. The error text begins with the key.
func (s Spec) validate(key string, t Topology) error {
	switch key {
	case "for", "every", "width", "lag", "restore-after":
		return s.validateDuration(key)
	case "workers":
		if s.Kind == "grow" {
			return require(s.Workers >= 1, "%s: %d, must be at least 1", key, s.Workers)
		}
		return inRange(key, s.Workers, 1, t.Workers)
	case "dispatchers":
		return inRange(key, s.Dispatchers, 1, t.Dispatchers)
	case "never-restored":
		return inRange(key, s.NeverRestored, 0, t.Dispatchers-1)
	case "max-attempts":
		return inRange(key, s.MaxAttempts, 1, maxCount)
	case "connections":
		return inRange(key, s.Connections, 1, maxCount)
	case "factor":
		return require(s.Factor > 1, "%s: %v, must be greater than 1", key, s.Factor)
	case "share":
		return require(s.Share > 0 && s.Share < 1, "%s: %v, must be between 0 and 1", key, s.Share)
	case "disk":
		return oneOf(key, s.Disk, append([]string{"", DiskRandom}, DiskStates...))
	case "way":
		return oneOf(key, s.Direction, []string{"", DirectionReceive, DirectionSend, DirectionBoth})
	case "zone":
		return oneOf(key, s.Zone, t.Zones)
	case "tenant":
		return oneOf(key, s.Tenant, t.Tenants)
	}
	return nil
}

// validateDuration checks that a kind's required duration is given.
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

// require returns nil if a condition holds, and otherwise an error of the format.
func require(holds bool, format string, args ...any) error {
	if holds {
		return nil
	}
	return fmt.Errorf(format, args...)
}

func inRange(key string, value, least, most int) error {
	return require(value >= least && value <= most, "%s: %d, must be from %d to %d", key, value, least, most)
}

// oneOf checks that a value is one of the choices; an empty choice makes the key optional.
func oneOf(key, value string, choices []string) error {
	named := slices.DeleteFunc(slices.Clone(choices), func(c string) bool { return c == "" })
	return require(slices.Contains(choices, value), "%s: %q, must be one of %s", key, value, strings.Join(named, ", "))
}
