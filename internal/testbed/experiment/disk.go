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

// diskCopyDelay is the time from the start of the experiment until copyDisks copies each state folder for
// fault.DiskOld.
const diskCopyDelay = 3 * time.Second

// copyDisks waits for diskCopyDelay and copies the state folder of each dispatcher. It copies nothing if ctx ends
// first.
func (env *environment) copyDisks(ctx context.Context) error {
	select {
	case <-time.After(diskCopyDelay):
	case <-ctx.Done():
		return nil
	}
	for _, p := range env.processes {
		if err := copyDisk(p.stateFolder, diskCopyPath(p.stateFolder)); err != nil {
			return err
		}
	}
	return nil
}

// copyDisk copies the files of a folder that a dispatcher may be writing to. It skips files that are removed during the
// copy, and copies nothing if the folder does not exist.
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

// damageDisk changes the state folder of a dispatcher that has no power to the disk state that the action's mode
// selects.
func (env *environment) damageDisk(n int, action fault.Action) error {
	stateFolder := env.process(n).stateFolder
	switch action.Mode {
	case fault.DiskMissing:
		return os.RemoveAll(stateFolder)
	case fault.DiskLostSync:
		return removeNewestFiles(diskFiles(stateFolder))
	case fault.DiskTorn:
		rng := unit.RandomStream(env.seed, fmt.Sprint("disk ", n, " ", action.At))
		if files := diskFiles(stateFolder); len(files) > 0 {
			return truncate(files[rng.IntN(len(files))], int64(1+rng.IntN(maxTornBytes)))
		}
	case fault.DiskOld:
		if _, err := os.Stat(diskCopyPath(stateFolder)); err != nil {
			return nil // power was lost before the copy was made
		}
		return replaceDisk(stateFolder, diskCopyPath(stateFolder))
	case fault.DiskSwapped: // replaced by a copy of the next dispatcher's folder; that dispatcher may be running
		return replaceDisk(stateFolder, env.process((n+1)%len(env.listenAddrs)).stateFolder)
	case fault.DiskFull:
		return blockNewFiles(stateFolder, fullDevice)
	case fault.DiskReadOnly:
		return blockNewFiles(stateFolder, readOnlyFile)
	}
	return nil
}

const (
	maxTornBytes    = 200  // maximum number of bytes removed from the end of a torn file
	blockedKeyFiles = 1000 // number of key file names that blockNewFiles occupies
)

// Files on which every write fails.
const (
	fullDevice   = "/dev/full"
	readOnlyFile = "/proc/version"
)

// Names of the files that the store creates next.
const (
	nextIncarnationFile = "life.new"
	keyFileFormat       = "keys.%d" // with the number of the file
)

// diskFiles returns the paths of the store's files in a state folder, or nil if the folder cannot be read.
func diskFiles(stateFolder string) (paths []string) {
	folder, err := store.ReadFolder(stateFolder)
	if err != nil {
		return nil
	}
	names, _ := folder.Names() // returns an error for files left by an earlier DiskFull fault
	for _, name := range names {
		paths = append(paths, filepath.Join(stateFolder, name))
	}
	return paths
}

// removeNewestFiles removes the newest file of each kind.
func removeNewestFiles(files []string) error {
	newest := map[string]string{}
	for _, path := range files {
		kind := strings.TrimSuffix(path, filepath.Ext(path))
		if candidate := newest[kind]; candidate == "" || wasModifiedAfter(path, candidate) {
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

// truncate removes a number of bytes from the end of a file.
func truncate(path string, bytes int64) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	return os.Truncate(path, max(info.Size()-bytes, 0))
}

// replaceDisk replaces a state folder with a copy of another folder.
func replaceDisk(stateFolder, source string) error {
	if err := os.RemoveAll(stateFolder); err != nil {
		return err
	}
	return copyDisk(source, stateFolder)
}

// diskCopyPath returns the path of the copy of a state folder that copyDisks makes.
func diskCopyPath(stateFolder string) string { return stateFolder + ".old" }

// wasModifiedAfter reports whether file a was modified after file b. It returns false if either file cannot be read.
func wasModifiedAfter(a, b string) bool {
	infoA, errA := os.Stat(a)
	infoB, errB := os.Stat(b)
	return errA == nil && errB == nil && infoA.ModTime().After(infoB.ModTime())
}

// blockNewFiles makes every later write to a new file in a state folder fail. It occupies the names of the next files
// with symbolic links to target, which is a full device or a file that cannot be written.
func blockNewFiles(stateFolder, target string) error {
	last, err := lastKeyFileNumber(stateFolder)
	if err != nil {
		return err
	}
	names := []string{nextIncarnationFile}
	for n := range blockedKeyFiles {
		names = append(names, fmt.Sprintf(keyFileFormat, last+1+n))
	}
	for _, name := range names {
		if err := os.Symlink(target, filepath.Join(stateFolder, name)); err != nil && !errors.Is(err, os.ErrExist) {
			return err
		}
	}
	return nil
}

// lastKeyFileNumber returns the highest number of a key file in a state folder, or 0 if there is none.
func lastKeyFileNumber(stateFolder string) (last int, err error) {
	entries, err := os.ReadDir(stateFolder)
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
