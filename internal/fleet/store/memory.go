package store

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"sync"
)

// Memory is an in-memory Disk with fault injection, for tests and simulations. It tracks which data is durable, and can
// simulate a power loss before any operation, failing operations and ignored syncs.
type Memory struct {
	// Injected faults, which must not change while another goroutine uses the disk.
	PowerLossBefore int   // number of the operation, counted from 1, before which power is lost; 0 for never
	WriteError      error // returned by each operation except reads, nil for no error
	DropSyncs       bool  // Sync does nothing but returns no error

	OperationCount int // number of operations so far, not counting reads

	mu      sync.Mutex        // guards files, durable and OperationCount
	files   map[string]*inode // as returned by reads
	durable map[string]*inode // the files whose names would survive a power loss
}

// inode is one file.
type inode struct {
	bytes   []byte // as returned by reads
	durable []byte // the contents that would survive a power loss
}

// ErrPowerLost is returned by operations after the simulated power loss.
var ErrPowerLost = errors.New("power lost")

// NewMemory returns an empty disk without faults.
func NewMemory() *Memory {
	return &Memory{files: map[string]*inode{}, durable: map[string]*inode{}}
}

// runOperation counts and runs one operation, or returns the error of an injected fault.
func (m *Memory) runOperation(operation func() error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.OperationCount++
	if m.PowerLossBefore > 0 && m.OperationCount >= m.PowerLossBefore {
		return ErrPowerLost
	}
	if m.WriteError != nil {
		return m.WriteError
	}
	return operation()
}

// changeFile runs an operation that modifies a file, and creates the file if it does not exist.
func (m *Memory) changeFile(name string, operation func(*inode)) error {
	return m.runOperation(func() error {
		if m.files[name] == nil {
			m.files[name] = &inode{}
		}
		operation(m.files[name])
		return nil
	})
}

// AfterPowerLoss returns a copy of the disk as it is after a power loss. The copy has the files whose names were
// durable, with their durable contents and at most tail bytes of the data written since the last sync.
func (m *Memory) AfterPowerLoss(tail int) *Memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := NewMemory()
	for name, file := range m.durable {
		b := file.contentsAfterPowerLoss(tail)
		next.files[name] = &inode{bytes: b, durable: slices.Clone(b)}
	}
	next.durable = maps.Clone(next.files)
	return next
}

// contentsAfterPowerLoss returns the file's contents after a power loss, with at most tail bytes of the data written
// since the last sync.
func (i *inode) contentsAfterPowerLoss(tail int) []byte {
	remaining := slices.Clone(i.durable)
	appended := len(i.bytes) > len(remaining) && slices.Equal(i.bytes[:len(remaining)], remaining)
	if appended {
		return append(remaining, i.bytes[len(remaining):min(len(i.bytes), len(remaining)+tail)]...)
	}
	overwritten := i.bytes[:min(len(i.bytes), tail)]
	return append(slices.Clone(overwritten), remaining[min(len(remaining), len(overwritten)):]...)
}

// Read returns the contents of a file, durable or not.
func (m *Memory) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if file := m.files[name]; file != nil {
		return slices.Clone(file.bytes), nil
	}
	return nil, fs.ErrNotExist
}

// Write creates or replaces a file.
func (m *Memory) Write(name string, b []byte) error {
	return m.runOperation(func() error {
		m.files[name] = &inode{bytes: slices.Clone(b)}
		return nil
	})
}

// Overwrite overwrites the beginning of a file in place, and creates the file if it does not exist.
func (m *Memory) Overwrite(name string, b []byte) error {
	return m.changeFile(name, func(i *inode) {
		i.bytes = append(slices.Clone(b), i.bytes[min(len(b), len(i.bytes)):]...)
	})
}

// Append appends to a file, and creates it if it does not exist.
func (m *Memory) Append(name string, b []byte) error {
	return m.changeFile(name, func(i *inode) { i.bytes = append(i.bytes, b...) })
}

// Sync makes the contents of a file durable, unless DropSyncs is set.
func (m *Memory) Sync(name string) error {
	return m.runOperation(func() error {
		if file := m.files[name]; file != nil && !m.DropSyncs {
			file.durable = slices.Clone(file.bytes)
		}
		return nil
	})
}

// Rename renames a file, replacing an existing file with the new name.
func (m *Memory) Rename(from, to string) error {
	return m.runOperation(func() error {
		file := m.files[from]
		if file == nil {
			return fs.ErrNotExist
		}
		m.files[to] = file
		delete(m.files, from)
		return nil
	})
}

// Remove removes a file. It does not fail if the file does not exist.
func (m *Memory) Remove(name string) error {
	return m.runOperation(func() error {
		delete(m.files, name)
		return nil
	})
}

// Names returns the names of all files, sorted.
func (m *Memory) Names() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.files)), nil
}

// SyncNames makes the names of all files durable, but not their contents.
func (m *Memory) SyncNames() error {
	return m.runOperation(func() error {
		m.durable = maps.Clone(m.files)
		return nil
	})
}

const (
	// tornByte is the wrong byte that TearFile appends to a file.
	tornByte = 0xff
	// tearOffsetDivisor decorrelates the offset at which TearFile truncates a file from its choice of the file.
	tearOffsetDivisor = 7
)

// TearFile truncates one file and appends a wrong byte to it. random selects the file and the offset.
func (m *Memory) TearFile(random uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := slices.Sorted(maps.Keys(m.files))
	if len(names) == 0 {
		return
	}
	file := m.files[names[random%uint64(len(names))]]
	if len(file.bytes) > 0 {
		end := random / tearOffsetDivisor % uint64(len(file.bytes))
		file.bytes = append(file.bytes[:end], tornByte)
		file.durable = slices.Clone(file.bytes)
	}
}
