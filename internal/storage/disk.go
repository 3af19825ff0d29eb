package storage

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// Disk is the directory in which a Log keeps its files. OpenDir returns one of the operating system, and NewMemoryDisk
// one that loses what was not synced.
type Disk interface {
	// List returns the names of the files in order.
	List() ([]string, error)
	// Read returns the contents of a file; the error is fs.ErrNotExist if there is none.
	Read(name string) ([]byte, error)
	// Create creates an empty file for appending, in place of one of that name.
	Create(name string) (File, error)
	// Rename gives a file another name, in place of a file that has it.
	Rename(from, to string) error
	// Remove removes a file. It is no error if there is none.
	Remove(name string) error
	// Sync makes the names that were created, changed or removed durable.
	Sync() error
	// Lock keeps other processes out until Unlock, or until the process ends. It returns ErrInUse if another one does so.
	Lock() error
	// Unlock releases the lock, if it is held.
	Unlock() error
}

// File is a file that is appended to.
type File interface {
	io.WriteCloser
	// Sync makes what was written durable. After it has failed, the file must not be relied on, whatever a later Sync
	// returns.
	Sync() error
}

// lockName is the file that holds the lock of a directory.
const lockName = "lock"

// directory is a Disk of the operating system.
type directory struct {
	path string
	lock *os.File // nil while the directory is not locked
}

// OpenDir returns the directory at a path, which is created if there is none.
func OpenDir(path string) (Disk, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("state directory: %w", err)
	}
	return &directory{path: path}, nil
}

func (d *directory) join(name string) string { return filepath.Join(d.path, name) }

func (d *directory) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() && e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

func (d *directory) Read(name string) ([]byte, error) { return os.ReadFile(d.join(name)) }

func (d *directory) Create(name string) (File, error) {
	return os.OpenFile(d.join(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

func (d *directory) Rename(from, to string) error { return os.Rename(d.join(from), d.join(to)) }

func (d *directory) Remove(name string) error {
	if err := os.Remove(d.join(name)); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

func (d *directory) Sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func (d *directory) Lock() error {
	f, err := os.OpenFile(d.join(lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	switch {
	case err == nil:
		d.lock = f
		return nil
	case errors.Is(err, syscall.EWOULDBLOCK):
		err = fmt.Errorf("%s: %w", d.path, ErrInUse)
	default:
		err = fmt.Errorf("lock %s: %w", d.path, err)
	}
	return errors.Join(err, f.Close())
}

func (d *directory) Unlock() error {
	if d.lock == nil {
		return nil
	}
	f := d.lock
	d.lock = nil
	return f.Close()
}
