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

// Duration is a time in the fleet file, such as "250ms".
type Duration time.Duration

// UnmarshalText reads a number with its unit.
func (d *Duration) UnmarshalText(b []byte) error {
	parsed, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.New("must be a time with its unit, such as 250ms")
	}
	*d = Duration(parsed)
	return nil
}

// Std returns the duration of the standard library.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Settings are the contents of the fleet file, checked. docs/returning.md describes the keys.
type Settings struct {
	State struct {
		Folder         string   `toml:"folder"`
		Interval       Duration `toml:"every"`      // between writes of the state
		UnreliableDisk bool     `toml:"doubt-disk"` // the disk may lose what it has synced
	} `toml:"state"`
	Link struct {
		Listen string `toml:"listen"`
	} `toml:"link"`
	Members  []Member `toml:"member"` // all dispatchers that may exist, by position
	Recovery struct {
		IdentityTimeout  Duration `toml:"identity-within"`
		EndpointsTimeout Duration `toml:"list-within"`
		PeersTimeout     Duration `toml:"others-within"`
		ProbeTimeout     Duration `toml:"trickle-within"`
		QueryInterval    Duration `toml:"ask-every"`
		KeyTimeout       Duration `toml:"keep-within"` // for a key to be persisted before its request is given up
	} `toml:"recovery"`

	ownAddress      netip.AddrPort
	memberAddresses []netip.AddrPort
}

// Member is one dispatcher of the fleet.
type Member struct {
	Name    string `toml:"name"`
	Address string `toml:"address"` // from which its messages come, and to which they are sent
}

// SettingError is a key of the fleet file with a value that cannot be used.
type SettingError struct {
	Key     string // such as member[1].name
	Problem string
}

// Error names the key and the problem.
func (e *SettingError) Error() string { return e.Key + ": " + e.Problem }

// settingError returns a SettingError with a formatted problem.
func settingError(key, format string, args ...any) error {
	return &SettingError{Key: key, Problem: fmt.Sprintf(format, args...)}
}

const (
	minSettingTime = time.Millisecond
	maxSettingTime = time.Hour
	maxMemberName  = 128 // bytes
)

// defaultSettings returns the values of keys that the file leaves out.
func defaultSettings() *Settings {
	s := &Settings{}
	s.State.Interval = Duration(time.Second)
	s.Recovery.IdentityTimeout = Duration(2 * time.Second)
	s.Recovery.EndpointsTimeout = Duration(3 * time.Second)
	s.Recovery.PeersTimeout = Duration(time.Second)
	s.Recovery.ProbeTimeout = Duration(2 * time.Second)
	s.Recovery.QueryInterval = Duration(100 * time.Millisecond)
	s.Recovery.KeyTimeout = Duration(500 * time.Millisecond)
	return s
}

// Read reads and checks the fleet file for the dispatcher of a name, at its position among so many. An error names the
// file, and the line or the key: of a value that cannot be used it is a SettingError.
func Read(path, name string, position, dispatchers int) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := defaultSettings()
	if err := tomlconfig.Decode(path, text, s); err != nil {
		return nil, err
	}
	if err := s.check(name, position, dispatchers); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// check checks the values and parses the addresses.
func (s *Settings) check(name string, position, dispatchers int) error {
	if !filepath.IsAbs(s.State.Folder) {
		return settingError("state.folder", "%q, must be an absolute path", s.State.Folder)
	}
	if err := s.checkTimes(); err != nil {
		return err
	}
	own, err := netip.ParseAddrPort(s.Link.Listen)
	if err != nil {
		return settingError("link.listen", "%q is not an address with a port", s.Link.Listen)
	}
	s.ownAddress = own
	if len(s.Members) != dispatchers {
		return settingError("member", "%d of them, settings.balancers says %d", len(s.Members), dispatchers)
	}
	if err := s.checkMembers(); err != nil {
		return err
	}
	if found := s.Members[position].Name; found != name {
		return settingError(fmt.Sprintf("member[%d].name", position), "%q, the dispatcher at that position is %q", found, name)
	}
	return nil
}

func (s *Settings) checkTimes() error {
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
		if d := setting.value.Std(); d < minSettingTime || d > maxSettingTime {
			return settingError(setting.key, "%v, must be from 1ms to 1h", d)
		}
	}
	return nil
}

// checkMembers checks that each member has a name and an address of its own.
func (s *Settings) checkMembers() error {
	names := map[string]int{}
	addresses := map[netip.AddrPort]int{}
	for n, m := range s.Members {
		nameKey := fmt.Sprintf("member[%d].name", n)
		addressKey := fmt.Sprintf("member[%d].address", n)
		address, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			return settingError(addressKey, "%q is not an address with a port", m.Address)
		}
		if m.Name == "" || len(m.Name) > maxMemberName {
			return settingError(nameKey, "must be a text of up to %d bytes", maxMemberName)
		}
		if other, taken := names[m.Name]; taken {
			return settingError(nameKey, "%q is that of member[%d] too", m.Name, other)
		}
		if other, taken := addresses[address]; taken {
			return settingError(addressKey, "%v is that of member[%d] too", address, other)
		}
		names[m.Name] = n
		addresses[address] = n
		s.memberAddresses = append(s.memberAddresses, address)
	}
	return nil
}
