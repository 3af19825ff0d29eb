package platform

import (
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// maxForgottenHandovers is the number of evicted handovers that are remembered. They use less than 0.5 MB.
const maxForgottenHandovers = 8192

// forgottenHandovers remembers the last handovers that were evicted although their workloads may run and their clients
// could not be told, each with its node.
type forgottenHandovers struct {
	*recentMap[codec.Tag, placement.NodeID]
}

func newForgottenHandovers() forgottenHandovers {
	return forgottenHandovers{newRecentMap[codec.Tag, placement.NodeID](maxForgottenHandovers)}
}

// takeOn removes the handover of a workload on a node. It returns false if there is none.
func (f forgottenHandovers) takeOn(n *node, tag codec.Tag) bool {
	id, ok := f.get(tag)
	if !ok || id != n.id {
		return false
	}
	f.remove(tag)
	return true
}
