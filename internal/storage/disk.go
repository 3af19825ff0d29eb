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

// Disk is the directory that a store lives in. Tests have one that loses what was not synced.
type Disk interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	// Create makes a file anew, empty, for appending.
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// Sync makes what was created, renamed or removed last.
	Sync() error
	// Lock keeps other processes out until Unlock, or the process ends.
	Lock() error
	Unlock() error
}

// File is appended to. Nothing of it need last before Sync returns, and nothing more after one that failed.
type File interface {
	io.WriteCloser
	Sync() error
}

// ErrInUse means that another process holds the directory.
var ErrInUse = errors.New("another process holds the directory")

const lockName = "lock"

type dir struct {
	path string
	lock *os.File
}

// OpenDir is a directory of the machine, which is made if there is none.
func OpenDir(path string) (Disk, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("state directory: %w", err)
	}
	return &dir{path: path}, nil
}

func (d *dir) at(name string) string { return filepath.Join(d.path, name) }

func (d *dir) List() (names []string, err error) {
	entries, err := os.ReadDir(d.path)
	for _, e := range entries {
		if e.Type().IsRegular() && e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	return names, err
}

func (d *dir) Read(name string) ([]byte, error) { return os.ReadFile(d.at(name)) }

func (d *dir) Create(name string) (File, error) {
	return os.OpenFile(d.at(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

func (d *dir) Rename(from, to string) error { return os.Rename(d.at(from), d.at(to)) }

func (d *dir) Remove(name string) error {
	if err := os.Remove(d.at(name)); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

func (d *dir) Sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func (d *dir) Lock() error {
	f, err := os.OpenFile(d.at(lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return fmt.Errorf("%s: %w", d.path, ErrInUse)
		}
		return fmt.Errorf("lock %s: %w", d.path, err)
	}
	d.lock = f
	return nil
}

func (d *dir) Unlock() error {
	if d.lock == nil {
		return nil
	}
	f := d.lock
	d.lock = nil
	return f.Close()
}
