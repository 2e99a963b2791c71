package experiment

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/fleet/store"
	"canvasroute/internal/testbed/fault"
	"canvasroute/internal/testbed/network"
	"canvasroute/internal/testbed/unit"
)

// startLink gives each dispatcher a folder for its state and a link to the others.
func (w *environment) startLink(ctx context.Context, own []netip.AddrPort) (err error) {
	links, err := network.New(own, w.linkConditions(), messaging.MaxDatagramBytes, w.seed)
	if err != nil {
		return err
	}
	w.links = links
	w.background.Go(func() error { return links.Run(ctx) })
	for n, p := range w.processes {
		p.disk = filepath.Join(w.folder, p.name+".state")
		if p.disk, err = filepath.Abs(p.disk); err != nil {
			return err
		}
		p.fleet = filepath.Join(w.folder, p.name+".fleet.toml")
		if err := os.WriteFile(p.fleet, w.fleetConfig(p, own[n], w.links.View(n)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (w *environment) fleetConfig(p *process, listen netip.AddrPort, view []netip.AddrPort) []byte {
	b := fmt.Appendf(nil, "[state]\nfolder = %q\nevery = %q\n\n[link]\nlisten = %q\n", p.disk,
		w.plan.Dispatchers.StateInterval.Std().String(), listen.String())
	for n, at := range view {
		b = fmt.Appendf(b, "\n[[member]]\nname = %q\naddress = %q\n", dispatcherName(n), at.String())
	}
	return b
}

func (w *environment) linkConditions() network.Conditions {
	d := &w.plan.Dispatchers
	return network.Conditions{Loss: d.LinkLoss, Delay: d.LinkDelay.Std(), Jitter: d.LinkJitter.Std(), DuplicateShare: d.LinkDuplicates}
}

func (w *environment) applyToLink(a fault.Action) {
	if w.links == nil {
		return
	}
	m := w.linkConditions()
	switch a.Kind {
	case fault.LinkLoss:
		m.Loss = a.Value
		w.links.SetConditions(m)
	case fault.LinkRecover:
		w.links.SetConditions(m)
	case fault.LinkCut, fault.LinkHeal:
		for _, n := range a.Targets {
			for other := range w.listenAddrs {
				if slices.Contains(a.Targets, other) {
					continue
				}
				if a.Mode != "heard" {
					w.links.SetPartition(other, n, a.Kind == fault.LinkCut)
				}
				if a.Mode != "hear" {
					w.links.SetPartition(n, other, a.Kind == fault.LinkCut)
				}
			}
		}
	}
}

// applyPower takes power from dispatchers, all at once, or gives it back to one of them. What it starts with is what
// was known when power failed: nobody has told it anything since.
func (w *environment) applyPower(ctx context.Context, a fault.Action) {
	if a.Kind == fault.PowerLoss {
		var kills sync.WaitGroup
		for _, n := range a.Targets {
			endpoints := w.discovery.CompleteList(n)
			w.mu.Lock()
			if w.endpointsAtPowerLoss[n] == nil {
				w.endpointsAtPowerLoss[n] = endpoints
			}
			w.mu.Unlock()
			w.dispatcherDown(n)
			kills.Go(w.process(n).kill)
		}
		kills.Wait()
		return
	}
	for _, n := range a.Targets {
		if w.process(n).running() {
			continue
		}
		if w.links != nil {
			w.recordFailure(w.damageDisk(n, a))
			if a.Duration != 0 {
				w.recordFailure(shiftClock(w.process(n).disk, dispatcherName(n), a.Duration))
			}
		}
		w.recordFailure(w.launchDispatcher(n))
		if w.links != nil && a.Mode == fault.DiskIntact && w.drainedBefore(n) {
			w.actions.Go(func() { w.watchDrained(ctx, n) })
		}
		w.mu.Lock()
		delete(w.endpointsAtPowerLoss, n)
		w.mu.Unlock()
		w.dispatcherUp(n)
	}
}

// oldCopyDelay is when, from the experiment's start, a copy is taken of each disk, for one that is to be old later.
const oldCopyDelay = 3 * time.Second

func (w *environment) copyDisks(ctx context.Context) error {
	select {
	case <-time.After(oldCopyDelay):
	case <-ctx.Done():
		return nil
	}
	for _, p := range w.processes {
		if err := copyDisk(p.disk, p.disk+".old"); err != nil {
			return err
		}
	}
	return nil
}

// copyDisk copies a folder that a dispatcher may be writing to meanwhile: what is gone by then is left out.
func copyDisk(from, to string) error {
	entries, err := os.ReadDir(from)
	if err != nil && !os.IsNotExist(err) {
		return fmt.Errorf("a copy of a disk: %w", err)
	}
	if err := os.MkdirAll(to, 0o700); err != nil {
		return fmt.Errorf("a copy of a disk: %w", err)
	}
	for _, e := range entries {
		if !e.Type().IsRegular() {
			continue
		}
		b, err := os.ReadFile(filepath.Join(from, e.Name()))
		if os.IsNotExist(err) {
			continue
		}
		if err == nil {
			err = os.WriteFile(filepath.Join(to, e.Name()), b, 0o600)
		}
		if err != nil {
			return fmt.Errorf("a copy of a disk: %w", err)
		}
	}
	return nil
}

// damageDisk makes of a dispatcher's disk what is left of it after a loss of power.
func (w *environment) damageDisk(n int, a fault.Action) error {
	p, rng := w.process(n), unit.RandomStream(w.seed, fmt.Sprint("disk ", n, " ", a.At))
	names := func() (all []string) {
		if disk, err := store.ReadFolder(p.disk); err == nil {
			all, _ = disk.Names() // a full disk of before has others too
		}
		for n := range all {
			all[n] = filepath.Join(p.disk, all[n])
		}
		return all
	}
	cut := func(path string, by int64) error {
		info, err := os.Stat(path)
		if err != nil {
			return err
		}
		return os.Truncate(path, max(info.Size()-by, 0))
	}
	switch a.Mode {
	case fault.DiskMissing:
		return os.RemoveAll(p.disk)
	case fault.DiskLostSync: // the newest of everything
		newest := map[string]string{}
		for _, path := range names() {
			kind := strings.TrimSuffix(path, filepath.Ext(path))
			if reported := newest[kind]; reported == "" || newer(path, reported) {
				newest[kind] = path
			}
		}
		for kind, path := range newest {
			err := os.Remove(path)
			if filepath.Base(kind) == "keys" {
				err = cut(path, 40)
			}
			if err != nil && !os.IsNotExist(err) {
				return err
			}
		}
	case fault.DiskTorn:
		if all := names(); len(all) > 0 {
			return cut(all[rng.IntN(len(all))], int64(1+rng.IntN(200)))
		}
	case fault.DiskOld:
		if _, err := os.Stat(p.disk + ".old"); err != nil {
			return nil
		}
		if err := os.RemoveAll(p.disk); err != nil {
			return err
		}
		return copyDisk(p.disk+".old", p.disk)
	case fault.DiskSwapped: // with the next one's, which may be up: it gets a copy
		next := w.process((n + 1) % len(w.listenAddrs))
		if err := os.RemoveAll(p.disk); err != nil {
			return err
		}
		return copyDisk(next.disk, p.disk)
	case fault.DiskFull, fault.DiskReadOnly:
		return w.blockNewFiles(p, a.Mode)
	}
	return nil
}

func newer(a, b string) bool {
	x, errX := os.Stat(a)
	y, errY := os.Stat(b)
	return errX == nil && errY == nil && x.ModTime().After(y.ModTime())
}

// blockNewFiles makes each write that needs a new file fail from now on, by what stands where it would be made: a full
// device, or what cannot be written.
func (w *environment) blockNewFiles(p *process, how string) error {
	to := "/dev/full"
	if how == fault.DiskReadOnly {
		to = "/proc/version"
	}
	last := 0
	entries, _ := os.ReadDir(p.disk)
	for _, e := range entries {
		var n int
		if _, err := fmt.Sscanf(e.Name(), "keys.%d", &n); err == nil {
			last = max(last, n)
		}
	}
	names := []string{"life.new"}
	for n := range 1000 {
		names = append(names, fmt.Sprintf("keys.%d", last+1+n))
	}
	for _, name := range names {
		if err := os.Symlink(to, filepath.Join(p.disk, name)); err != nil && !os.IsExist(err) {
			return err
		}
	}
	return nil
}
