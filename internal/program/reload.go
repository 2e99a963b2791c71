package program

import (
	"reflect"

	"github.com/rs/zerolog"

	"canvasroute/internal/routing"
)

// reload takes over what a new configuration may change while we serve: where the list service is. Workers,
// what is known of them and what is open stay as they are. A bad file changes nothing.
func reload(p *Placement, anew func() (*Placement, error), desk *desk, router *routing.Router,
	log zerolog.Logger) *Placement {
	next, err := anew()
	if err != nil {
		desk.rejected.Add(1)
		log.Error().Err(err).Msg("bad configuration, the old one is kept")
		return p
	}
	log.Info().Str("discovery", next.Routing.Discovery).Strs("at_next_start", later(p, next)).
		Msg("configuration read anew")
	desk.applied.Add(1)
	router.Move(next.Routing.Discovery)
	taken := *p
	taken.Routing.Discovery = next.Routing.Discovery
	return &taken
}

// later names what is not as it was and is only taken over by the next start.
func later(was, is *Placement) []string {
	keys := []string{}
	for _, k := range []struct {
		key     string
		was, is any
	}{
		{"name", was.Name, is.Name},
		{"listen", was.Listen, is.Listen},
		{"mgmt", was.Mgmt, is.Mgmt},
		{"peer_listen", was.PeerListen, is.PeerListen},
		{"peers", was.Routing.Peers, is.Routing.Peers},
		{"limits", [3]any{was.Cores, was.MemoryMB, was.Sockets}, [3]any{is.Cores, is.MemoryMB, is.Sockets}},
		{"settings", was.settings(), is.settings()},
	} {
		if !reflect.DeepEqual(k.was, k.is) {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// settings are all that is read from under that key.
func (p *Placement) settings() []any {
	r := p.Routing
	return []any{p.Idle, p.Longest, p.Decisions, r.Operations, r.Owners, r.Zones, r.Kinds, r.Report,
		r.DialWithin, r.ComeBackMost}
}
