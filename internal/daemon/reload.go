package daemon

import (
	"fmt"
	"reflect"

	"canvasroute/internal/settings"
)

// reload handles SIGHUP: it reads the configuration file again and applies it either completely or not at all. It is
// called by the goroutine of handleSignals, which owns the configuration. A file that is invalid, or that checkReload
// rejects, changes nothing. Each key of an accepted file is treated in one of four ways:
//
//   - name, listen and peer_listen identify the dispatcher: checkReload rejects a file in which they differ.
//   - discovery, and the settings that withReloaded copies, are in effect when reload returns. The settings are
//     operations, tenants and quotas, rules, prices, the goal, and policyLimits except connIdleS, peers and probes.
//   - The keys of requiringRestart take effect on the next start. The log line names those that differ.
//   - seed and known are used on startup only and are not compared. The LB_FLEET file is read, but not applied.
//
// The state of workers is kept, and requests in flight keep the operation that they had on arrival.
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
	for _, operation := range applied.Proxy.Operations {
		operations = append(operations, operation.Name)
	}
	p.log.Info().Str("discovery", next.Proxy.DiscoveryAddress).Strs("operations", operations).
		Int("forwards", applied.Balancer.Attempts.Max).Strs("at_next_start", requiringRestart(applied, next)).
		Msg("configuration reloaded")
}

// checkReload returns a *settings.KeyError if a running process cannot apply the configuration: it identifies another
// dispatcher, or lacks a key that the current one has.
func (c *Config) checkReload(next *Config) error {
	if err := c.keys.checkComplete("", next.keys); err != nil {
		return err
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

// withReloaded returns the current configuration with the reloadable values replaced by those of next.
func (c *Config) withReloaded(next *Config) *Config {
	merged := *c
	merged.keys = next.keys
	merged.MaxClientTimeout = next.MaxClientTimeout

	// The balancer gets all new values, except its place in the fleet, the kinds of workers, and the options for messages
	// from workers and peers.
	merged.Balancer = next.Balancer
	merged.Balancer.Dispatchers = c.Balancer.Dispatchers
	merged.Balancer.Position = c.Balancer.Position
	merged.Balancer.Zone = c.Balancer.Zone
	merged.Balancer.Kinds = c.Balancer.Kinds
	merged.Balancer.Gossip.Enabled = c.Balancer.Gossip.Enabled
	merged.Balancer.Attempts.StartNotices = c.Balancer.Attempts.StartNotices
	merged.Balancer.LoadReports = c.Balancer.LoadReports

	merged.Proxy.DiscoveryAddress = next.Proxy.DiscoveryAddress
	merged.Proxy.Operations = next.Proxy.Operations
	merged.Proxy.Tenants = next.Proxy.Tenants
	merged.Proxy.DialTimeout = next.Proxy.DialTimeout
	merged.Proxy.UnavailableRetryAfter = next.Proxy.UnavailableRetryAfter
	return &merged
}

// requiringRestart returns the keys whose values in the file take effect on the next start. Operators read them in the
// log.
func requiringRestart(applied, file *Config) []string {
	type limits struct {
		cores    float64
		memoryMB int
		sockets  int
	}
	keys := []string{}
	for _, row := range []struct {
		key     string
		applied any // the value in effect
		file    any // the value in the file
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
		if !reflect.DeepEqual(row.applied, row.file) {
			keys = append(keys, row.key)
		}
	}
	return keys
}
