package trace

import (
	"cmp"
	"fmt"

	"grebeglade/trace/tracepb"
)

// toolName is the value of Header.Tool in recorded and merged files. Copies keep the value of the original.
const toolName = "grebeglade"

// SourceKey identifies one incarnation of an allocator across files.
type SourceKey struct {
	Allocator   string
	Incarnation uint64
}

// KeyOf returns the key of a source.
func KeyOf(s *tracepb.Source) SourceKey { return SourceKey{s.Allocator, s.Incarnation} }

// String returns allocator and incarnation, as in "allocator-1.5".
func (k SourceKey) String() string { return fmt.Sprintf("%s.%d", k.Allocator, k.Incarnation) }

// workloadKey identifies a workload across files.
type workloadKey struct {
	source SourceKey
	id     uint32
}

// CopyHeader returns a header for a file with records copied from a file with header h.
func CopyHeader(h *tracepb.Header) *tracepb.Header {
	return &tracepb.Header{
		Sources:    h.Sources,
		Anonymised: h.Anonymised,
		Tool:       cmp.Or(h.Tool, toolName),
	}
}
