package store

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"sync"
)

// Memory is a Disk in memory with fault injection, for tests and simulations. It knows what is durable, can lose power
// before any operation, and can fail operations or ignore syncs.
type Memory struct {
	// Faults. They must not change while another goroutine uses the disk.
	PowerLossAfter int   // power is lost before the operation of this number, counted from 1; 0 for never
	WriteError     error // with which each operation but reads fails, nil for none
	DropSyncs      bool  // Sync does nothing and reports success

	Steps int // operations so far, reads not counted

	mu      sync.Mutex        // guards the files below, and Steps
	files   map[string]*inode // as programs see them
	durable map[string]*inode // the files whose names would be left after a loss of power
}

// inode is one file.
type inode struct {
	bytes   []byte // as programs see them
	durable []byte // what would be left after a loss of power
}

// ErrPowerLost means that the simulated power was lost before the operation.
var ErrPowerLost = errors.New("power lost")

// NewMemory returns an empty disk without faults.
func NewMemory() *Memory {
	return &Memory{files: map[string]*inode{}, durable: map[string]*inode{}}
}

// step does one operation, unless a fault is injected.
func (m *Memory) step(operation func() error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Steps++
	if m.PowerLossAfter > 0 && m.Steps >= m.PowerLossAfter {
		return ErrPowerLost
	}
	if m.WriteError != nil {
		return m.WriteError
	}
	return operation()
}

// change does an operation that changes a file, which is created if there is none.
func (m *Memory) change(name string, operation func(*inode)) error {
	return m.step(func() error {
		if m.files[name] == nil {
			m.files[name] = &inode{}
		}
		operation(m.files[name])
		return nil
	})
}

// Restart returns the disk as it is after a loss of power. It has the files whose names were durable, with their durable
// contents and at most tail bytes of what was written since.
func (m *Memory) Restart(tail int) *Memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := NewMemory()
	for name, file := range m.durable {
		b := file.afterPowerLoss(tail)
		next.files[name] = &inode{bytes: b, durable: slices.Clone(b)}
	}
	next.durable = maps.Clone(next.files)
	return next
}

// afterPowerLoss returns what is left of a file's contents if at most tail bytes reached the disk after the last sync.
func (i *inode) afterPowerLoss(tail int) []byte {
	left := slices.Clone(i.durable)
	appended := len(i.bytes) > len(left) && slices.Equal(i.bytes[:len(left)], left)
	if appended {
		return append(left, i.bytes[len(left):min(len(i.bytes), len(left)+tail)]...)
	}
	overwritten := i.bytes[:min(len(i.bytes), tail)]
	return append(slices.Clone(overwritten), left[min(len(left), len(overwritten)):]...)
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
	return m.step(func() error {
		m.files[name] = &inode{bytes: slices.Clone(b)}
		return nil
	})
}

// Overwrite writes over the beginning of a file, in place.
func (m *Memory) Overwrite(name string, b []byte) error {
	return m.change(name, func(i *inode) {
		i.bytes = append(slices.Clone(b), i.bytes[min(len(b), len(i.bytes)):]...)
	})
}

// Append writes behind the end of a file.
func (m *Memory) Append(name string, b []byte) error {
	return m.change(name, func(i *inode) { i.bytes = append(i.bytes, b...) })
}

// Sync makes the contents of a file durable, unless DropSyncs is set.
func (m *Memory) Sync(name string) error {
	return m.step(func() error {
		if file := m.files[name]; file != nil && !m.DropSyncs {
			file.durable = slices.Clone(file.bytes)
		}
		return nil
	})
}

// Rename renames a file, and replaces one that has the new name.
func (m *Memory) Rename(from, to string) error {
	return m.step(func() error {
		file := m.files[from]
		if file == nil {
			return fs.ErrNotExist
		}
		m.files[to] = file
		delete(m.files, from)
		return nil
	})
}

// Remove removes a file. It does not fail if there is none.
func (m *Memory) Remove(name string) error {
	return m.step(func() error {
		delete(m.files, name)
		return nil
	})
}

// Names returns the names of all files, in order.
func (m *Memory) Names() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.files)), nil
}

// SyncNames makes the names of all files durable, but not their contents.
func (m *Memory) SyncNames() error {
	return m.step(func() error {
		m.durable = maps.Clone(m.files)
		return nil
	})
}

const (
	// tornByte is what Tear adds to a file.
	tornByte = 0xff
	// tearOffsetDivisor makes the place at which Tear cuts differ from the number of the file.
	tearOffsetDivisor = 7
)

// Tear cuts one file off and adds a wrong byte to it. random chooses the file and the place.
func (m *Memory) Tear(random uint64) {
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
