package daemon

import (
	"fmt"
	"reflect"

	"canvasroute/internal/settings"
)

// reload reads the configuration file again while the process runs, and applies it: the address of discovery, and the settings that
// need no restart. The file is checked as a whole, and applied as a whole or not at all. Workers, what is known of them
// and requests in flight stay as they are.
func (p *process) reload() {
	next, err := p.readConfig()
	if err == nil {
		err = p.config.checkReload(next)
	}
	if err != nil {
		p.adminHandler.reloadsRejected.Add(1)
		p.log.Error().Err(err).Msg("invalid configuration, keeping the current one")
		return
	}
	applied := p.config.withReloaded(next)
	p.proxy.Reconfigure(applied.Proxy, applied.Balancer)
	p.proxy.SetDiscoveryAddress(next.Proxy.DiscoveryAddress)
	p.config = applied
	p.adminHandler.reloadsApplied.Add(1)
	operations := []string{}
	for _, o := range applied.Proxy.Operations {
		operations = append(operations, o.Name)
	}
	p.log.Info().Str("discovery", next.Proxy.DiscoveryAddress).Strs("operations", operations).
		Int("forwards", applied.Balancer.MaxAttempts).Strs("at_next_start", requiringRestart(applied, next)).
		Msg("configuration reloaded")
}

// checkReload returns why a running process cannot go on with another configuration, as a *settings.KeyError: a key that
// the current one has is missing, or it is another dispatcher's.
func (c *Config) checkReload(next *Config) error {
	if key := firstMissingKey(c.keys, next.keys); key != "" {
		return &settings.KeyError{Key: key, Problem: "missing; the configuration in force has it"}
	}
	for _, identity := range []struct{ key, current, next string }{
		{"name", c.Name, next.Name},
		{"listen", c.Listen, next.Listen},
		{"peer_listen", c.PeerListen, next.PeerListen},
	} {
		if identity.current != identity.next {
			return &settings.KeyError{
				Key:     identity.key,
				Problem: fmt.Sprintf("%q, must stay %q while the process runs", identity.next, identity.current),
			}
		}
	}
	return nil
}

// withReloaded returns the configuration with all that a reload may change of it. The rest requires a restart.
func (c *Config) withReloaded(next *Config) *Config {
	merged := *c
	merged.keys = next.keys
	merged.MaxClientTimeout = next.MaxClientTimeout

	merged.Balancer = next.Balancer
	merged.Balancer.Dispatchers = c.Balancer.Dispatchers
	merged.Balancer.Position = c.Balancer.Position
	merged.Balancer.Zone = c.Balancer.Zone
	merged.Balancer.Kinds = c.Balancer.Kinds
	merged.Balancer.Gossip = c.Balancer.Gossip
	merged.Balancer.StartNotices = c.Balancer.StartNotices
	merged.Balancer.ReportsOnProbe = c.Balancer.ReportsOnProbe
	merged.Balancer.Probes = c.Balancer.Probes
	merged.Balancer.ReportInFlight = c.Balancer.ReportInFlight
	merged.Balancer.ReportQueue = c.Balancer.ReportQueue
	merged.Balancer.ReportFree = c.Balancer.ReportFree

	merged.Proxy.DiscoveryAddress = next.Proxy.DiscoveryAddress
	merged.Proxy.Operations = next.Proxy.Operations
	merged.Proxy.Tenants = next.Proxy.Tenants
	merged.Proxy.DialTimeout = next.Proxy.DialTimeout
	merged.Proxy.MaxRetryAfter = next.Proxy.MaxRetryAfter
	return &merged
}

// requiringRestart names the keys whose values in the file are not in force until the next start.
func requiringRestart(applied, file *Config) []string {
	type limits struct {
		cores             float64
		memoryMB, sockets int
	}
	keys := []string{}
	for _, k := range []struct {
		key           string
		applied, file any
	}{
		{"mgmt", applied.AdminListen, file.AdminListen},
		{"peers", applied.Proxy.Peers, file.Proxy.Peers},
		{
			"limits",
			limits{applied.Cores, applied.MemoryMB, applied.Sockets},
			limits{file.Cores, file.MemoryMB, file.Sockets},
		},
		{"settings.policyLimits.connIdleS", applied.WorkerIdleTimeout, file.WorkerIdleTimeout},
		{"settings.zones", applied.Proxy.Zones, file.Proxy.Zones},
		{"settings.shapes", applied.Proxy.Kinds, file.Proxy.Kinds},
		{"settings.report", applied.Proxy.ReportFields, file.Proxy.ReportFields},
		{
			"settings: balancers, position, zone, peers, probes, start notes or reports",
			applied.Balancer,
			file.Balancer,
		},
	} {
		if !reflect.DeepEqual(k.applied, k.file) {
			keys = append(keys, k.key)
		}
	}
	return keys
}
