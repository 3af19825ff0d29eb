//nolint:wrapcheck // errors of package os contain the operation and the path; a DiskError adds the step
package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

const (
	// lockName is the file that holds the lock of a directory.
	lockName = "lock"

	// Only the user of the allocator process may access the directory.
	directoryMode = 0o700
	fileMode      = 0o600
)

// osDirectory is a Disk in the file system. Its errors are those of package os, and ErrInUse.
type osDirectory struct {
	path string
	lock *os.File // nil while the directory is not locked
}

// OpenDir returns the directory at a path, and creates it if it does not exist.
func OpenDir(path string) (Disk, error) {
	if err := os.MkdirAll(path, directoryMode); err != nil {
		return nil, &DiskError{Step: StepCreate, Err: err}
	}
	return &osDirectory{path: path}, nil
}

func (d *osDirectory) join(name string) string { return filepath.Join(d.path, name) }

// List implements Disk. It omits the lock file.
func (d *osDirectory) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if entry.Type().IsRegular() && entry.Name() != lockName {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

func (d *osDirectory) Read(name string) ([]byte, error) { return os.ReadFile(d.join(name)) }

func (d *osDirectory) Create(name string) (File, error) {
	return os.OpenFile(d.join(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

func (d *osDirectory) Rename(from, to string) error { return os.Rename(d.join(from), d.join(to)) }

func (d *osDirectory) Remove(name string) error {
	if err := os.Remove(d.join(name)); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

func (d *osDirectory) Sync() error {
	file, err := os.Open(d.path)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

// Lock implements Disk with an advisory lock, which the operating system releases when the process ends.
func (d *osDirectory) Lock() error {
	file, err := os.OpenFile(d.join(lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return err
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	switch {
	case err == nil:
		d.lock = file
		return nil
	case errors.Is(err, syscall.EWOULDBLOCK):
		err = fmt.Errorf("%s: %w", d.path, ErrInUse)
	default:
		err = &fs.PathError{
			Op:   "flock",
			Path: file.Name(),
			Err:  err,
		}
	}
	return errors.Join(err, file.Close())
}

func (d *osDirectory) Unlock() error {
	if d.lock == nil {
		return nil
	}
	file := d.lock
	d.lock = nil
	return file.Close()
}
