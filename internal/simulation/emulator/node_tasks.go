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
	contentionSlowdown = 4.0                   // added to the factor on start times for each time that demand exceeds the cores
)

// Task is a workload that was accepted.
type Task struct {
	Offer        *pb.Offer
	group        *scenario.GroupModel
	running      bool
	ended        bool
	confirmed    bool // its gang has started
	RunningSince placement.Millis
	cores        float64 // in use while it runs
	memory       float64
}

func (n *Node) startNext(now placement.Millis) {
	for n.starting < n.model.ConcurrentStarts && len(n.toStart) > 0 && !n.StartsBlocked {
		t := n.toStart[0]
		n.toStart = n.toStart[1:]
		if t.ended {
			continue
		}
		n.starting++
		n.timers.Schedule(now+n.startTime(now, t), func(now placement.Millis) {
			n.starting--
			if !t.ended {
				n.started(now, t)
			}
			n.startNext(now)
		})
	}
}

func (n *Node) startTime(now placement.Millis, t *Task) placement.Millis {
	work := float64(t.group.StartTime) * n.Slowdown
	s := t.Offer.Ask.Service
	if !slices.Contains(n.programs, s) &&
		!slices.ContainsFunc(n.tasks, func(o *Task) bool { return o.running && o.Offer.Ask.Service == s }) {
		work *= n.model.UncachedStartFactor
	}
	pace, _ := n.warmUpRate(now)
	work *= 1 + contentionSlowdown*max(0, n.coreDemand()-1)
	return placement.Millis(work / pace)
}

func (n *Node) started(now placement.Millis, t *Task) {
	t.running = true
	if n.OnRunning != nil {
		n.OnRunning(t, true)
	}
	t.cores = t.Offer.Ask.Cores * t.group.CoreUse * ServiceFactor(t.Offer.Ask.Service)
	t.memory = t.Offer.Ask.Memory * t.group.MemoryUse * ServiceFactor(t.Offer.Ask.Service+1)
	n.programs = slices.DeleteFunc(n.programs, func(s uint64) bool { return s == t.Offer.Ask.Service })
	if n.model.ConfirmsRunning {
		n.answer(now, t.Offer.Bind, &pb.OfferAnswer{Bind: t.Offer.Bind, Accepted: true, Load: n.loadNow(now)})
	} else {
		n.note(t, pb.Note_RUNNING, 1)
	}
	n.timers.Schedule(now+placement.Millis(t.Offer.Ask.RunsForMs), func(now placement.Millis) { n.end(now, t, pb.Why_FINISHED) })
	n.timers.Schedule(now+firstUsageNote, func(now placement.Millis) { n.noteUse(now, t) })
}

func (n *Node) note(t *Task, k pb.Note_Kind, value float64) {
	n.sendTo(t.Offer.Bind.Allocator, &pb.Frame{Body: &pb.Frame_Note{Note: &pb.Note{Bind: t.Offer.Bind, Kind: k, Value: value}}})
}

func (n *Node) noteUse(now placement.Millis, t *Task) {
	if t.ended {
		return
	}
	n.note(t, pb.Note_CORES_USED, t.cores*n.surgeFactor(t))
	n.timers.Schedule(now+usageNoteInterval, func(now placement.Millis) { n.noteUse(now, t) })
}

// end takes a workload off the node.
func (n *Node) end(now placement.Millis, t *Task, why pb.Why) {
	if t.ended {
		return
	}
	t.ended = true
	n.tasks = slices.DeleteFunc(n.tasks, func(o *Task) bool { return o == t })
	delete(n.byBind, observer.KeyOf(t.Offer.Bind))
	if t.running && n.OnRunning != nil {
		n.OnRunning(t, false)
	}
	if t.running && n.model.CachedPrograms > 0 {
		s := t.Offer.Ask.Service
		n.programs = slices.DeleteFunc(n.programs, func(o uint64) bool { return o == s })
		if n.programs = append(n.programs, s); len(n.programs) > n.model.CachedPrograms {
			n.programs = n.programs[1:]
		}
	}
	if !t.running && n.model.ConfirmsRunning {
		n.answer(now, t.Offer.Bind, &pb.OfferAnswer{Bind: t.Offer.Bind, Why: why, Text: "ended before it ran", Load: n.loadNow(now)})
		return
	}
	n.sendTo(t.Offer.Bind.Allocator, &pb.Frame{Body: &pb.Frame_End{End: &pb.End{Bind: t.Offer.Bind, Why: why, Load: n.loadNow(now)}}})
}

// Stop ends the accounting of what runs on the node.
func (n *Node) Stop() {
	for _, t := range n.tasks {
		if t.running && n.OnRunning != nil {
			n.OnRunning(t, false)
		}
	}
}
