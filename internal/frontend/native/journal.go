package native

import (
	"grebeglade/internal/eventlog"
	"grebeglade/internal/recovery"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// unix is a time of the clock's as one that the next life knows too.
func (p *Frontend) unix(now placement.Millis) float64 { return p.c.WallClockOffset + float64(now) }

// knew answers an ask by what was written down, and tells whether it did. The answer is right at once: nobody waits for
// what nobody can find out.
func (p *Frontend) knew(now placement.Millis, c transport.ConnID, a *pb.Ask) bool {
	verdict, reason := pb.Verdict_UNSCHEDULABLE, "a bind of this key went out before; it may have run"
	switch p.book.CheckAdmission(p.unix(now), a.Key, a.Group) {
	case recovery.Admit:
		return false
	case recovery.RegistryFull:
		verdict, reason = pb.Verdict_REJECTED, "the state directory knows as many keys as it may; raise state.most, or ask another"
	}
	p.Counters.AnsweredFromJournal++
	p.record.Add(eventlog.Event{At: now, Kind: eventlog.NotAdmitted})
	p.answer(c, a.Ask, verdict, 0, reason)
	return true
}

// write has a bind last before its offer leaves. What was called off, timed out or ended meanwhile does not leave any more,
// nor does it where what it was decided by has changed: the node drains, is gone or started anew, or more of the service was
// found standing. What could not be written was never sent.
func (p *Frontend) write(id placement.WorkloadID, wl *workload, bind int, to placement.NodeID, o *pb.Offer) {
	since, boot := p.now, uint64(0)
	if n := p.node(to); n != nil {
		boot = n.boot
	}
	p.writing[id] = wl
	wl.outdated = false
	b := p.book.RecordBind(p.unix(since), recovery.Bind{
		Key: wl.ask.Key, Group: wl.ask.Group, Node: uint32(to), Incarnation: o.Bind.Incarnation, Workload: o.Bind.Workload,
		Number: o.Bind.Number,
	})
	p.c.Journal.PersistBind(b, func(now placement.Millis, err error) {
		p.begin(now)
		stands := p.wls[id] == wl && len(wl.nodes)-1 == bind && wl.called != len(wl.nodes)
		if p.writing[id] == wl && len(wl.nodes)-1 == bind {
			delete(p.writing, id)
			n := p.node(to)
			stands = stands && !wl.outdated && n != nil && n.boot == boot && n.told().State == placement.Ready
		}
		switch {
		case err != nil:
			p.Counters.BindsNotPersisted++
			p.log.Error("a bind could not be written down and was not sent", "workload", id, "err", err)
			p.never(wl, o.Bind)
			p.unreachable(id, bind, to)
		case !stands:
			p.never(wl, o.Bind)
			p.unreachable(id, bind, to)
		default:
			p.Counters.BindsPersisted++
			o.AcceptWithinMs -= float64(now - since)
			p.send(id, wl, bind, to, o)
		}
		p.settle(now)
	})
}

// never takes note that a bind was not taken up.
func (p *Frontend) never(wl *workload, b *pb.BindID) {
	if p.book != nil && p.book.Forget(wl.ask.Key, b.Incarnation, b.Number) {
		p.c.Journal.ForgetBind(wl.ask.Key, b.Incarnation, b.Number)
	}
}
