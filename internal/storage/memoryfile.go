package storage

import (
	"errors"
	"maps"
	"slices"
)

// inode is the contents of a file, whatever names it has.
type inode struct {
	data   []byte
	synced int // the length that a crash preserves
}

// fileNames are the files of a MemoryDisk by their names.
type fileNames map[string]*inode

func (n fileNames) sorted() []string { return slices.Sorted(maps.Keys(n)) }

// nameChange gives a name to an inode, or removes the name if the inode is nil.
type nameChange struct {
	name string
	node *inode
}

func (c nameChange) apply(names fileNames) {
	if c.node == nil {
		delete(names, c.name)
		return
	}
	names[c.name] = c.node
}

// memoryFile is an open file of a MemoryDisk.
type memoryFile struct {
	disk *MemoryDisk
	node *inode
	name string
}

// Write writes a part of the data when it fails, as a disk that is full does, or when the machine crashes.
func (f *memoryFile) Write(data []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	written := 0
	writePart := func() {
		written = f.disk.random.IntN(len(data) + 1)
		f.node.data = append(f.node.data, data[:written]...)
	}
	if err := f.disk.startOperation(OpWrite, f.name, writePart); err != nil {
		if !errors.Is(err, ErrCrashed) {
			writePart()
		}
		return written, err
	}
	f.node.data = append(f.node.data, data...)
	return len(data), nil
}

// Sync leaves undetermined what a crash loses when it fails, as the sync of a real disk does.
func (f *memoryFile) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.disk.startOperation(OpSync, f.name, noEffect); err != nil {
		return err
	}
	f.node.synced = len(f.node.data)
	return nil
}

func (f *memoryFile) Close() error { return nil }
