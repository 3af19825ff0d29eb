package emulator

import (
	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// pacedEvictionInterval is the time in ms between the evictions of a paced drain.
const pacedEvictionInterval = placement.Millis(300)

// NodeFaults are the faults that a node suffers at present.
type NodeFaults struct {
	Slowdown           float64 // multiplies the time of admissions and starts
	NeighbourShare     float64 // share of the machine that another program takes
	ThrottledGroup     string  // group whose offers are rejected without a reason
	Surge              UsageSurge
	UnderreportedShare float64 // share of the load that is left out of reports
	StartsBlocked      bool    // offers are accepted, but nothing is started
}

// UsageSurge is a fault: some services use far more than they requested.
type UsageSurge struct {
	Group  string  // "" for every group
	Share  float64 // share of the services that surge
	Factor float64 // multiplies their usual use
}

// factor returns the factor by which a surge multiplies the use of a task, 1 without a surge.
func (s *UsageSurge) factor(t *Task) float64 {
	request := t.Offer.Request
	affected := (s.Group == "" || s.Group == request.Group) && serviceQuantile(request.Service+surgeSalt) < s.Share
	if s.Factor > 1 && affected {
		return s.Factor
	}
	return 1
}

// Drain sets whether the node drains, and announces it.
func (n *Node) Drain(now placement.Millis, draining bool) {
	n.draining = draining
	n.register(now)
	if n.model.AnnouncesDrain {
		for _, conn := range n.allocators.readyConns() {
			n.network.Send(conn, drainFrame(draining))
		}
	}
	if draining && n.model.DrainMode != scenario.DrainKeeps {
		n.evictAll(now)
	}
	n.wake()
}

// evictAll evicts all tasks of a draining node, at once or one by one as its model says.
func (n *Node) evictAll(now placement.Millis) {
	for n.draining && len(n.tasks.all) > 0 {
		n.endTask(now, n.tasks.all[0], pb.Reason_DRAINED)
		if n.model.DrainMode == scenario.DrainPaced {
			n.timers.Schedule(now+pacedEvictionInterval, n.evictAll)
			return
		}
	}
}

// UnblockStarts starts the tasks that were accepted while starts were blocked.
func (n *Node) UnblockStarts(now placement.Millis) {
	n.StartsBlocked = false
	n.startNext(now)
	n.wake()
}

// DropCachedPrograms drops a share of the cached programs, the least recently used first.
func (n *Node) DropCachedPrograms(share float64) { n.programs.drop(share) }
