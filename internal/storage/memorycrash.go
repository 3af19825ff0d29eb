package storage

import (
	"errors"
	"slices"
)

// ErrCrashed is returned by every operation on a MemoryDisk after a simulated crash of its machine, until Recover.
var ErrCrashed = errors.New("simulated machine has crashed")

// Crash simulates a crash of the machine. Of the unsynced data of each file it keeps a random prefix, sometimes with
// zeros as its last bytes. Of the unsynced changes of names it keeps a random subset. All operations fail until Recover
// is called.
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
	// A file may have two names but is truncated once. Files are visited in sorted order, so that a seed always gives the
	// same result.
	truncated := map[*inode]bool{}
	for _, name := range m.durable.sorted() {
		if file := m.durable[name]; !truncated[file] {
			truncated[file] = true
			m.truncate(file)
		}
	}
}

// truncate reduces the unsynced data of a file to what a crash may leave of it.
func (m *MemoryDisk) truncate(file *inode) {
	unsynced := len(file.data) - file.synced
	if unsynced <= 0 {
		return
	}
	file.data = file.data[:file.synced+m.random.IntN(unsynced+1)]
	if remaining := len(file.data) - file.synced; remaining > 0 && m.random.IntN(3) == 0 {
		// The new file size was written, but not the last bytes.
		clear(file.data[len(file.data)-1-m.random.IntN(remaining):])
	}
	file.synced = len(file.data)
}

// Recover restarts the machine after a crash, with the files that the crash left.
func (m *MemoryDisk) Recover() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = false
	m.visible = fileNames{}
	for name, file := range m.durable {
		// Copied, since a file that was opened before the crash must not change the recovered one.
		recovered := &inode{data: slices.Clone(file.data), synced: len(file.data)}
		m.visible[name] = recovered
		m.durable[name] = recovered
	}
}
