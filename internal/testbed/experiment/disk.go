package experiment

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"canvasroute/internal/fleet/store"
	"canvasroute/internal/testbed/fault"
	"canvasroute/internal/testbed/unit"
)

// oldCopyDelay is when, since the start of the experiment, copyDisks copies each disk for fault.DiskOld.
const oldCopyDelay = 3 * time.Second

// copyDisks copies the state folder of each dispatcher, unless ctx ends before that time.
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
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("copying a disk: %w", err)
	}
	if err := os.MkdirAll(to, folderMode); err != nil {
		return fmt.Errorf("copying a disk: %w", err)
	}
	for _, entry := range entries {
		if !entry.Type().IsRegular() {
			continue
		}
		content, err := os.ReadFile(filepath.Join(from, entry.Name()))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err == nil {
			err = os.WriteFile(filepath.Join(to, entry.Name()), content, fileMode)
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
		return removeNewest(diskFiles(disk))
	case fault.DiskTorn:
		rng := unit.RandomStream(env.seed, fmt.Sprint("disk ", n, " ", action.At))
		if files := diskFiles(disk); len(files) > 0 {
			return truncate(files[rng.IntN(len(files))], int64(1+rng.IntN(maxTornBytes)))
		}
	case fault.DiskOld:
		if _, err := os.Stat(oldDisk(disk)); err != nil {
			return nil // the power was lost before the copy was made
		}
		return replaceDisk(disk, oldDisk(disk))
	case fault.DiskSwapped: // by a copy of the next dispatcher's, which may be running
		return replaceDisk(disk, env.process((n+1)%len(env.listenAddrs)).disk)
	case fault.DiskFull:
		return blockNewFiles(disk, fullDevice)
	case fault.DiskReadOnly:
		return blockNewFiles(disk, readOnlyFile)
	}
	return nil
}

const (
	maxTornBytes    = 200  // lost from the end of a torn file, at most
	blockedKeyFiles = 1000 // number of names of key files that blockNewFiles takes
)

// Files to which every write fails.
const (
	fullDevice   = "/dev/full"
	readOnlyFile = "/proc/version"
)

// Names of the store's files that are to be written next.
const (
	nextIncarnationFile = "life.new"
	keyFileFormat       = "keys.%d" // with the number of the file
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

// removeNewest removes the newest file of each kind.
func removeNewest(files []string) error {
	newest := map[string]string{}
	for _, path := range files {
		kind := strings.TrimSuffix(path, filepath.Ext(path))
		if candidate := newest[kind]; candidate == "" || newer(path, candidate) {
			newest[kind] = path
		}
	}
	for _, path := range newest {
		if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
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

// oldDisk returns the path of the earlier copy of a state folder.
func oldDisk(disk string) string { return disk + ".old" }

// newer reports whether file a was modified after file b.
func newer(a, b string) bool {
	infoA, errA := os.Stat(a)
	infoB, errB := os.Stat(b)
	return errA == nil && errB == nil && infoA.ModTime().After(infoB.ModTime())
}

// blockNewFiles makes each write to a new file fail from now on. It takes the names of the next files for links to
// target, a full device or a file that cannot be written.
func blockNewFiles(disk, target string) error {
	last, err := lastKeyFile(disk)
	if err != nil {
		return err
	}
	names := []string{nextIncarnationFile}
	for n := range blockedKeyFiles {
		names = append(names, fmt.Sprintf(keyFileFormat, last+1+n))
	}
	for _, name := range names {
		if err := os.Symlink(target, filepath.Join(disk, name)); err != nil && !errors.Is(err, os.ErrExist) {
			return err
		}
	}
	return nil
}

// lastKeyFile returns the highest number of a key file in a state folder, 0 if there is none.
func lastKeyFile(disk string) (last int, err error) {
	entries, err := os.ReadDir(disk)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return 0, err
	}
	for _, entry := range entries {
		var number int
		if _, err := fmt.Sscanf(entry.Name(), keyFileFormat, &number); err == nil {
			last = max(last, number)
		}
	}
	return last, nil
}
