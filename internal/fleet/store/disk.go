// Package store keeps on disk what a dispatcher needs after its end: who it is, what it has learnt, and which
// keys may have run where. What is read back is whole and checked, or counts as lost.
package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// Disk is what a store needs of a folder. Nothing is durable before its Sync, and no name before SyncNames.
type Disk interface {
	Read(name string) ([]byte, error) // fs.ErrNotExist where there is none
	Write(name string, b []byte) error
	Overwrite(name string, b []byte) error // in place: what the file had beyond stays, and no block is freed
	Append(name string, b []byte) error
	Sync(name string) error
	Rename(from, to string) error
	Remove(name string) error
	Names() ([]string, error)
	SyncNames() error
}

// Folder is a Disk on the file system, held by one process at a time.
type Folder struct {
	path string
	lock *os.File
}

// ErrLocked is a folder that another process holds.
var ErrLocked = errors.New("another process holds the folder")

const lockName = "lock"

// OpenFolder takes a folder for this process, and makes it where there is none. It fails with ErrLocked at once
// where another process has it. A folder that cannot be written to can still be read: held tells which.
func OpenFolder(path string) (f *Folder, held bool, err error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, false, fmt.Errorf("state folder: %w", err)
	}
	f = &Folder{path: path}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if errors.Is(err, syscall.EROFS) || errors.Is(err, fs.ErrPermission) {
		return f, false, nil
	}
	if err != nil {
		return nil, false, fmt.Errorf("state folder: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, false, fmt.Errorf("state folder %s: %w", path, err)
	}
	f.lock = lock
	return f, true, nil
}

// ReadFolder opens a folder to look into, whoever holds it.
func ReadFolder(path string) (*Folder, error) {
	if info, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	} else if !info.IsDir() {
		return nil, fmt.Errorf("state folder: %s is no folder", path)
	}
	return &Folder{path: path}, nil
}

// Close leaves the folder to another process.
func (f *Folder) Close() error {
	if f.lock == nil {
		return nil
	}
	return f.lock.Close()
}

func (f *Folder) at(name string) string { return filepath.Join(f.path, name) }

// Read is os.ReadFile.
func (f *Folder) Read(name string) ([]byte, error) { return os.ReadFile(f.at(name)) }

// Write makes a file anew.
func (f *Folder) Write(name string, b []byte) error { return os.WriteFile(f.at(name), b, 0o600) }

// Overwrite puts bytes over the beginning of a file.
func (f *Folder) Overwrite(name string, b []byte) error { return f.put(name, 0, b) }

// Append adds to a file's end.
func (f *Folder) Append(name string, b []byte) error { return f.put(name, os.O_APPEND, b) }

func (f *Folder) put(name string, where int, b []byte) error {
	file, err := os.OpenFile(f.at(name), os.O_CREATE|os.O_WRONLY|where, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(b)
	return errors.Join(err, file.Close())
}

// Sync makes what a file holds durable.
func (f *Folder) Sync(name string) error { return f.sync(f.at(name)) }

// SyncNames makes durable which files there are.
func (f *Folder) SyncNames() error { return f.sync(f.path) }

func (f *Folder) sync(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

// Rename puts a file in another's place.
func (f *Folder) Rename(from, to string) error { return os.Rename(f.at(from), f.at(to)) }

// Remove takes a file away.
func (f *Folder) Remove(name string) error { return os.Remove(f.at(name)) }

// Names are the files that there are, but for the lock.
func (f *Folder) Names() (names []string, err error) {
	entries, err := os.ReadDir(f.path)
	for _, e := range entries {
		if e.Type().IsRegular() && e.Name() != lockName { // nothing else is ours
			names = append(names, e.Name())
		}
	}
	return names, err
}
