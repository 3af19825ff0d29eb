package platform

import "grebeglade/internal/frontend/platform/codec"

// maxEarlyEnds is the number of ends that are remembered: far more than there are between a start and the handovers.
const maxEarlyEnds = 1024

// earlyEnd is the end of a workload that a node has reported.
type earlyEnd struct {
	node  string // name
	cause codec.Cause
}

// earlyEnds remembers the last ends that nodes have reported of workloads which are not known. Their clients may hand
// them over later: after a start, nodes send what they could not send before as soon as they are connected.
type earlyEnds struct {
	*recentMap[codec.Tag, earlyEnd]
}

func newEarlyEnds() earlyEnds { return earlyEnds{newRecentMap[codec.Tag, earlyEnd](maxEarlyEnds)} }

// of returns the end of a workload that its client says runs on the node with the given name.
func (e earlyEnds) of(tag codec.Tag, node string) (end earlyEnd, ok bool) {
	end, ok = e.get(tag)
	return end, ok && end.node == node
}
