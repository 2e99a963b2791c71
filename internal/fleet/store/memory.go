package store

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"sync"
)

// Memory is a Disk for simulations: it knows what is durable, can lose power at any step, and can lie.
type Memory struct {
	mu             sync.Mutex
	now            map[string]*inode // as programs see it
	durable        map[string]*inode // the names that would be there after a loss of power
	Steps          int               // taken so far
	PowerLossAfter int               // power is lost before the step of this number; 0: never
	WriteError     error             // what each write ends with, nil where it works
	DropSyncs      bool              // a sync says yes and does nothing
}

// inode is one file. Its first bytes are durable.
type inode struct {
	bytes   []byte
	durable []byte
}

// ErrPowerLost is power lost.
var ErrPowerLost = errors.New("power lost")

// NewMemory makes an empty disk.
func NewMemory() *Memory {
	return &Memory{now: map[string]*inode{}, durable: map[string]*inode{}}
}

// step takes one step, unless power is lost before it or writes fail.
func (m *Memory) step(take func() error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Steps++; m.PowerLossAfter > 0 && m.Steps >= m.PowerLossAfter {
		return ErrPowerLost
	}
	if m.WriteError != nil {
		return m.WriteError
	}
	return take()
}

// change takes a step that changes a file, made where there is none.
func (m *Memory) change(name string, how func(*inode)) error {
	return m.step(func() error {
		if m.now[name] == nil {
			m.now[name] = &inode{}
		}
		how(m.now[name])
		return nil
	})
}

// Restart is the disk after a loss of power: names and files as they were durable, and of what was added since
// the first tail bytes.
func (m *Memory) Restart(tail int) *Memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := NewMemory()
	for name, i := range m.durable {
		b := slices.Clone(i.durable)
		if len(i.bytes) > len(b) && slices.Equal(i.bytes[:len(b)], b) {
			b = append(b, i.bytes[len(b):min(len(i.bytes), len(b)+tail)]...)
		} else { // overwritten: so much of it came through
			over := i.bytes[:min(len(i.bytes), tail)]
			b = append(slices.Clone(over), b[min(len(b), len(over)):]...)
		}
		next.now[name] = &inode{b, slices.Clone(b)}
	}
	next.durable = maps.Clone(next.now)
	return next
}

// Read is what programs see.
func (m *Memory) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if i := m.now[name]; i != nil {
		return slices.Clone(i.bytes), nil
	}
	return nil, fs.ErrNotExist
}

// Write makes a file anew.
func (m *Memory) Write(name string, b []byte) error {
	return m.step(func() error {
		m.now[name] = &inode{bytes: slices.Clone(b)}
		return nil
	})
}

// Overwrite puts bytes over the beginning of a file.
func (m *Memory) Overwrite(name string, b []byte) error {
	return m.change(name, func(i *inode) {
		i.bytes = append(slices.Clone(b), i.bytes[min(len(b), len(i.bytes)):]...)
	})
}

// Append adds to a file's end.
func (m *Memory) Append(name string, b []byte) error {
	return m.change(name, func(i *inode) { i.bytes = append(i.bytes, b...) })
}

// Sync makes a file durable, unless it lies.
func (m *Memory) Sync(name string) error {
	return m.step(func() error {
		if i := m.now[name]; i != nil && !m.DropSyncs {
			i.durable = slices.Clone(i.bytes)
		}
		return nil
	})
}

// Rename puts a file in another's place.
func (m *Memory) Rename(from, to string) error {
	return m.step(func() error {
		i := m.now[from]
		if i == nil {
			return fs.ErrNotExist
		}
		m.now[to] = i
		delete(m.now, from)
		return nil
	})
}

// Remove takes a file away.
func (m *Memory) Remove(name string) error {
	return m.step(func() error {
		delete(m.now, name)
		return nil
	})
}

// Names are the files that there are.
func (m *Memory) Names() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.now)), nil
}

// SyncNames makes durable which files there are; what they hold is another matter.
func (m *Memory) SyncNames() error {
	return m.step(func() error {
		m.durable = maps.Clone(m.now)
		return nil
	})
}

// Tear cuts a file off at some byte, both by chance.
func (m *Memory) Tear(chance uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := slices.Sorted(maps.Keys(m.now))
	if len(names) == 0 {
		return
	}
	i := m.now[names[chance%uint64(len(names))]]
	if len(i.bytes) > 0 {
		i.bytes = append(i.bytes[:chance/7%uint64(len(i.bytes))], 0xff)
		i.durable = slices.Clone(i.bytes)
	}
}
