// Package fleet is what dispatchers do in common where operators' own file says so. This file reads that file;
// the node in this package ties the store, the link and the recovery to a router. Without the file none of it
// exists.
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

// Duration is a time in the file, such as "250ms".
type Duration time.Duration

// UnmarshalText reads a span.
func (s *Duration) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.New("must be a time with its unit, such as 250ms")
	}
	*s = Duration(d)
	return nil
}

// Std is the span for the standard library.
func (s Duration) Std() time.Duration { return time.Duration(s) }

// Settings are the operators' file.
type Settings struct {
	State struct {
		Folder string   `toml:"folder"`
		Every  Duration `toml:"every"`      // from one write of what was learnt to the next
		Doubt  bool     `toml:"doubt-disk"` // the disk may say yes to a sync and lose what it was
	} `toml:"state"`
	Link struct {
		Listen string `toml:"listen"`
	} `toml:"link"`
	Members  []Member `toml:"member"` // all dispatchers that may exist, in the order of their positions
	Recovery struct {
		IdentityWithin Duration `toml:"identity-within"`
		ListWithin     Duration `toml:"list-within"`
		OthersWithin   Duration `toml:"others-within"`
		TrickleWithin  Duration `toml:"trickle-within"`
		AskEvery       Duration `toml:"ask-every"`
		KeepWithin     Duration `toml:"keep-within"` // for a key to be on disk before its forward is given up
	} `toml:"recovery"`

	listen    netip.AddrPort
	addresses []netip.AddrPort
}

// Member is one dispatcher.
type Member struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

// usual is what holds where the file says nothing.
func usual() *Settings {
	s := &Settings{}
	s.State.Every = Duration(time.Second)
	r := &s.Recovery
	r.IdentityWithin, r.ListWithin, r.OthersWithin = Duration(2*time.Second), Duration(3*time.Second), Duration(time.Second)
	r.TrickleWithin, r.AskEvery, r.KeepWithin = Duration(2*time.Second), Duration(100*time.Millisecond),
		Duration(500*time.Millisecond)
	return s
}

// Read reads and checks the file for the dispatcher of a name, at its position among so many. The error names
// the file, and the line or the key.
func Read(path, name string, position, dispatchers int) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := usual()
	if err := tomlconfig.Decode(path, text, s); err != nil {
		return nil, err
	}
	if err := s.check(name, position, dispatchers); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

func (s *Settings) check(name string, position, dispatchers int) (err error) {
	if !filepath.IsAbs(s.State.Folder) {
		return fmt.Errorf("state.folder: %q, must be a whole path", s.State.Folder)
	}
	r := &s.Recovery
	for _, k := range []struct {
		key  string
		span Duration
	}{
		{"state.every", s.State.Every},
		{"recovery.identity-within", r.IdentityWithin},
		{"recovery.list-within", r.ListWithin},
		{"recovery.others-within", r.OthersWithin},
		{"recovery.trickle-within", r.TrickleWithin},
		{"recovery.ask-every", r.AskEvery},
		{"recovery.keep-within", r.KeepWithin},
	} {
		if k.span.Std() < time.Millisecond || k.span.Std() > time.Hour {
			return fmt.Errorf("%s: %v, must be from 1ms to 1h", k.key, k.span.Std())
		}
	}
	if s.listen, err = netip.ParseAddrPort(s.Link.Listen); err != nil {
		return fmt.Errorf("link.listen: %q is not an address with a port", s.Link.Listen)
	}
	if len(s.Members) != dispatchers {
		return fmt.Errorf("member: %d of them, settings.balancers says %d", len(s.Members), dispatchers)
	}
	names, places := map[string]int{}, map[netip.AddrPort]int{}
	for n, m := range s.Members {
		a, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			return fmt.Errorf("member[%d].address: %q is not an address with a port", n, m.Address)
		}
		if m.Name == "" || len(m.Name) > 128 {
			return fmt.Errorf("member[%d].name: must be a text of up to 128 bytes", n)
		}
		if was, twice := names[m.Name]; twice {
			return fmt.Errorf("member[%d].name: %q is that of member[%d] too", n, m.Name, was)
		}
		if was, twice := places[a]; twice {
			return fmt.Errorf("member[%d].address: %v is that of member[%d] too", n, a, was)
		}
		names[m.Name], places[a] = n, n
		s.addresses = append(s.addresses, a)
	}
	if s.Members[position].Name != name {
		return fmt.Errorf("member[%d].name: %q, the dispatcher at that position is %q", position,
			s.Members[position].Name, name)
	}
	return nil
}
