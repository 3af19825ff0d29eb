package replay

import (
	"errors"
	"fmt"
)

var (
	// ErrNoStart means that the beginning of a trace is missing, so that the module's initial state is unknown.
	ErrNoStart = errors.New("the trace does not begin with the allocator's start record, so the module's initial state " +
		"is unknown; add the earlier files of the same allocator")
	// ErrAnonymised means that a trace is anonymised, and cannot be replayed since some decisions depend on the ids.
	ErrAnonymised = errors.New("the trace is anonymised and cannot be replayed: some decisions depend on the ids " +
		"themselves; replay the original")
	// ErrOtherDecision means that the module does not make the recorded decision, which thus cannot be reproduced.
	ErrOtherDecision = errors.New(
		"this program's module does not make the recorded decision on the recorded calls; see 'grebeglade trace replay'")
)

// GapError means that the recorder lost records, so that the module's state after them is unknown.
type GapError struct {
	Missing uint64 // number of lost records
	Reason  string // reason of the loss
}

func (e GapError) Error() string {
	return fmt.Sprintf("%d records are missing here (%s); the records after them cannot be replayed", e.Missing, e.Reason)
}

// RevisionError means that the revisions of successive records are not consecutive, for example if a file is missing.
type RevisionError struct {
	Previous uint64 // revision of the previous record
}

func (e RevisionError) Error() string {
	return fmt.Sprintf("the previous record has revision %d; a file is missing between them", e.Previous)
}

// NoRequestError means that a trace does not contain the request of a workload.
type NoRequestError struct {
	Workload uint32
}

func (e NoRequestError) Error() string {
	return fmt.Sprintf("the trace has no request of workload %d", e.Workload)
}
