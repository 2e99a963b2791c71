package fault

import (
	"fmt"
	"slices"
	"strings"

	"canvasroute/internal/testbed/unit"
)

// Spec is one [[fault]] of an experiment file. The keys are the operators' interface.
type Spec struct {
	Kind        string        `toml:"kind"`
	At          unit.Duration `toml:"at"`
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

	// power-loss: the earliest time after the loss at which something is back. Each dispatcher and worker draws its
	// own delay of up to Spread on top.
	Back        unit.Duration       `toml:"restore-after"`         // dispatchers
	WorkersBack unit.Duration       `toml:"workers-restore-after"` // 0: workers keep their power
	ListBack    unit.Duration       `toml:"list-restore-after"`    // 0: the list service keeps its power
	PeersBack   unit.Duration       `toml:"peers-restore-after"`   // 0: the network between dispatchers keeps its power
	Spread      unit.Duration       `toml:"spread"`
	Never       int                 `toml:"never-restored"` // number of dispatchers that never come back
	Times       int                 `toml:"times"`          // number of losses, Every apart
	Disk        string              `toml:"disk"`           // state of the dispatchers' disks afterwards, see DiskStates
	Clock       unit.SignedDuration `toml:"clock"`          // jump of the clock of one dispatcher, drawn at random

	Way string `toml:"way"` // link-cut: what is cut at the dispatchers affected: hear (receiving), heard (sending) or both
}

// Topology is what faults can affect.
type Topology struct {
	Workers     int
	Zones       []string
	WorkerZones []int // index into Zones, by worker
	Dispatchers int
	Tenants     []string
}

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
		return inRange(key, s.Never, 0, t.Dispatchers-1)
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
		return oneOf(key, s.Way, []string{"", "hear", "heard", "both"})
	case "zone":
		return oneOf(key, s.Zone, t.Zones)
	case "tenant":
		return oneOf(key, s.Tenant, t.Tenants)
	}
	return nil
}

func (s Spec) validateDuration(key string) error {
	value := map[string]unit.Duration{"for": s.For, "every": s.Every, "width": s.Width, "lag": s.Lag, "restore-after": s.Back}[key]
	if value <= 0 {
		return fmt.Errorf("%s: must be greater than 0 for %s", key, s.Kind)
	}
	return require(key != "every" || value > s.Width, "%s: must be longer than width", key)
}

// require returns an error of the format unless ok.
func require(ok bool, format string, args ...any) error {
	if ok {
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
