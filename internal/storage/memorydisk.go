package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"
)

// ErrCrashed is what every operation on a MemoryDisk returns after a crash of its machine.
var ErrCrashed = errors.New("the machine has crashed")

// MemoryDisk is a Disk in memory, for tests and simulations. A crash loses what was not synced, or a part of it, and faults
// can be injected into its operations. It is safe for concurrent use.
type MemoryDisk struct {
	// InjectFault, if not nil, is called before each operation and returns the error with which it is to fail. ErrCrashed
	// crashes the machine in the middle of the operation.
	InjectFault func(Call) error

	mu       sync.Mutex
	random   *rand.Rand
	visible  map[string]*inode // the names as the running machine sees them
	durable  map[string]*inode // the names as a crash leaves them
	unsynced []nameChange      // what was done to visible and not yet to durable
	locked   bool
	crashed  bool
	calls    int
}

// inode is the contents of a file, whatever names it has.
type inode struct {
	data   []byte
	synced int // the length that a crash leaves alone
}

// nameChange gives a name to an inode, or removes the name if the inode is nil.
type nameChange struct {
	name string
	node *inode
}

func (c nameChange) apply(names map[string]*inode) {
	if c.node == nil {
		delete(names, c.name)
		return
	}
	names[c.name] = c.node
}

// NewMemoryDisk returns an empty disk. What a crash leaves depends on the seed.
func NewMemoryDisk(seed uint64) *MemoryDisk {
	const stream = 0xd15c
	return &MemoryDisk{
		random: rand.New(rand.NewPCG(seed, stream)), visible: map[string]*inode{}, durable: map[string]*inode{},
	}
}

// Calls returns the number of operations so far.
func (m *MemoryDisk) Calls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Crash loses what was not synced: of each file it leaves any part of what was appended, perhaps with zeros in place of
// the last bytes, and of the changes of names any. Every operation fails until Recover is called.
func (m *MemoryDisk) Crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crash()
}

func (m *MemoryDisk) crash() {
	if m.crashed {
		return
	}
	m.crashed, m.locked = true, false
	for _, c := range m.unsynced {
		if m.random.IntN(2) == 0 {
			c.apply(m.durable)
		}
	}
	m.unsynced = nil
	truncated := map[*inode]bool{}
	for _, name := range sortedNames(m.durable) {
		if n := m.durable[name]; !truncated[n] {
			truncated[n] = true
			m.truncate(n)
		}
	}
}

// truncate leaves of the bytes that were not synced what a crash may leave.
func (m *MemoryDisk) truncate(n *inode) {
	unsynced := len(n.data) - n.synced
	if unsynced <= 0 {
		return
	}
	n.data = n.data[:n.synced+m.random.IntN(unsynced+1)]
	if left := len(n.data) - n.synced; left > 0 && m.random.IntN(3) == 0 {
		// The new length of the file was written, and its last bytes were not.
		clear(n.data[len(n.data)-1-m.random.IntN(left):])
	}
	n.synced = len(n.data)
}

// Recover starts the machine again after a crash.
func (m *MemoryDisk) Recover() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed, m.visible = false, map[string]*inode{}
	for name, n := range m.durable {
		c := &inode{data: slices.Clone(n.data), synced: len(n.data)}
		m.visible[name], m.durable[name] = c, c
	}
}

func sortedNames(names map[string]*inode) []string {
	var all []string
	for name := range names {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// begin counts an operation and injects a fault. If the machine crashes in the operation, it is half done before.
func (m *MemoryDisk) begin(op Operation, file string, half func()) error {
	if m.crashed {
		return ErrCrashed
	}
	m.calls++
	if m.InjectFault == nil {
		return nil
	}
	err := m.InjectFault(Call{Number: m.calls, Operation: op, File: file})
	if errors.Is(err, ErrCrashed) {
		half()
		m.crash()
	}
	return err
}

// nothing is half of an operation that changes nothing, or changes it at once.
func nothing() {}

// List implements Disk.
func (m *MemoryDisk) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin(OpList, "", nothing); err != nil {
		return nil, err
	}
	return sortedNames(m.visible), nil
}

// Read implements Disk.
func (m *MemoryDisk) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin(OpRead, name, nothing); err != nil {
		return nil, err
	}
	n := m.visible[name]
	if n == nil {
		return nil, fmt.Errorf("%s: %w", name, fs.ErrNotExist)
	}
	return slices.Clone(n.data), nil
}

// changeNames carries out an operation that consists of changes of names. A crash in the middle of it may leave any of
// them, so that all count as done before.
func (m *MemoryDisk) changeNames(op Operation, file string, changes ...nameChange) error {
	do := func() {
		for _, c := range changes {
			c.apply(m.visible)
			m.unsynced = append(m.unsynced, c)
		}
	}
	if err := m.begin(op, file, do); err != nil {
		return err
	}
	do()
	return nil
}

// Create implements Disk.
func (m *MemoryDisk) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := &inode{}
	if err := m.changeNames(OpCreate, name, nameChange{name, n}); err != nil {
		return nil, err
	}
	return &memoryFile{disk: m, node: n, name: name}, nil
}

// Rename implements Disk.
func (m *MemoryDisk) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.visible[from]
	if n == nil {
		return fmt.Errorf("%s: %w", from, fs.ErrNotExist)
	}
	return m.changeNames(OpRename, from, nameChange{to, n}, nameChange{from, nil})
}

// Remove implements Disk.
func (m *MemoryDisk) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changeNames(OpRemove, name, nameChange{name, nil})
}

// Sync implements Disk.
func (m *MemoryDisk) Sync() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin(OpSyncNames, "", nothing); err != nil {
		return err
	}
	for _, c := range m.unsynced {
		c.apply(m.durable)
	}
	m.unsynced = nil
	return nil
}

// Lock implements Disk. It does not count as an operation.
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

// Unlock implements Disk. It does not count as an operation.
func (m *MemoryDisk) Unlock() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.locked = false
	return nil
}

// memoryFile is an open file of a MemoryDisk.
type memoryFile struct {
	disk *MemoryDisk
	node *inode
	name string
}

// Write writes a part of b when it fails, as a disk that is full does, or when the machine crashes.
func (f *memoryFile) Write(b []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	written := 0
	writePart := func() {
		written = f.disk.random.IntN(len(b) + 1)
		f.node.data = append(f.node.data, b[:written]...)
	}
	if err := f.disk.begin(OpWrite, f.name, writePart); err != nil {
		if !errors.Is(err, ErrCrashed) {
			writePart()
		}
		return written, err
	}
	f.node.data = append(f.node.data, b...)
	return len(b), nil
}

// Sync leaves open what a crash loses when it fails, as that of a real disk does.
func (f *memoryFile) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.disk.begin(OpSync, f.name, nothing); err != nil {
		return err
	}
	f.node.synced = len(f.node.data)
	return nil
}

func (f *memoryFile) Close() error { return nil }
