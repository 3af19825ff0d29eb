package storage

import (
	"errors"
	"slices"
)

// ErrCrashed is what every operation on a MemoryDisk returns after a crash of its machine.
var ErrCrashed = errors.New("the machine has crashed")

// Crash loses what was not synced: of each file it leaves any part of what was appended, perhaps with zeros in place of
// the last bytes, and of the changes of names any. Every operation fails until Recover is called.
func (m *MemoryDisk) Crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crash()
}

// crash is Crash for a caller that holds mu.
func (m *MemoryDisk) crash() {
	if m.crashed {
		return
	}
	m.crashed = true
	m.locked = false
	for _, change := range m.unsynced {
		if m.random.IntN(2) == 0 {
			change.apply(m.durable)
		}
	}
	m.unsynced = nil
	// A file may have two names, and is truncated once. The order decides which random numbers it gets.
	truncated := map[*inode]bool{}
	for _, name := range m.durable.sorted() {
		if file := m.durable[name]; !truncated[file] {
			truncated[file] = true
			m.truncate(file)
		}
	}
}

// truncate reduces what was appended to a file and not synced to what a crash may leave of it.
func (m *MemoryDisk) truncate(file *inode) {
	unsynced := len(file.data) - file.synced
	if unsynced <= 0 {
		return
	}
	file.data = file.data[:file.synced+m.random.IntN(unsynced+1)]
	if remaining := len(file.data) - file.synced; remaining > 0 && m.random.IntN(3) == 0 {
		// The new length of the file was written, and its last bytes were not.
		clear(file.data[len(file.data)-1-m.random.IntN(remaining):])
	}
	file.synced = len(file.data)
}

// Recover starts the machine again after a crash.
func (m *MemoryDisk) Recover() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = false
	m.visible = fileNames{}
	for name, file := range m.durable {
		// A file that was open before the crash must not change the recovered one.
		recovered := &inode{data: slices.Clone(file.data), synced: len(file.data)}
		m.visible[name] = recovered
		m.durable[name] = recovered
	}
}
