package experiment

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"

	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/testbed/fault"
	"canvasroute/internal/testbed/network"
)

// startLink starts the network for messages between members. It assigns each dispatcher a state folder, and writes a
// fleet configuration file with the members for it.
func (env *environment) startLink(ctx context.Context, linkAddrs []netip.AddrPort) error {
	links, err := network.New(network.Link, linkAddrs, env.linkConditions(), messaging.MaxDatagramBytes, env.seed)
	if err != nil {
		return err
	}
	env.links = links
	env.background.Go(func() error { return links.Run(ctx) })
	for n, p := range env.processes {
		if p.stateFolder, err = filepath.Abs(filepath.Join(env.folder, p.name+".state")); err != nil {
			return err
		}
		p.fleetConfigPath = filepath.Join(env.folder, p.name+".fleet.toml")
		if err := os.WriteFile(p.fleetConfigPath, env.fleetConfig(p, linkAddrs[n], links.View(n)), fileMode); err != nil {
			return err
		}
	}
	return nil
}

// fleetConfig returns the content of the fleet configuration file for a process: its state folder, its own address, and
// the addresses in view at which it reaches the members.
func (env *environment) fleetConfig(p *process, listen netip.AddrPort, view []netip.AddrPort) []byte {
	b := fmt.Appendf(nil, "[state]\nfolder = %q\nevery = %q\n\n[link]\nlisten = %q\n", p.stateFolder,
		env.plan.Dispatchers.StateInterval.Std().String(), listen.String())
	for n, addr := range view {
		b = fmt.Appendf(b, "\n[[member]]\nname = %q\naddress = %q\n", dispatcherName(n), addr.String())
	}
	return b
}

// linkConditions returns the conditions of the link that the plan configures, without faults.
func (env *environment) linkConditions() network.Conditions {
	d := &env.plan.Dispatchers
	return network.Conditions{
		Loss:           d.LinkLoss,
		Delay:          d.LinkDelay.Std(),
		Jitter:         d.LinkJitter.Std(),
		DuplicateShare: d.LinkDuplicates,
	}
}

// applyToLink changes the loss or the partitions of the link. It does nothing if dispatchers persist no state.
func (env *environment) applyToLink(action fault.Action) {
	if env.links == nil {
		return
	}
	conditions := env.linkConditions()
	switch action.Kind {
	case fault.LinkLoss:
		conditions.Loss = action.Value
		env.links.SetConditions(conditions)
	case fault.LinkRecover:
		env.links.SetConditions(conditions)
	case fault.LinkCut, fault.LinkHeal:
		env.partitionLink(action)
	}
}

// partitionLink cuts or heals the link between the targets and all other dispatchers, in the direction that the
// action's mode selects, or in both directions.
func (env *environment) partitionLink(action fault.Action) {
	change := env.links.Heal
	if action.Kind == fault.LinkCut {
		change = env.links.Cut
	}
	for _, n := range action.Targets {
		for other := range env.listenAddrs {
			if slices.Contains(action.Targets, other) {
				continue
			}
			if action.Mode != fault.DirectionSend {
				change(other, n)
			}
			if action.Mode != fault.DirectionReceive {
				change(n, other)
			}
		}
	}
}
