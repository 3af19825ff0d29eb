package emulator

import (
	"slices"

	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	usageNoteInterval  = placement.Millis(5e3) // ms between the usage notes of a workload
	firstUsageNote     = placement.Millis(800) // ms from a workload's start to its first usage note
	contentionSlowdown = 4.0                   // relative increase of start times for each unit of core demand above 1
)

// Task is an accepted workload.
type Task struct {
	Offer        *pb.Offer
	group        *scenario.GroupModel
	running      bool
	ended        bool
	confirmed    bool // its allocator has confirmed that the gang runs
	RunningSince placement.Millis
	cores        float64 // in use while it runs
	memory       float64
}

// startNext starts pending tasks up to the limit of concurrent starts.
func (n *Node) startNext(now placement.Millis) {
	for n.startsInProgress < n.model.ConcurrentStarts && len(n.pendingStarts) > 0 && !n.StartsBlocked {
		t := n.pendingStarts[0]
		n.pendingStarts = n.pendingStarts[1:]
		if t.ended {
			continue
		}
		n.startsInProgress++
		n.timers.Schedule(now+n.startTime(now, t), func(now placement.Millis) {
			n.startsInProgress--
			if !t.ended {
				n.taskStarted(now, t)
			}
			n.startNext(now)
		})
	}
}

// startTime returns how long a start takes, which depends on the program cache, the warm-up and the contention for cores.
func (n *Node) startTime(now placement.Millis, t *Task) placement.Millis {
	work := float64(t.group.StartTime) * n.Slowdown
	service := t.Offer.Request.Service
	runs := func(other *Task) bool { return other.running && other.Offer.Request.Service == service }
	if !slices.Contains(n.cachedPrograms, service) && !slices.ContainsFunc(n.tasks, runs) {
		work *= n.model.UncachedStartFactor
	}
	rate, _ := n.warmUpRate(now)
	work *= 1 + contentionSlowdown*max(0, n.coreDemand()-1)
	return placement.Millis(work / rate)
}

// taskStarted marks a task as running, notifies its allocator, and schedules its end.
func (n *Node) taskStarted(now placement.Millis, t *Task) {
	t.running = true
	if n.OnRunning != nil {
		n.OnRunning(t, true)
	}
	t.cores = t.Offer.Request.Cores * t.group.CoreUse * ServiceFactor(t.Offer.Request.Service)
	t.memory = t.Offer.Request.Memory * t.group.MemoryUse * ServiceFactor(t.Offer.Request.Service+1)
	n.removeCachedProgram(t.Offer.Request.Service)
	if n.model.ConfirmsRunning {
		n.answer(now, t.Offer.Bind, &pb.OfferReply{
			Bind:     t.Offer.Bind,
			Accepted: true,
			Load:     n.loadNow(now),
		})
	} else {
		n.sendNote(t, pb.UsageReport_RUNNING, 1)
	}
	n.timers.Schedule(now+placement.Millis(t.Offer.Request.ExpectedRuntimeMs), func(now placement.Millis) { n.endTask(now, t, pb.Reason_FINISHED) })
	n.timers.Schedule(now+firstUsageNote, func(now placement.Millis) { n.sendUsageNote(now, t) })
}

// sendNote sends a note about a task to its allocator.
func (n *Node) sendNote(t *Task, kind pb.UsageReport_Kind, value float64) {
	n.sendTo(t.Offer.Bind.Allocator, &pb.Frame{Body: &pb.Frame_UsageReport{UsageReport: &pb.UsageReport{
		Bind:  t.Offer.Bind,
		Kind:  kind,
		Value: value,
	}}})
}

// sendUsageNote reports the cores that a task uses, and repeats until the task ends.
func (n *Node) sendUsageNote(now placement.Millis, t *Task) {
	if t.ended {
		return
	}
	n.sendNote(t, pb.UsageReport_CORES_USED, t.cores*n.surgeFactor(t))
	n.timers.Schedule(now+usageNoteInterval, func(now placement.Millis) { n.sendUsageNote(now, t) })
}

// endTask removes a task from the node and notifies its allocator.
func (n *Node) endTask(now placement.Millis, t *Task, why pb.Reason) {
	if t.ended {
		return
	}
	t.ended = true
	n.tasks = slices.DeleteFunc(n.tasks, func(other *Task) bool { return other == t })
	delete(n.byBind, observer.KeyOf(t.Offer.Bind))
	if t.running && n.OnRunning != nil {
		n.OnRunning(t, false)
	}
	if t.running && n.model.CachedPrograms > 0 {
		n.cacheProgram(t.Offer.Request.Service)
	}
	if !t.running && n.model.ConfirmsRunning {
		n.answer(now, t.Offer.Bind, &pb.OfferReply{
			Bind:   t.Offer.Bind,
			Reason: why,
			Text:   "ended before it ran",
			Load:   n.loadNow(now),
		})
		return
	}
	n.sendTo(t.Offer.Bind.Allocator, &pb.Frame{Body: &pb.Frame_End{End: &pb.End{
		Bind:   t.Offer.Bind,
		Reason: why,
		Load:   n.loadNow(now),
	}}})
}

// cacheProgram makes a service's program the most recently used one, and drops the least recently used beyond the limit.
func (n *Node) cacheProgram(service uint64) {
	n.removeCachedProgram(service)
	if n.cachedPrograms = append(n.cachedPrograms, service); len(n.cachedPrograms) > n.model.CachedPrograms {
		n.cachedPrograms = n.cachedPrograms[1:]
	}
}

func (n *Node) removeCachedProgram(service uint64) {
	n.cachedPrograms = slices.DeleteFunc(n.cachedPrograms, func(cached uint64) bool { return cached == service })
}

// Stop ends the accounting of running tasks.
func (n *Node) Stop() {
	for _, t := range n.tasks {
		if t.running && n.OnRunning != nil {
			n.OnRunning(t, false)
		}
	}
}
