package storage

import (
	"errors"
	"maps"
	"slices"
)

// inode is the contents of a file. Several names can refer to it.
type inode struct {
	data   []byte
	synced int // number of bytes that a crash keeps
}

// fileNames maps the file names of a MemoryDisk to contents.
type fileNames map[string]*inode

func (n fileNames) sorted() []string { return slices.Sorted(maps.Keys(n)) }

// nameChange sets the inode of a name, or removes the name if the inode is nil.
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

// Write implements File. With an injected fault it writes a random prefix of the data, as on a full disk or in a crash.
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

// Sync implements File. If it fails, the data stays unsynced, so that a crash may keep any prefix of it.
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
