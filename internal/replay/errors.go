package replay

import (
	"errors"
	"fmt"
)

var (
	// ErrNoStart means that the first part of a trace is missing: the module's state at its beginning is not known.
	ErrNoStart = errors.New("the trace does not begin with the allocator's start, so that the module's state is " +
		"unknown; give the earlier files of the same allocator too")
	// ErrAnonymised means that a trace is anonymised: some decisions depend on the ids themselves.
	ErrAnonymised = errors.New("the trace is anonymised and cannot be replayed: some decisions depend on the ids " +
		"themselves; replay the original")
	// ErrOtherDecision means that the module does not decide as recorded, so that there is nothing to reproduce.
	ErrOtherDecision = errors.New(
		"this program's module decides differently on the same calls; see 'grebeglade trace replay'")
)

// GapError means that the recorder lost records, so that the module's state after them is not known.
type GapError struct {
	Missing uint64 // records
	Reason  string // why they were lost
}

func (e GapError) Error() string {
	return fmt.Sprintf("%d records are missing here (%s); what follows cannot be replayed", e.Missing, e.Reason)
}

// RevisionError means that records are missing between two files.
type RevisionError struct {
	Previous uint64 // the last revision before the missing ones
}

func (e RevisionError) Error() string {
	return fmt.Sprintf("the previous record has revision %d; a file is missing between them", e.Previous)
}

// NoRequestError means that a trace does not hold the request of a workload.
type NoRequestError struct {
	Workload uint32
}

func (e NoRequestError) Error() string {
	return fmt.Sprintf("the trace has no request of workload %d", e.Workload)
}
