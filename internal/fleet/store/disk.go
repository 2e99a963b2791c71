package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// Disk is a folder of files without subfolders. The contents of a file are durable after Sync, and its name is durable
// after SyncNames.
type Disk interface {
	Read(name string) ([]byte, error)      // fails with fs.ErrNotExist if the file does not exist
	Write(name string, b []byte) error     // creates or replaces the file
	Overwrite(name string, b []byte) error // in place: keeps the rest of a longer file, and frees no blocks
	Append(name string, b []byte) error    // creates the file if it does not exist
	Sync(name string) error                // makes the contents of the file durable
	Rename(from, to string) error          // replaces an existing file with the new name
	Remove(name string) error
	Names() ([]string, error) // sorted
	SyncNames() error         // makes the names of all files and the removal of others durable
}

// The permissions of the folder and its files grant access only to the dispatcher's user.
const (
	folderMode fs.FileMode = 0o700
	fileMode   fs.FileMode = 0o600
)

// Folder is a Disk in the file system. Only one process at a time can lock it.
type Folder struct {
	path     string
	lockFile *os.File // nil if the folder is read-only
}

// ErrLocked is returned if another process has locked the folder.
var ErrLocked = errors.New("locked by another process")

// lockFileName is the name of the lock file. It is never removed, and earlier releases lock the same file.
const lockFileName = "lock"

// OpenFolder locks a folder for this process, and creates it if it does not exist. It fails immediately with ErrLocked
// if another process has locked the folder. If the folder is not writable, it is opened read-only, which ReadOnly
// reports.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	f := &Folder{path: path}
	lockFile, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_CREATE|os.O_RDWR, fileMode)
	if errors.Is(err, syscall.EROFS) || errors.Is(err, fs.ErrPermission) {
		return f, nil
	}
	if err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	if err := syscall.Flock(int(lockFile.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lockFile.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, fmt.Errorf("state folder %s: %w", path, err)
	}
	f.lockFile = lockFile
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

// ReadOnly reports whether the folder was opened without a lock, so that it must not be written to.
func (f *Folder) ReadOnly() bool { return f.lockFile == nil }

// Close unlocks the folder.
func (f *Folder) Close() error {
	if f.lockFile == nil {
		return nil
	}
	return f.lockFile.Close()
}

func (f *Folder) filePath(name string) string { return filepath.Join(f.path, name) }

// Read returns the contents of a file.
func (f *Folder) Read(name string) ([]byte, error) { return os.ReadFile(f.filePath(name)) }

// Write creates or replaces a file.
func (f *Folder) Write(name string, b []byte) error {
	return os.WriteFile(f.filePath(name), b, fileMode)
}

// Overwrite overwrites the beginning of a file in place, and creates the file if it does not exist.
func (f *Folder) Overwrite(name string, b []byte) error { return f.writeWithFlag(0, name, b) }

// Append appends to a file, and creates it if it does not exist.
func (f *Folder) Append(name string, b []byte) error { return f.writeWithFlag(os.O_APPEND, name, b) }

// writeWithFlag opens a file with an additional flag and writes b to it.
func (f *Folder) writeWithFlag(flag int, name string, b []byte) error {
	file, err := os.OpenFile(f.filePath(name), os.O_CREATE|os.O_WRONLY|flag, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(b)
	return errors.Join(err, file.Close())
}

// Sync makes the contents of a file durable.
func (f *Folder) Sync(name string) error { return f.syncPath(f.filePath(name)) }

// SyncNames makes the names of all files durable.
func (f *Folder) SyncNames() error { return f.syncPath(f.path) }

func (f *Folder) syncPath(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

// Rename renames a file, replacing an existing file with the new name.
func (f *Folder) Rename(from, to string) error { return os.Rename(f.filePath(from), f.filePath(to)) }

// Remove removes a file.
func (f *Folder) Remove(name string) error { return os.Remove(f.filePath(name)) }

// Names returns the names of all regular files except the lock file, sorted.
func (f *Folder) Names() (names []string, err error) {
	entries, err := os.ReadDir(f.path)
	for _, entry := range entries {
		if entry.Type().IsRegular() && entry.Name() != lockFileName {
			names = append(names, entry.Name())
		}
	}
	return names, err
}
