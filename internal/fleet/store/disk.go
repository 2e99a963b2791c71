package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// Disk is a folder of files without subfolders. The contents of a file are durable after Sync, its name after SyncNames.
type Disk interface {
	Read(name string) ([]byte, error)      // fails with fs.ErrNotExist if there is no such file
	Write(name string, b []byte) error     // creates or replaces the file
	Overwrite(name string, b []byte) error // in place: the rest of a longer file stays, and no block is freed
	Append(name string, b []byte) error    // creates the file if there is none
	Sync(name string) error                // makes the contents of the file durable
	Rename(from, to string) error          // replaces a file that has the new name
	Remove(name string) error
	Names() ([]string, error) // in order
	SyncNames() error         // makes the names of all files durable, and that others were removed
}

// The permissions of the folder and its files: the dispatcher's user alone.
const (
	folderMode fs.FileMode = 0o700
	fileMode   fs.FileMode = 0o600
)

// Folder is a Disk in the file system, which one process locks at a time.
type Folder struct {
	path string
	lock *os.File // nil for a folder that is only read
}

// ErrLocked means that another process has locked the folder.
var ErrLocked = errors.New("another process holds the folder")

// lockName is the file that is locked. It is never removed: earlier releases lock the same one.
const lockName = "lock"

// OpenFolder locks a folder for this process, and creates it if there is none. It fails at once with ErrLocked if another
// process has locked it. A folder that cannot be written to is opened for reading: ReadOnly reports that.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	f := &Folder{path: path}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if errors.Is(err, syscall.EROFS) || errors.Is(err, fs.ErrPermission) {
		return f, nil
	}
	if err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, fmt.Errorf("state folder %s: %w", path, err)
	}
	f.lock = lock
	return f, nil
}

// ReadFolder opens a folder for reading, whether or not a process has locked it.
func ReadFolder(path string) (*Folder, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	if !info.IsDir() {
		return nil, fmt.Errorf("state folder %s: %w", path, syscall.ENOTDIR)
	}
	return &Folder{path: path}, nil
}

// ReadOnly reports whether the folder is not locked, so that nothing may be written to it.
func (f *Folder) ReadOnly() bool { return f.lock == nil }

// Close unlocks the folder.
func (f *Folder) Close() error {
	if f.lock == nil {
		return nil
	}
	return f.lock.Close()
}

func (f *Folder) pathOf(name string) string { return filepath.Join(f.path, name) }

// Read returns the contents of a file.
func (f *Folder) Read(name string) ([]byte, error) { return os.ReadFile(f.pathOf(name)) }

// Write creates or replaces a file.
func (f *Folder) Write(name string, b []byte) error { return os.WriteFile(f.pathOf(name), b, fileMode) }

// Overwrite writes over the beginning of a file, in place.
func (f *Folder) Overwrite(name string, b []byte) error { return f.writeWith(0, name, b) }

// Append writes behind the end of a file.
func (f *Folder) Append(name string, b []byte) error { return f.writeWith(os.O_APPEND, name, b) }

// writeWith writes to a file that is opened with an additional flag.
func (f *Folder) writeWith(flag int, name string, b []byte) error {
	file, err := os.OpenFile(f.pathOf(name), os.O_CREATE|os.O_WRONLY|flag, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(b)
	return errors.Join(err, file.Close())
}

// Sync makes the contents of a file durable.
func (f *Folder) Sync(name string) error { return f.sync(f.pathOf(name)) }

// SyncNames makes the names of all files durable.
func (f *Folder) SyncNames() error { return f.sync(f.path) }

func (f *Folder) sync(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

// Rename renames a file, and replaces one that has the new name.
func (f *Folder) Rename(from, to string) error { return os.Rename(f.pathOf(from), f.pathOf(to)) }

// Remove removes a file.
func (f *Folder) Remove(name string) error { return os.Remove(f.pathOf(name)) }

// Names returns the names of all regular files but the lock, in order.
func (f *Folder) Names() (names []string, err error) {
	entries, err := os.ReadDir(f.path)
	for _, entry := range entries {
		if entry.Type().IsRegular() && entry.Name() != lockName {
			names = append(names, entry.Name())
		}
	}
	return names, err
}
