package emulator

import (
	"math"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// pacedEvictionInterval is the time in ms between the evictions of a paced drain.
const pacedEvictionInterval = placement.Millis(300)

// UsageSurge is resource use far above what was requested.
type UsageSurge struct {
	Group  string  // "" for every group
	Share  float64 // of the services, that surge
	Factor float64 // of their usual use
}

// excess is how many times its usual use a workload now has.
func (n *Node) surgeFactor(t *Task) float64 {
	w, a := n.Surge, t.Offer.Ask
	if w.Factor > 1 && (w.Group == "" || w.Group == a.Group) && ServiceFactor(a.Service+2)-0.5 < w.Share {
		return w.Factor
	}
	return 1
}

// Drain sets whether the node drains, and announces it.
func (n *Node) Drain(now placement.Millis, draining bool) {
	n.now = now
	n.draining = draining
	n.register(now)
	if n.model.AnnouncesDrain {
		for _, c := range n.allocators() {
			n.net.Send(c, &pb.Frame{Body: &pb.Frame_Drain{Drain: &pb.Drain{Draining: draining}}})
		}
	}
	if draining && n.model.DrainMode != scenario.DrainKeeps {
		n.evictAll(now)
	}
	n.wake()
}

func (n *Node) evictAll(now placement.Millis) {
	for n.draining && len(n.tasks) > 0 {
		n.end(now, n.tasks[0], pb.Why_SENT_AWAY)
		if n.model.DrainMode == scenario.DrainPaced {
			n.timers.Schedule(now+pacedEvictionInterval, n.evictAll)
			return
		}
	}
}

// UnblockStarts starts what was accepted while starts were blocked.
func (n *Node) UnblockStarts(now placement.Millis) {
	n.now, n.StartsBlocked = now, false
	n.startNext(now)
	n.wake()
}

// DropCachedPrograms drops that share of the cached programs.
func (n *Node) DropCachedPrograms(share float64) {
	n.programs = n.programs[int(math.Ceil(share*float64(len(n.programs)))):]
}
