package storage

import (
	"fmt"
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"
)

// MemoryDisk is an in-memory Disk for tests and simulations. Crash discards unsynced data, or a part of it, and
// InjectFault makes operations fail. It is safe for concurrent use.
type MemoryDisk struct {
	// InjectFault, if not nil, is called before each operation. If it returns an error, the operation fails with it;
	// ErrCrashed crashes the machine in the middle of the operation.
	InjectFault func(Call) error

	mu       sync.Mutex
	random   *rand.Rand
	visible  fileNames    // names including unsynced changes
	durable  fileNames    // names that survive a crash
	unsynced []nameChange // changes of visible that are not in durable
	locked   bool
	crashed  bool
	calls    int
}

// NewMemoryDisk returns an empty disk. The seed determines which unsynced data a crash keeps.
func NewMemoryDisk(seed uint64) *MemoryDisk {
	const stream = 0xd15c
	return &MemoryDisk{
		random:  rand.New(rand.NewPCG(seed, stream)),
		visible: fileNames{},
		durable: fileNames{},
	}
}

// Calls returns the number of operations so far, which is the Number of the last Call.
func (m *MemoryDisk) Calls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// List implements Disk.
func (m *MemoryDisk) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.startOperation(OpList, "", noEffect); err != nil {
		return nil, err
	}
	return m.visible.sorted(), nil
}

// Read implements Disk.
func (m *MemoryDisk) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.startOperation(OpRead, name, noEffect); err != nil {
		return nil, err
	}
	file := m.visible[name]
	if file == nil {
		return nil, fmt.Errorf("%s: %w", name, fs.ErrNotExist)
	}
	return slices.Clone(file.data), nil
}

// Create implements Disk.
func (m *MemoryDisk) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	file := &inode{}
	if err := m.changeNames(OpCreate, name, nameChange{name, file}); err != nil {
		return nil, err
	}
	return &memoryFile{
		disk: m,
		node: file,
		name: name,
	}, nil
}

// Rename implements Disk.
func (m *MemoryDisk) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	file := m.visible[from]
	if file == nil {
		return fmt.Errorf("%s: %w", from, fs.ErrNotExist)
	}
	return m.changeNames(OpRename, from, nameChange{to, file}, nameChange{from, nil})
}

// Remove implements Disk.
func (m *MemoryDisk) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changeNames(OpRemove, name, nameChange{name, nil})
}

// changeNames performs an operation that consists of changes of names. A crash in the middle of it may keep any of
// them, so the partial effect adds all of them to unsynced, of which crash keeps a random subset.
func (m *MemoryDisk) changeNames(operation Operation, file string, changes ...nameChange) error {
	change := func() {
		for _, c := range changes {
			c.apply(m.visible)
			m.unsynced = append(m.unsynced, c)
		}
	}
	if err := m.startOperation(operation, file, change); err != nil {
		return err
	}
	change()
	return nil
}

// Sync implements Disk.
func (m *MemoryDisk) Sync() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.startOperation(OpSyncNames, "", noEffect); err != nil {
		return err
	}
	for _, change := range m.unsynced {
		change.apply(m.durable)
	}
	m.unsynced = nil
	return nil
}

// Lock implements Disk. It is not counted as an operation, and faults are not injected into it.
func (m *MemoryDisk) Lock() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashed {
		return ErrCrashed
	}
	if m.locked {
		return ErrInUse
	}
	m.locked = true
	return nil
}

// Unlock implements Disk. It is not counted as an operation, and faults are not injected into it.
func (m *MemoryDisk) Unlock() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.locked = false
	return nil
}
