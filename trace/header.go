package trace

import (
	"cmp"
	"fmt"

	"grebeglade/trace/tracepb"
)

// toolName is the program that a header names as the file's writer.
const toolName = "grebeglade"

// sourceKey identifies one incarnation of an allocator across files.
type sourceKey struct {
	allocator   string
	incarnation uint64
}

func keyOf(s *tracepb.Source) sourceKey { return sourceKey{s.Allocator, s.Incarnation} }

func (k sourceKey) String() string { return fmt.Sprintf("%s.%d", k.allocator, k.incarnation) }

// workloadKey identifies a workload across files.
type workloadKey struct {
	source sourceKey
	id     uint32
}

// CopyHeader returns a header for a file with records of another one.
func CopyHeader(h *tracepb.Header) *tracepb.Header {
	return &tracepb.Header{Sources: h.Sources, Anonymised: h.Anonymised, Tool: cmp.Or(h.Tool, toolName)}
}
