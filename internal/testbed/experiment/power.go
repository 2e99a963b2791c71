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

// startLink starts the network for messages between members, and gives each dispatcher a state folder and a file that
// names the members.
func (env *environment) startLink(ctx context.Context, linkAddrs []netip.AddrPort) error {
	links, err := network.New(linkAddrs, env.linkConditions(), messaging.MaxDatagramBytes, env.seed)
	if err != nil {
		return err
	}
	env.links = links
	env.background.Go(func() error { return links.Run(ctx) })
	for n, p := range env.processes {
		if p.disk, err = filepath.Abs(filepath.Join(env.folder, p.name+".state")); err != nil {
			return err
		}
		p.fleet = filepath.Join(env.folder, p.name+".fleet.toml")
		if err := os.WriteFile(p.fleet, env.fleetConfig(p, linkAddrs[n], links.View(n)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (env *environment) fleetConfig(p *process, listen netip.AddrPort, view []netip.AddrPort) []byte {
	b := fmt.Appendf(nil, "[state]\nfolder = %q\nevery = %q\n\n[link]\nlisten = %q\n", p.disk,
		env.plan.Dispatchers.StateInterval.Std().String(), listen.String())
	for n, at := range view {
		b = fmt.Appendf(b, "\n[[member]]\nname = %q\naddress = %q\n", dispatcherName(n), at.String())
	}
	return b
}

func (env *environment) linkConditions() network.Conditions {
	d := &env.plan.Dispatchers
	return network.Conditions{Loss: d.LinkLoss, Delay: d.LinkDelay.Std(), Jitter: d.LinkJitter.Std(), DuplicateShare: d.LinkDuplicates}
}

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

// partitionLink cuts or heals the link between the targets and all other dispatchers, in the direction of the mode.
func (env *environment) partitionLink(action fault.Action) {
	cut := action.Kind == fault.LinkCut
	for _, n := range action.Targets {
		for other := range env.listenAddrs {
			if slices.Contains(action.Targets, other) {
				continue
			}
			if action.Mode != fault.DirectionSend {
				env.links.SetPartition(other, n, cut)
			}
			if action.Mode != fault.DirectionReceive {
				env.links.SetPartition(n, other, cut)
			}
		}
	}
}

// losePower kills dispatchers, all at once. Each keeps the list of this time for its next start, as nothing reaches it
// while it has no power.
func (env *environment) losePower(targets []int) {
	var kills sync.WaitGroup
	for _, n := range targets {
		endpoints := env.discovery.CompleteList(n)
		env.mu.Lock()
		if env.endpointsAtPowerLoss[n] == nil {
			env.endpointsAtPowerLoss[n] = endpoints
		}
		env.mu.Unlock()
		env.dispatcherDown(n)
		kills.Go(env.process(n).kill)
	}
	kills.Wait()
}

// returnPower starts dispatchers again, with their disks in the state of the mode and their clocks moved by the duration.
func (env *environment) returnPower(ctx context.Context, action fault.Action) {
	for _, n := range action.Targets {
		if env.process(n).running() {
			continue
		}
		if env.links != nil {
			env.recordFailure(env.damageDisk(n, action))
			if action.Duration != 0 {
				env.recordFailure(shiftClock(env.process(n).disk, dispatcherName(n), action.Duration))
			}
		}
		env.recordFailure(env.launchDispatcher(n))
		if env.links != nil && action.Mode == fault.DiskIntact && env.drainedBefore(n) {
			env.actions.Go(func() { env.watchDrained(ctx, n) })
		}
		env.mu.Lock()
		delete(env.endpointsAtPowerLoss, n)
		env.mu.Unlock()
		env.dispatcherUp(n)
	}
}

// oldCopyDelay is when, since the start of the experiment, copyDisks copies each disk for fault.DiskOld.
const oldCopyDelay = 3 * time.Second

func (env *environment) copyDisks(ctx context.Context) error {
	select {
	case <-time.After(oldCopyDelay):
	case <-ctx.Done():
		return nil
	}
	for _, p := range env.processes {
		if err := copyDisk(p.disk, oldDisk(p.disk)); err != nil {
			return err
		}
	}
	return nil
}

// copyDisk copies a folder that a dispatcher may be writing to. Files that disappear meanwhile are left out.
func copyDisk(from, to string) error {
	entries, err := os.ReadDir(from)
	if err != nil && !os.IsNotExist(err) {
		return fmt.Errorf("copying a disk: %w", err)
	}
	if err := os.MkdirAll(to, 0o700); err != nil {
		return fmt.Errorf("copying a disk: %w", err)
	}
	for _, entry := range entries {
		if !entry.Type().IsRegular() {
			continue
		}
		b, err := os.ReadFile(filepath.Join(from, entry.Name()))
		if os.IsNotExist(err) {
			continue
		}
		if err == nil {
			err = os.WriteFile(filepath.Join(to, entry.Name()), b, 0o600)
		}
		if err != nil {
			return fmt.Errorf("copying a disk: %w", err)
		}
	}
	return nil
}

// damageDisk brings the disk of a dispatcher that has lost power to the state of the action's mode.
func (env *environment) damageDisk(n int, action fault.Action) error {
	disk := env.process(n).disk
	switch action.Mode {
	case fault.DiskMissing:
		return os.RemoveAll(disk)
	case fault.DiskLostSync:
		return loseNewest(diskFiles(disk))
	case fault.DiskTorn:
		rng := unit.RandomStream(env.seed, fmt.Sprint("disk ", n, " ", action.At))
		if files := diskFiles(disk); len(files) > 0 {
			return truncate(files[rng.IntN(len(files))], int64(1+rng.IntN(maxTornBytes)))
		}
	case fault.DiskOld:
		if _, err := os.Stat(oldDisk(disk)); err != nil {
			return nil
		}
		return replaceDisk(disk, oldDisk(disk))
	case fault.DiskSwapped: // by a copy of the next dispatcher's, which may be running
		return replaceDisk(disk, env.process((n+1)%len(env.listenAddrs)).disk)
	case fault.DiskFull:
		return blockNewFiles(disk, "/dev/full")
	case fault.DiskReadOnly:
		return blockNewFiles(disk, "/proc/version")
	}
	return nil
}

const (
	maxTornBytes    = 200  // lost from the end of a torn file, at most
	blockedKeyFiles = 1000 // names of files of keys that blockNewFiles takes
)

// diskFiles returns the paths of the files in a state folder that belong to the store.
func diskFiles(disk string) (paths []string) {
	folder, err := store.ReadFolder(disk)
	if err != nil {
		return nil
	}
	names, _ := folder.Names() // fails on files that a DiskFull of before has left
	for _, name := range names {
		paths = append(paths, filepath.Join(disk, name))
	}
	return paths
}

// loseNewest removes the newest file of each kind.
func loseNewest(files []string) error {
	newest := map[string]string{}
	for _, path := range files {
		kind := strings.TrimSuffix(path, filepath.Ext(path))
		if candidate := newest[kind]; candidate == "" || newer(path, candidate) {
			newest[kind] = path
		}
	}
	for _, path := range newest {
		if err := os.Remove(path); err != nil && !os.IsNotExist(err) {
			return err
		}
	}
	return nil
}

// truncate removes bytes from the end of a file.
func truncate(path string, bytes int64) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	return os.Truncate(path, max(info.Size()-bytes, 0))
}

// replaceDisk replaces a state folder by a copy of another.
func replaceDisk(disk, source string) error {
	if err := os.RemoveAll(disk); err != nil {
		return err
	}
	return copyDisk(source, disk)
}

// oldDisk is the path of the earlier copy of a state folder.
func oldDisk(disk string) string { return disk + ".old" }

// newer reports whether file a was modified after file b.
func newer(a, b string) bool {
	infoA, errA := os.Stat(a)
	infoB, errB := os.Stat(b)
	return errA == nil && errB == nil && infoA.ModTime().After(infoB.ModTime())
}

// blockNewFiles makes each write to a new file fail from now on: the names of the next files are links to target, a full
// device or a file that cannot be written.
func blockNewFiles(disk, target string) error {
	last := 0
	entries, err := os.ReadDir(disk)
	if err != nil && !os.IsNotExist(err) {
		return err
	}
	for _, entry := range entries {
		var n int
		if _, err := fmt.Sscanf(entry.Name(), "keys.%d", &n); err == nil {
			last = max(last, n)
		}
	}
	names := []string{"life.new"}
	for n := range blockedKeyFiles {
		names = append(names, fmt.Sprintf("keys.%d", last+1+n))
	}
	for _, name := range names {
		if err := os.Symlink(target, filepath.Join(disk, name)); err != nil && !os.IsExist(err) {
			return err
		}
	}
	return nil
}
