package storage

import (
	"errors"
	"fmt"
)

var (
	// ErrInUse means that another process has locked the directory.
	ErrInUse = errors.New("another process holds the directory")
	// ErrBacklogFull means that an entry was not written because the queue of the Writer is full: the disk hangs or is
	// too slow.
	ErrBacklogFull = errors.New("the disk does not keep up: too many entries wait for it")
)

// Causes of a CorruptionError. A log whose last record is truncated or has a wrong checksum is not corrupt: a crash can
// cause both.
var (
	ErrTruncated      = errors.New("the file ends within a record")
	ErrNotStateFile   = errors.New("not a file of a state directory")
	ErrHeaderChecksum = errors.New("the checksum of the header does not match")
	ErrRecordChecksum = errors.New("the checksum of a record does not match")
	ErrTrailingBytes  = errors.New("unexpected bytes follow the record")
)

// VersionError means that a file was written by a later version of the program.
type VersionError struct {
	File    string
	Version uint16 // format version of the file
}

func (e *VersionError) Error() string {
	const remedy = "start the program that wrote it, or a newer one"
	return fmt.Sprintf("%s is of version %d and this program reads up to %d: %s",
		e.File, e.Version, formatVersion, remedy)
}

// CorruptionError means that a file was changed after it was written, as opposed to truncated by a crash.
type CorruptionError struct {
	File   string
	Offset int   // byte offset from which the file cannot be read
	Err    error // cause
}

func (e *CorruptionError) Error() string {
	const remedy = "restore the directory from a backup, or see what 'grebeglade state repair' would drop"
	return fmt.Sprintf("%s is damaged at byte %d: %v; %s", e.File, e.Offset, e.Err, remedy)
}

func (e *CorruptionError) Unwrap() error { return e.Err }

// Step is the action during which the disk failed.
type Step string

// Steps of a DiskError.
const (
	StepCreate Step = "create the state directory"
	StepLock   Step = "lock the state directory"
	StepUnlock Step = "unlock the state directory"
	StepList   Step = "list the state directory"
	StepRead   Step = "read the state"
	StepBegin  Step = "begin an incarnation in the state directory"
	StepAppend Step = "append to the log"
	StepRotate Step = "replace the log by a snapshot"
	StepClose  Step = "close the log"
	StepRepair Step = "repair the state directory"
)

// DiskError means that a disk operation failed.
type DiskError struct {
	Step Step
	Err  error
}

func (e *DiskError) Error() string { return fmt.Sprintf("%s: %v", e.Step, e.Err) }

func (e *DiskError) Unwrap() error { return e.Err }

// diskError wraps cause in a *DiskError. It returns nil if cause is nil.
func diskError(step Step, cause error) error {
	if cause == nil {
		return nil
	}
	return &DiskError{Step: step, Err: cause}
}

// lock locks a disk. The error matches ErrInUse or is a *DiskError.
func lock(disk Disk) error {
	err := disk.Lock()
	if errors.Is(err, ErrInUse) {
		return err // the text already contains the path of the directory
	}
	return diskError(StepLock, err)
}

func unlock(disk Disk) error { return diskError(StepUnlock, disk.Unlock()) }
