package network

import (
	"math/rand/v2"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// FrameFaults are faults of the frames that a process receives. Each frame is selected independently. A delayed frame
// delays the later frames of its connection unless Reorder is set.
type FrameFaults struct {
	Share     float64          // share of the frames that is selected
	Duplicate bool             // selected frames are delivered twice, unless they are delayed or their order matters
	Delay     placement.Millis // longest delay of a selected frame; 0 for no delay
	Reorder   bool             // frames may overtake others of their connection, unless their order matters

	Random *rand.Rand // draws the selected frames and their delays
}

// selectsNext draws whether the next frame is selected. It returns false if f is nil.
func (f *FrameFaults) selectsNext() bool {
	return f != nil && f.Random.Float64() < f.Share
}

// drawDelay draws the delay of a selected frame.
func (f *FrameFaults) drawDelay() placement.Millis {
	if f.Delay <= 0 {
		return 0
	}
	return f.Delay * placement.Millis(f.Random.Float64())
}

// mayReorder reports whether a frame may be delivered out of order. It returns false if f is nil.
func (f *FrameFaults) mayReorder(frame *pb.Frame) bool {
	return f != nil && f.Reorder && !orderMatters(frame)
}

// frameDelays are the faults of the frames that a process receives, and the delays that they cause.
type frameDelays struct {
	faults   *FrameFaults                          // nil for none
	until    map[transport.ConnID]placement.Millis // delivery time of the last delayed frame
	schedule func(at placement.Millis, do func(now placement.Millis))
}

// SetFrameFaults sets the faults of received frames, nil for none. The function schedules a call on the process's
// goroutine at a host time.
func (i *Interceptor) SetFrameFaults(
	faults *FrameFaults, schedule func(at placement.Millis, do func(now placement.Millis)),
) {
	i.delays.faults = faults
	i.delays.schedule = schedule
}

// active reports whether a frame may have to be duplicated or delayed. Frames behind delayed ones are still delayed
// after the faults have ended.
func (d *frameDelays) active() bool {
	return d.faults != nil || len(d.until) > 0
}

// delay schedules the delivery of a frame if it is due after now, or if it must not overtake a delayed frame of its
// connection. It reports whether it has scheduled the delivery.
func (d *frameDelays) delay(
	now, due placement.Millis, conn transport.ConnID, frame *pb.Frame, deliver func(now placement.Millis),
) bool {
	if d.faults.mayReorder(frame) {
		if due <= now {
			return false
		}
		d.schedule(due, deliver)
		return true
	}
	until, delayed := d.until[conn]
	if delayed && until < now {
		delete(d.until, conn)
		delayed = false
	}
	due = max(due, until)
	if due <= now && !delayed {
		return false
	}
	d.until[conn] = due
	d.schedule(due, deliver)
	return true
}

// orderMatters reports whether the protocol depends on the order of a frame: a hello comes first, discovery updates are
// incremental, and a withdrawal follows its request.
func orderMatters(frame *pb.Frame) bool {
	switch frame.Body.(type) {
	case *pb.Frame_Hello, *pb.Frame_Refusal, *pb.Frame_Withdraw, *pb.Frame_Register:
		return true
	case *pb.Frame_NodeListUpdate, *pb.Frame_NodeListRequest:
		return true
	}
	return false
}

// applyFaults delays or duplicates a received frame according to the faults. If it returns false, the caller delivers
// the frame.
func (i *Interceptor) applyFaults(now placement.Millis, conn transport.ConnID, frame *pb.Frame) bool {
	faults := i.delays.faults
	selected := faults.selectsNext()
	due := now
	if selected {
		due += faults.drawDelay()
	}
	deliver := func(now placement.Millis) {
		if i.conns[conn] {
			i.deliverFrame(now, conn, frame)
		}
	}
	if i.delays.delay(now, due, conn, frame, deliver) {
		return true
	}
	if selected && faults.Duplicate && !orderMatters(frame) {
		deliver(now)
		deliver(now)
		return true
	}
	return false
}
