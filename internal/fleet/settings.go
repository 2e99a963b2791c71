package fleet

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"canvasroute/internal/tomlconfig"
)

// Duration is a time.Duration that is written as text in the fleet file, such as "250ms".
type Duration time.Duration

// UnmarshalText parses a number with a unit.
func (d *Duration) UnmarshalText(b []byte) error {
	parsed, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.New("must be a duration with a unit, such as 250ms")
	}
	*d = Duration(parsed)
	return nil
}

// Std converts d to a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Settings holds the validated contents of the fleet file. docs/returning.md describes the keys.
type Settings struct {
	State struct {
		Folder         string   `toml:"folder"`
		Interval       Duration `toml:"every"`      // interval between writes of the state
		UnreliableDisk bool     `toml:"doubt-disk"` // the disk may lose synced data
	} `toml:"state"`
	Link struct {
		Listen string `toml:"listen"` // UDP address for messages from the other members
	} `toml:"link"`
	Members  []Member `toml:"member"` // all possible dispatchers, by position
	Recovery struct {
		IdentityTimeout  Duration `toml:"identity-within"` // for the incarnation to be persisted
		EndpointsTimeout Duration `toml:"list-within"`     // for the discovery service to answer
		PeersTimeout     Duration `toml:"others-within"`   // for the peers to reply
		ProbeTimeout     Duration `toml:"trickle-within"`  // for the first request to succeed
		QueryInterval    Duration `toml:"ask-every"`       // initial interval between queries to a silent peer
		KeyTimeout       Duration `toml:"keep-within"`     // for a key to be persisted; after that its request is not sent
	} `toml:"recovery"`

	ownAddress      netip.AddrPort   // parsed from Link.Listen
	memberAddresses []netip.AddrPort // parsed from Members, by position
}

// Member describes one dispatcher of the fleet.
type Member struct {
	Name    string `toml:"name"`
	Address string `toml:"address"` // UDP address of the member, for messages in both directions
}

// SettingError reports an invalid value in the fleet file.
type SettingError struct {
	Key     string // such as member[1].name
	Problem string // description of the error
}

// Error returns the key and the problem.
func (e *SettingError) Error() string { return e.Key + ": " + e.Problem }

// settingError returns a SettingError with a formatted problem.
func settingError(key, format string, args ...any) error {
	return &SettingError{Key: key, Problem: fmt.Sprintf(format, args...)}
}

// The limits of values in the fleet file. The messages of validateDurations include the first two.
const (
	minSettingDuration = time.Millisecond
	maxSettingDuration = time.Hour
	maxMemberNameBytes = 128
)

// The defaults of keys that the fleet file omits. deploy/fleet.toml sets the same values.
const (
	defaultStateInterval    = Duration(time.Second)
	defaultIdentityTimeout  = Duration(2 * time.Second)
	defaultEndpointsTimeout = Duration(3 * time.Second)
	defaultPeersTimeout     = Duration(time.Second)
	defaultProbeTimeout     = Duration(2 * time.Second)
	defaultQueryInterval    = Duration(100 * time.Millisecond)
	defaultKeyTimeout       = Duration(500 * time.Millisecond)
)

// defaultSettings returns settings with the default values.
func defaultSettings() *Settings {
	s := &Settings{}
	s.State.Interval = defaultStateInterval
	s.Recovery.IdentityTimeout = defaultIdentityTimeout
	s.Recovery.EndpointsTimeout = defaultEndpointsTimeout
	s.Recovery.PeersTimeout = defaultPeersTimeout
	s.Recovery.ProbeTimeout = defaultProbeTimeout
	s.Recovery.QueryInterval = defaultQueryInterval
	s.Recovery.KeyTimeout = defaultKeyTimeout
	return s
}

// Read reads and validates the fleet file. name and position are those of this dispatcher, and dispatchers is the
// expected number of members. Errors include the file name, and the line or the key. For an invalid value the error is
// a SettingError.
func Read(path, name string, position, dispatchers int) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := defaultSettings()
	if err := tomlconfig.Decode(path, text, s); err != nil {
		return nil, err
	}
	if err := s.validate(name, position, dispatchers); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// validate validates the values and parses the addresses.
func (s *Settings) validate(name string, position, dispatchers int) error {
	if !filepath.IsAbs(s.State.Folder) {
		return settingError("state.folder", "%q, must be an absolute path", s.State.Folder)
	}
	if err := s.validateDurations(); err != nil {
		return err
	}
	own, err := netip.ParseAddrPort(s.Link.Listen)
	if err != nil {
		return settingError("link.listen", "%q is not an address with a port", s.Link.Listen)
	}
	s.ownAddress = own
	if len(s.Members) != dispatchers {
		return settingError("member", "%d entries, but settings.balancers is %d", len(s.Members), dispatchers)
	}
	if err := s.validateMembers(); err != nil {
		return err
	}
	if found := s.Members[position].Name; found != name {
		return settingError(fmt.Sprintf("member[%d].name", position), "%q, but the dispatcher at that position is %q", found, name)
	}
	return nil
}

// validateDurations validates that each duration is within its limits.
func (s *Settings) validateDurations() error {
	for _, setting := range []struct {
		key   string
		value Duration
	}{
		{"state.every", s.State.Interval},
		{"recovery.identity-within", s.Recovery.IdentityTimeout},
		{"recovery.list-within", s.Recovery.EndpointsTimeout},
		{"recovery.others-within", s.Recovery.PeersTimeout},
		{"recovery.trickle-within", s.Recovery.ProbeTimeout},
		{"recovery.ask-every", s.Recovery.QueryInterval},
		{"recovery.keep-within", s.Recovery.KeyTimeout},
	} {
		if d := setting.value.Std(); d < minSettingDuration || d > maxSettingDuration {
			return settingError(setting.key, "%v, must be from 1ms to 1h", d)
		}
	}
	return nil
}

// validateMembers validates that each member has a unique name and a unique address, and parses the addresses.
func (s *Settings) validateMembers() error {
	names := map[string]int{}             // positions, by name
	addresses := map[netip.AddrPort]int{} // positions, by address
	for position, member := range s.Members {
		nameKey := fmt.Sprintf("member[%d].name", position)
		addressKey := fmt.Sprintf("member[%d].address", position)
		address, err := netip.ParseAddrPort(member.Address)
		if err != nil {
			return settingError(addressKey, "%q is not an address with a port", member.Address)
		}
		if member.Name == "" || len(member.Name) > maxMemberNameBytes {
			return settingError(nameKey, "must be 1 to %d bytes long", maxMemberNameBytes)
		}
		if other, taken := names[member.Name]; taken {
			return settingError(nameKey, "%q is already the name of member[%d]", member.Name, other)
		}
		if other, taken := addresses[address]; taken {
			return settingError(addressKey, "%v is already the address of member[%d]", address, other)
		}
		names[member.Name] = position
		addresses[address] = position
		s.memberAddresses = append(s.memberAddresses, address)
	}
	return nil
}
