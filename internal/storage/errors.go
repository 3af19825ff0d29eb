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
	ErrTruncated      = errors.New("it ends in the middle of a record")
	ErrNotStateFile   = errors.New("it is no file of a state directory")
	ErrHeaderChecksum = errors.New("its header does not agree with its checksum")
	ErrRecordChecksum = errors.New("a record does not agree with its checksum")
	ErrTrailingBytes  = errors.New("something stands behind its record")
)

// VersionError reports a file that a later version of the program has written.
type VersionError struct {
	File    string
	Version uint16 // of the file's format
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("%s is of version %d and this program reads up to %d: start the program that wrote it, or a newer one",
		e.File, e.Version, formatVersion)
}

// CorruptionError reports a file that was changed after it was written, as opposed to truncated by a crash.
type CorruptionError struct {
	File   string
	Offset int   // of the first byte that cannot be read
	Err    error // what is wrong there
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %v; restore the directory from a backup, or see what 'grebeglade state repair' would drop",
		e.File, e.Offset, e.Err)
}

func (e *CorruptionError) Unwrap() error { return e.Err }

// Step is what was to be done with the disk that failed.
type Step string

// Steps of a DiskError.
const (
	StepList   Step = "read the state directory"
	StepRead   Step = "read the state"
	StepBegin  Step = "begin in the state directory"
	StepAppend Step = "append to the log"
	StepRotate Step = "replace the log by a snapshot"
)

// DiskError reports something that could not be read from the disk, or written to it.
type DiskError struct {
	Step Step
	Err  error
}

func (e *DiskError) Error() string { return fmt.Sprintf("%s: %v", e.Step, e.Err) }

func (e *DiskError) Unwrap() error { return e.Err }
