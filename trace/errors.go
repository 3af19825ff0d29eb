package trace

import (
	"errors"
	"fmt"
)

var (
	// ErrEmpty means that the file has no header, for example after a crash right after its creation.
	ErrEmpty = errors.New("the file is empty")
	// ErrNotTrace means that the file does not begin with the magic of a trace file.
	ErrNotTrace = errors.New("not a trace file")
	// ErrClosed means that a Writer was used after Close.
	ErrClosed = errors.New("the trace writer is closed")
)

// VersionError means that a file has a later major version than this package can read.
type VersionError struct {
	Major uint16
	Minor uint16
}

func (e VersionError) Error() string {
	return fmt.Sprintf("the trace is of format %d.%d and this program reads %d.x: read it with a newer grebeglade",
		e.Major, e.Minor, Major)
}

// DamageError means that a part of a file cannot be read.
type DamageError struct {
	Offset      int64  // position of the part in the file, in bytes
	LostRecords uint64 // number of records in the part, 0 if unknown
	Problem     string // description of the damage
}

func (e DamageError) Error() string {
	if e.LostRecords > 0 {
		return fmt.Sprintf("at byte %d: %s; %d records cannot be read", e.Offset, e.Problem, e.LostRecords)
	}
	return fmt.Sprintf("at byte %d: %s", e.Offset, e.Problem)
}

// SizeError means that a part of a trace is larger than the format allows.
type SizeError struct {
	Part  string // name of the part, such as "a record"
	Size  int    // in bytes
	Limit int    // in bytes
}

func (e SizeError) Error() string {
	return fmt.Sprintf("%s of %d bytes is over the limit of %d", e.Part, e.Size, e.Limit)
}
