package storage

import (
	"errors"
	"fmt"
)

var (
	// ErrInUse reports that another process has locked the directory.
	ErrInUse = errors.New("another process holds the directory")
	// ErrBacklogFull reports that an entry was not written because too many others wait for the disk, which hangs or
	// does not keep up.
	ErrBacklogFull = errors.New("the disk does not keep up: too many entries wait for it")
)

// Causes of a CorruptionError. A log whose last record is truncated, or has a wrong checksum, is not corrupt.
var (
	ErrTruncated      = errors.New("the file ends within a record")
	ErrNotStateFile   = errors.New("not a file of a state directory")
	ErrHeaderChecksum = errors.New("the checksum of the header does not match")
	ErrRecordChecksum = errors.New("the checksum of a record does not match")
	ErrTrailingBytes  = errors.New("unexpected bytes follow the record")
)

// VersionError reports a file that a later version of the program has written.
type VersionError struct {
	File    string
	Version uint16 // of the file's format
}

func (e *VersionError) Error() string {
	const fix = "start the program that wrote it, or a newer one"
	return fmt.Sprintf("%s is of version %d and this program reads up to %d: %s", e.File, e.Version, formatVersion, fix)
}

// CorruptionError reports a file that was changed after it was written, as opposed to truncated by a crash.
type CorruptionError struct {
	File   string
	Offset int   // of the first byte that cannot be read
	Err    error // what is wrong there
}

func (e *CorruptionError) Error() string {
	const fix = "restore the directory from a backup, or see what 'grebeglade state repair' would drop"
	return fmt.Sprintf("%s is damaged at byte %d: %v; %s", e.File, e.Offset, e.Err, fix)
}

func (e *CorruptionError) Unwrap() error { return e.Err }

// Step is what was being done when the disk failed.
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

// DiskError reports that the disk failed, and in which step.
type DiskError struct {
	Step Step
	Err  error
}

func (e *DiskError) Error() string { return fmt.Sprintf("%s: %v", e.Step, e.Err) }

func (e *DiskError) Unwrap() error { return e.Err }

// diskError returns a *DiskError with a cause, and nil if the cause is nil.
func diskError(step Step, cause error) error {
	if cause == nil {
		return nil
	}
	return &DiskError{Step: step, Err: cause}
}

// lock locks a disk. The error is ErrInUse or a *DiskError.
func lock(disk Disk) error {
	err := disk.Lock()
	if errors.Is(err, ErrInUse) {
		return err // names the directory already
	}
	return diskError(StepLock, err)
}

func unlock(disk Disk) error { return diskError(StepUnlock, disk.Unlock()) }
