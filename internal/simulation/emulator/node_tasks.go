package emulator

import (
	"math"
	"slices"

	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	usageReportInterval = placement.Millis(5e3) // ms between the usage reports of a workload
	firstUsageReport    = placement.Millis(800) // ms from a workload's start to its first usage report
	contentionSlowdown  = 4.0                   // relative increase of start times per unit of core demand above 1
)

// Task is an accepted workload.
type Task struct {
	Offer        *pb.Offer
	group        *scenario.GroupModel
	running      bool
	ended        bool
	confirmed    bool // the allocator has confirmed that the gang runs
	RunningSince placement.Millis
	cores        float64 // cores in use while it runs
	memory       float64 // memory in use while it runs
}

// taskList holds a node's tasks.
type taskList struct {
	all              []*Task // tasks in order of acceptance
	byBind           map[observer.BindKey]*Task
	pendingStarts    []*Task
	startsInProgress int
}

func (l *taskList) add(t *Task) {
	l.all = append(l.all, t)
	l.byBind[observer.KeyOf(t.Offer.Bind)] = t
}

func (l *taskList) remove(t *Task) {
	l.all = slices.DeleteFunc(l.all, func(other *Task) bool { return other == t })
	delete(l.byBind, observer.KeyOf(t.Offer.Bind))
}

// has reports whether a task with that workload key was accepted and has not ended.
func (l *taskList) has(key uint64) bool {
	return slices.ContainsFunc(l.all, func(t *Task) bool { return t.Offer.Request.Key == key })
}

// runsService reports whether a task of a service runs.
func (l *taskList) runsService(service uint64) bool {
	return slices.ContainsFunc(l.all, func(t *Task) bool { return t.running && t.Offer.Request.Service == service })
}

// startBacklog returns the number of tasks that are starting or queued for their start.
func (l *taskList) startBacklog() int { return len(l.pendingStarts) + l.startsInProgress }

// requestedCapacity returns the cores and memory that the accepted tasks request.
func (l *taskList) requestedCapacity() (cores, memory float64) {
	for _, t := range l.all {
		cores += t.Offer.Request.Cores
		memory += t.Offer.Request.Memory
	}
	return cores, memory
}

// startNext starts pending tasks up to the limit of concurrent starts.
func (n *Node) startNext(now placement.Millis) {
	tasks := &n.tasks
	for tasks.startsInProgress < n.model.ConcurrentStarts && len(tasks.pendingStarts) > 0 && !n.StartsBlocked {
		t := tasks.pendingStarts[0]
		tasks.pendingStarts = tasks.pendingStarts[1:]
		if t.ended {
			continue
		}
		tasks.startsInProgress++
		n.timers.Schedule(now+n.startTime(now, t), func(now placement.Millis) {
			tasks.startsInProgress--
			if !t.ended {
				n.taskStarted(now, t)
			}
			n.startNext(now)
		})
	}
}

// startTime returns the duration of a start. It depends on the group, the program cache, the warm-up, the contention
// for cores and the Slowdown fault.
func (n *Node) startTime(now placement.Millis, t *Task) placement.Millis {
	work := float64(t.group.StartTime) * n.Slowdown
	service := t.Offer.Request.Service
	if !n.programs.has(service) && !n.tasks.runsService(service) {
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
	request := t.Offer.Request
	t.cores = request.Cores * t.group.CoreUse * CoreUseFactor(request.Service)
	t.memory = request.Memory * t.group.MemoryUse * MemoryUseFactor(request.Service)
	n.programs.remove(request.Service) // running programs do not count against the cache limit
	if n.model.ConfirmsRunning {
		n.confirm(now, t.Offer)
	} else {
		n.sendReport(t, pb.UsageReport_RUNNING, 1)
	}
	runtime := placement.Millis(request.ExpectedRuntimeMs)
	n.timers.Schedule(now+runtime, func(now placement.Millis) { n.endTask(now, t, pb.Reason_FINISHED) })
	n.timers.Schedule(now+firstUsageReport, func(now placement.Millis) { n.reportUsage(now, t) })
}

// sendReport sends a report about a task to its allocator.
func (n *Node) sendReport(t *Task, kind pb.UsageReport_Kind, value float64) {
	n.sendTo(t.Offer.Bind.Allocator, &pb.Frame{Body: &pb.Frame_UsageReport{UsageReport: &pb.UsageReport{
		Bind:  t.Offer.Bind,
		Kind:  kind,
		Value: value,
	}}})
}

// reportUsage reports the cores that a task uses, and repeats until the task ends.
func (n *Node) reportUsage(now placement.Millis, t *Task) {
	if t.ended {
		return
	}
	n.sendReport(t, pb.UsageReport_CORES_USED, t.cores*n.Surge.factor(t))
	n.timers.Schedule(now+usageReportInterval, func(now placement.Millis) { n.reportUsage(now, t) })
}

// endTask removes a task from the node and notifies its allocator. It does nothing for an ended task.
func (n *Node) endTask(now placement.Millis, t *Task, reason pb.Reason) {
	if t.ended {
		return
	}
	t.ended = true
	n.tasks.remove(t)
	if t.running {
		if n.OnRunning != nil {
			n.OnRunning(t, false)
		}
		n.programs.add(t.Offer.Request.Service)
	}
	if !t.running && n.model.ConfirmsRunning {
		n.answer(&pb.OfferReply{
			Bind:   t.Offer.Bind,
			Reason: reason,
			Text:   "ended before it ran",
			Load:   n.load.at(now),
		})
		return
	}
	n.sendTo(t.Offer.Bind.Allocator, endFrame(&pb.End{
		Bind:   t.Offer.Bind,
		Reason: reason,
		Load:   n.load.at(now),
	}))
}

// Stop calls OnRunning for the end of each running task. No frames are sent.
func (n *Node) Stop() {
	for _, t := range n.tasks.all {
		if t.running && n.OnRunning != nil {
			n.OnRunning(t, false)
		}
	}
}

// programCache holds the programs of services of which a task has ended on a node and none has started since, up to a
// limit.
type programCache struct {
	limit    int
	services []uint64 // most recently used last
}

func (c *programCache) has(service uint64) bool { return slices.Contains(c.services, service) }

// add makes a service's program the most recently used one, and evicts the least recently used one beyond the limit.
func (c *programCache) add(service uint64) {
	if c.limit <= 0 {
		return
	}
	c.remove(service)
	c.services = append(c.services, service)
	if len(c.services) > c.limit {
		c.services = c.services[1:]
	}
}

func (c *programCache) remove(service uint64) {
	c.services = slices.DeleteFunc(c.services, func(cached uint64) bool { return cached == service })
}

// drop drops a share of the programs, the least recently used first.
func (c *programCache) drop(share float64) {
	count := int(math.Ceil(share * float64(len(c.services))))
	c.services = c.services[count:]
}
