package emulator

import (
	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// pacedEvictionInterval is the time in ms between the evictions of a paced drain.
const pacedEvictionInterval = placement.Millis(300)

// NodeFaults are the active faults of a node.
type NodeFaults struct {
	Slowdown           float64 // multiplies the time of admissions and starts
	NeighbourShare     float64 // share of the machine's cores that another program uses
	ThrottledGroup     string  // group whose offers are rejected without a reason
	Surge              UsageSurge
	UnderreportedShare float64 // share of the load that reports omit
	StartsBlocked      bool    // offers are accepted, but nothing is started
}

// UsageSurge is a fault that multiplies the use of cores and memory by some services.
type UsageSurge struct {
	Group  string  // "" for every group
	Share  float64 // share of the services that surge
	Factor float64 // multiplies the usual use; no effect if at most 1
}

// factor returns the factor by which a surge multiplies the use of a task, or 1 if it does not affect the task.
func (s *UsageSurge) factor(t *Task) float64 {
	request := t.Offer.Request
	affected := (s.Group == "" || s.Group == request.Group) && serviceQuantile(request.Service+surgeSalt) < s.Share
	if s.Factor > 1 && affected {
		return s.Factor
	}
	return 1
}

// Drain starts or ends a drain, and announces it to the discovery service and, depending on the model, to allocators.
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
	n.scheduleWake()
}

// evictAll evicts all tasks of a draining node, together or at intervals, depending on the model's DrainMode.
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
	n.scheduleWake()
}

// DropCachedPrograms drops a share of the cached programs, the least recently used first.
func (n *Node) DropCachedPrograms(share float64) { n.programs.drop(share) }
