package daemon

import (
	"fmt"
	"reflect"
	"slices"

	"github.com/rs/zerolog"

	"canvasroute/internal/proxy"
)

// reload takes over what a new configuration may change while we serve: where the list service is, and
// settings. It is checked whole, and taken whole or not at all. Workers, what is known of them and what is
// open stay as they are.
func reload(p *Config, anew func() (*Config, error), desk *adminHandler, router *proxy.Proxy,
	log zerolog.Logger,
) *Config {
	next, err := anew()
	if err == nil {
		err = p.refuse(next)
	}
	if err != nil {
		desk.rejected.Add(1)
		log.Error().Err(err).Msg("bad configuration, the old one is kept")
		return p
	}
	taken := p.with(next)
	router.Reconfigure(taken.Proxy, taken.Balancer)
	router.SetDiscoveryAddress(next.Proxy.Discovery)
	desk.applied.Add(1)
	names := []string{}
	for _, o := range taken.Proxy.Operations {
		names = append(names, o.Name)
	}
	log.Info().Str("discovery", next.Proxy.Discovery).Strs("operations", names).
		Int("forwards", taken.Balancer.MaxAttempts).Strs("at_next_start", later(taken, next)).
		Msg("configuration read anew")
	return taken
}

// refuse tells what stands in the way of going on with another configuration: it lacks something, or is that
// of another dispatcher.
func (p *Config) refuse(next *Config) error {
	if key := missing(p.keys, next.keys); key != "" {
		return fmt.Errorf("%s: missing; the configuration in force has it", key)
	}
	for _, k := range []struct{ key, was, is string }{
		{"name", p.Name, next.Name},
		{"listen", p.Listen, next.Listen},
		{"peer_listen", p.PeerListen, next.PeerListen},
	} {
		if k.was != k.is {
			return fmt.Errorf("%s: %q, must stay %q while the process runs", k.key, k.is, k.was)
		}
	}
	return nil
}

// with is a placement with what another one may change of it.
func (p *Config) with(next *Config) *Config {
	taken := *p
	taken.keys, taken.MaxClientTimeout = next.keys, next.MaxClientTimeout
	was := p.Balancer
	taken.Balancer = next.Balancer
	d := &taken.Balancer
	d.Dispatchers, d.Position, d.Zone = was.Dispatchers, was.Position, was.Zone
	d.Kinds, d.Gossip = was.Kinds, was.Gossip
	d.StartNotices, d.ReportsOnProbe, d.Probes = was.StartNotices, was.ReportsOnProbe, was.Probes
	d.ReportInFlight, d.ReportQueue, d.ReportFree = was.ReportInFlight, was.ReportQueue, was.ReportFree
	r, n := &taken.Proxy, next.Proxy
	r.Discovery, r.Operations, r.Tenants = n.Discovery, n.Operations, n.Tenants
	r.DialTimeout, r.MaxRetryAfter = n.DialTimeout, n.MaxRetryAfter
	return &taken
}

// later names what is not as in the file and is only taken over by the next start.
func later(taken, file *Config) []string {
	keys := []string{}
	for _, k := range []struct {
		key     string
		was, is any
	}{
		{"mgmt", taken.AdminListen, file.AdminListen},
		{"peers", taken.Proxy.Peers, file.Proxy.Peers},
		{
			"limits",
			[3]any{taken.Cores, taken.MemoryMB, taken.Sockets},
			[3]any{file.Cores, file.MemoryMB, file.Sockets},
		},
		{"settings.policyLimits.connIdleS", taken.WorkerIdleTimeout, file.WorkerIdleTimeout},
		{"settings.zones", taken.Proxy.Zones, file.Proxy.Zones},
		{"settings.shapes", taken.Proxy.Kinds, file.Proxy.Kinds},
		{"settings.report", taken.Proxy.Report, file.Proxy.Report},
		{
			"settings: balancers, position, zone, peers, probes, start notes or reports", taken.Balancer,
			file.Balancer,
		},
	} {
		if !reflect.DeepEqual(k.was, k.is) {
			keys = append(keys, k.key)
		}
	}
	return slices.Clip(keys)
}
