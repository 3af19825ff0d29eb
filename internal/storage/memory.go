package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"
)

// ErrCrashed is what every operation on a disk returns whose machine has crashed.
var ErrCrashed = errors.New("the machine has crashed")

// MemoryDisk is a disk for tests and for the laboratory: a crash loses what was not synced, or some of it, and any operation can
// be made to fail. Until Recover is called nothing works after a crash.
type MemoryDisk struct {
	mu      sync.Mutex
	rng     *rand.Rand
	names   map[string]*inode // as the running machine sees them
	lasting map[string]*inode // as they are after a crash
	pending []change          // of names, not synced
	locked  bool
	crashed bool
	ops     int
	// Fault is asked before each operation, which is counted from 1, and may have it fail; ErrCrashed crashes the machine
	// in the middle of it.
	Fault func(op int, what, name string) error
}

type inode struct {
	data   []byte
	synced int
}

type change struct {
	name string
	node *inode // nil for a name that goes
}

// NewMemoryDisk makes an empty disk; what a crash leaves depends on the seed.
func NewMemoryDisk(seed uint64) *MemoryDisk {
	return &MemoryDisk{rng: rand.New(rand.NewPCG(seed, 0xd15c)), names: map[string]*inode{}, lasting: map[string]*inode{}}
}

// Ops is the number of operations so far.
func (m *MemoryDisk) Ops() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ops
}

// Crash loses what was not synced: of each file any length of what was appended, perhaps with its last bytes never written,
// and of the names that were made, changed or removed any.
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
	for _, c := range m.pending {
		if m.rng.IntN(2) == 0 {
			m.set(m.lasting, c)
		}
	}
	m.pending = nil
	seen := map[*inode]bool{}
	for _, name := range sortedNames(m.lasting) {
		n := m.lasting[name]
		if seen[n] {
			continue
		}
		seen[n] = true
		if extra := len(n.data) - n.synced; extra > 0 {
			n.data = n.data[:n.synced+m.rng.IntN(extra+1)]
			if kept := len(n.data) - n.synced; kept > 0 && m.rng.IntN(3) == 0 {
				clear(n.data[len(n.data)-1-m.rng.IntN(kept):]) // the length was written, and the bytes were not
			}
			n.synced = len(n.data)
		}
	}
}

// Recover starts the machine again.
func (m *MemoryDisk) Recover() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed, m.names = false, map[string]*inode{}
	for name, n := range m.lasting {
		c := &inode{slices.Clone(n.data), len(n.data)}
		m.names[name], m.lasting[name] = c, c
	}
}

func (m *MemoryDisk) set(names map[string]*inode, c change) {
	if c.node == nil {
		delete(names, c.name)
	} else {
		names[c.name] = c.node
	}
}

func sortedNames(names map[string]*inode) (all []string) {
	for name := range names {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// op begins an operation. Half is called if the machine crashes in it, to leave it half done.
func (m *MemoryDisk) op(what, name string, half func()) error {
	if m.crashed {
		return ErrCrashed
	}
	m.ops++
	if m.Fault == nil {
		return nil
	}
	err := m.Fault(m.ops, what, name)
	if errors.Is(err, ErrCrashed) {
		if half != nil {
			half()
		}
		m.crash()
	}
	return err
}

func (m *MemoryDisk) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.op("list", "", nil); err != nil {
		return nil, err
	}
	return sortedNames(m.names), nil
}

func (m *MemoryDisk) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.op("read", name, nil); err != nil {
		return nil, err
	}
	n := m.names[name]
	if n == nil {
		return nil, fmt.Errorf("%s: %w", name, fs.ErrNotExist)
	}
	return slices.Clone(n.data), nil
}

func (m *MemoryDisk) change(c change) {
	m.set(m.names, c)
	m.pending = append(m.pending, c)
}

func (m *MemoryDisk) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := &inode{}
	make := func() { m.change(change{name, n}) }
	if err := m.op("create", name, make); err != nil {
		return nil, err
	}
	make()
	return &memoryFile{m, n, name}, nil
}

func (m *MemoryDisk) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.names[from]
	if n == nil {
		return fmt.Errorf("%s: %w", from, fs.ErrNotExist)
	}
	do := func() {
		m.change(change{to, n})
		m.change(change{from, nil})
	}
	if err := m.op("rename", from, do); err != nil {
		return err
	}
	do()
	return nil
}

func (m *MemoryDisk) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	do := func() { m.change(change{name, nil}) }
	if err := m.op("remove", name, do); err != nil {
		return err
	}
	do()
	return nil
}

func (m *MemoryDisk) Sync() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.op("sync names", "", nil); err != nil {
		return err
	}
	for _, c := range m.pending {
		m.set(m.lasting, c)
	}
	m.pending = nil
	return nil
}

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

func (m *MemoryDisk) Unlock() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.locked = false
	return nil
}

type memoryFile struct {
	m    *MemoryDisk
	n    *inode
	name string
}

func (f *memoryFile) Write(b []byte) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	half := 0
	part := func() {
		half = f.m.rng.IntN(len(b) + 1)
		f.n.data = append(f.n.data, b[:half]...)
	}
	if err := f.m.op("write", f.name, part); err != nil {
		if !errors.Is(err, ErrCrashed) {
			part() // a disk that is full takes a part
		}
		return half, err
	}
	f.n.data = append(f.n.data, b...)
	return len(b), nil
}

// Sync of a file that fails leaves open what lasts, as that of a machine does: nothing of it may be counted on.
func (f *memoryFile) Sync() error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if err := f.m.op("sync", f.name, nil); err != nil {
		return err
	}
	f.n.synced = len(f.n.data)
	return nil
}

func (f *memoryFile) Close() error { return nil }
