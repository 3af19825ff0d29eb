package network

import (
	"math/rand/v2"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// FrameFaults are faults of the frames that reach a process. Each frame is hit independently; a delayed frame delays
// those behind it on its connection unless frames may be reordered.
type FrameFaults struct {
	Share     float64          // of the frames
	Duplicate bool             // delivered twice
	Delay     placement.Millis // the longest delay
	Reorder   bool             // frames of one connection may come in another order

	Random *rand.Rand // chooses the frames and their delays
}

// hitsNext draws whether the next frame is hit. No faults, nil, hit none.
func (f *FrameFaults) hitsNext() bool {
	return f != nil && f.Random.Float64() < f.Share
}

// drawDelay draws the delay of a frame that is hit.
func (f *FrameFaults) drawDelay() placement.Millis {
	if f.Delay <= 0 {
		return 0
	}
	return f.Delay * placement.Millis(f.Random.Float64())
}

// mayReorder reports whether a frame may be overtaken by others. Without faults, nil, none may.
func (f *FrameFaults) mayReorder(frame *pb.Frame) bool {
	return f != nil && f.Reorder && !orderMatters(frame)
}

// frameDelays are the faults of the frames that reach a process, and the frames that they delay.
type frameDelays struct {
	faults   *FrameFaults                          // nil for none
	until    map[transport.ConnID]placement.Millis // until when delayed frames wait
	schedule func(at placement.Millis, do func(now placement.Millis))
}

// SetFrameFaults sets the faults of received frames, nil for none. The function schedules calls on the process's
// goroutine by the host's clock.
func (i *Interceptor) SetFrameFaults(
	faults *FrameFaults, schedule func(at placement.Millis, do func(now placement.Millis)),
) {
	i.delays.faults = faults
	i.delays.schedule = schedule
}

// active reports whether a frame may have to be changed or delayed. Frames that are behind delayed ones are still
// delayed once the faults have ended.
func (d *frameDelays) active() bool {
	return d.faults != nil || len(d.until) > 0
}

// delay schedules the delivery of a frame that is due at a time, if it is later than now or if the frame is behind a
// delayed one on a connection that keeps its order. It reports whether it did.
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
	until, waiting := d.until[conn]
	if waiting && until < now {
		delete(d.until, conn)
		waiting = false
	}
	due = max(due, until)
	if due <= now && !waiting {
		return false
	}
	d.until[conn] = due
	d.schedule(due, deliver)
	return true
}

// orderMatters reports whether the protocol depends on a frame's place among the others: a hello comes first, discovery
// updates build on one another, and a client withdraws what it has requested.
func orderMatters(frame *pb.Frame) bool {
	switch frame.Body.(type) {
	case *pb.Frame_Hello, *pb.Frame_Refusal, *pb.Frame_Withdraw, *pb.Frame_Register:
		return true
	case *pb.Frame_NodeListUpdate, *pb.Frame_NodeListRequest:
		return true
	}
	return false
}

// applyFaults delays or duplicates a received frame as the faults say, and reports whether it did. Otherwise the caller
// delivers the frame.
func (i *Interceptor) applyFaults(now placement.Millis, conn transport.ConnID, frame *pb.Frame) bool {
	faults := i.delays.faults
	hit := faults.hitsNext()
	due := now
	if hit {
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
	if hit && faults.Duplicate && !orderMatters(frame) {
		deliver(now)
		deliver(now)
		return true
	}
	return false
}
