package platform

import (
	"errors"
	"fmt"
	"math"
	"strconv"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// mostLeft bounds how long an owner may say that it waits: a day.
const mostLeft = 86400e3

func (p *Frontend) ownerOpened(now placement.Millis, id transport.ConnID) {
	c := &conn{id: id, opened: true, heard: now, open: map[placement.WorkloadID]*workload{}}
	p.conns[id] = c
	if p.owners++; p.owners > p.mostOwners() {
		p.makeRoom(now, c)
	}
	p.timers.Schedule(now+muteFor, func(now placement.Millis) {
		if p.conns[id] == c && !c.spoke {
			p.Counters.Bad++
			p.drop(now, c, errors.New("nothing came"))
		}
	})
}

// makeRoom ends the owner's connection that is least missed, of those with no set-up open: one that never spoke before one
// of which nothing was placed, that before one of which something was, and of these the one longest silent. It guards
// against owners that open connections and keep them, by the thousand. Where all carry set-ups, the new one goes.
func (p *Frontend) makeRoom(now placement.Millis, latest *conn) {
	var least *conn
	for _, c := range p.conns {
		if c.node == nil && c != latest && len(c.open) == 0 && (least == nil || lessMissed(c, least)) {
			least = c
		}
	}
	if least == nil {
		least = latest
	}
	p.drop(now, least, errors.New("others need the room"))
}

func lessMissed(x, y *conn) bool {
	switch {
	case x.spoke != y.spoke:
		return y.spoke
	case x.placed != y.placed:
		return x.placed < y.placed
	case x.heard != y.heard:
		return x.heard < y.heard
	}
	return x.id < y.id
}

// ownerClosed withdraws what an owner's connection had open: no answer can reach it any more.
func (p *Frontend) ownerClosed(now placement.Millis, c *conn) {
	p.owners--
	for _, wl := range inOrder(c.open) {
		p.withdraw(now, wl)
	}
}

func (p *Frontend) withdraw(now placement.Millis, wl *workload) {
	p.Counters.Withdrawn++
	p.answered(wl)
	p.engine.Withdraw(now, wl.id)
}

func (p *Frontend) fromOwner(now placement.Millis, c *conn, m *codec.Message) {
	c.spoke = true
	switch m.Verb {
	case codec.Start:
		p.start(now, c, m)
	case codec.Finish:
		wl := p.tags[m.Tag]
		if wl == nil || !wl.placed && wl.from != c.id {
			return
		}
		// What stands is ended on any connection; what is pending only where it was asked.
		p.withdraw(now, wl)
	case codec.Echo:
		answer := func(placement.Millis) {
			verdict := codec.Passed
			if p.stopping {
				verdict = codec.Failed
			}
			p.net.Send(c.id, codec.Message{Verb: codec.Echoed, Tag: m.Tag}.With(verdict))
		}
		if p.ready || p.stopping || len(p.tests) >= keepTests {
			answer(now)
		} else {
			p.tests = append(p.tests, answer)
		}
	case codec.Pending, codec.Finished, codec.Notice, codec.Echoed:
	default:
		p.bad(now, c, m.Tag, fmt.Errorf("an owner may not send %v", m.Verb))
		return
	}
	p.payOwed(now, c)
}

// bad answers what cannot be used, and ends the connection that it came on.
func (p *Frontend) bad(now placement.Millis, c *conn, t codec.Tag, err error) {
	p.Counters.Bad++
	p.log.Debug("not taken", "tag", t, "err", err)
	p.net.Send(c.id, codec.Message{Verb: codec.Finish, Tag: t}.With(codec.Incompatible))
	p.drop(now, c, err)
}

// start takes a set-up: one more workload, or one that stands already.
func (p *Frontend) start(now placement.Millis, c *conn, m *codec.Message) {
	w, at, err := p.read(m)
	known := p.tags[m.Tag]
	switch {
	case err != nil:
		p.bad(now, c, m.Tag, err)
		return
	case at == "" && p.net.IsClosed(c.id):
		// Its owner has gone: the end of the connection is read already and waits behind this line. A bind for it would
		// take the room of one that somebody waits for, and then be given up.
		p.Counters.Withdrawn++
		return
	case known != nil && at != "":
		return // it is on the books
	case known != nil && known.from == c.id && !known.done:
		p.bad(now, c, m.Tag, fmt.Errorf("the tag is that of another set-up"))
		return
	case known != nil:
		p.net.Send(c.id, codec.Message{Verb: codec.Finish, Tag: m.Tag}.With(codec.Incompatible))
		return
	case at == "" && (p.stopping && now-p.stopAt > drainFor || len(p.wls) >= heldPerMB*p.c.Limits.MemoryMB),
		p.lastID == math.MaxUint32:
		p.net.Send(c.id, codec.Message{Verb: codec.Finish, Tag: m.Tag}.With(codec.Full))
		return
	}
	// Its owner's time runs from when it was sent: what it waited for us is gone.
	w.PendingTimeout -= max(0, now-p.net.ReceivedAt())
	p.lastID++
	w.ID = p.lastID
	wl := &workload{
		id: w.ID, tag: m.Tag, class: m.Fields[codec.Group], key: m.Fields[codec.Key],
		asked: m.Description, from: c.id,
	}
	p.wls[w.ID], p.tags[m.Tag] = wl, wl
	if at != "" {
		c.placed++
		p.adopt(now, wl, w, at)
		return
	}
	p.Counters.Asks++
	p.pending++
	c.open[w.ID] = wl
	p.engine.Schedule(now, w)
}

// adopt takes a workload that stands on a node.
func (p *Frontend) adopt(now placement.Millis, wl *workload, w placement.Workload, at string) {
	p.Counters.Adopted++
	n := p.intern(at)
	wl.done, wl.placed, wl.node, wl.stands = true, true, n, now
	n.holds[wl.id] = wl
	p.engine.Adopt(now, w, n.id)
	p.connect(now, n)
}

// read checks a set-up. What no owner would send must not reach the decisions: a figure out of range would stay in
// what they reckon with.
func (p *Frontend) read(m *codec.Message) (w placement.Workload, at string, err error) {
	var known bool
	if w.Group, known = p.groups[m.Fields[codec.Group]]; !known {
		return w, "", fmt.Errorf("class %.40q is not known", m.Fields[codec.Group])
	}
	if m.Description == nil {
		return w, "", fmt.Errorf("the description is missing")
	}
	if len(m.Fields[codec.Key]) == 0 || len(m.Fields[codec.Key]) > 64 {
		return w, "", fmt.Errorf("key %.40q is none", m.Fields[codec.Key])
	}
	err = codec.Figures(m.Fields[codec.Extras], func(name, v string) (err error) {
		switch name {
		case "cores":
			w.Cores, err = amount(name, v)
		case "memory":
			w.Memory, err = amount(name, v)
		case "service":
			var n uint64
			if n, err = strconv.ParseUint(v, 16, 64); err != nil {
				err = fmt.Errorf("service %.40q is no number in hex", v)
			}
			w.Service = placement.ServiceID(n)
		case "at":
			at = v
		}
		return err
	})
	if err != nil {
		return w, "", err
	}
	if !p.fitsAny(w) {
		return w, "", fmt.Errorf("asks for %v cores and %v of memory, which no kind of node has", w.Cores, w.Memory)
	}
	if at == "" {
		var left float64
		if left, err = amount("left", m.Fields[codec.Left]); err != nil {
			return w, "", err
		}
		w.PendingTimeout = placement.Millis(left)
	}
	w.Retried = m.Fields[codec.Retry] != "" && m.Fields[codec.Retry] != "0"
	return w, at, nil
}

func (p *Frontend) fitsAny(w placement.Workload) bool {
	for _, k := range p.c.Told.Settings.NodeKinds {
		if w.Cores > 0 && w.Memory > 0 && w.Cores <= k.Cores && w.Memory <= k.Memory {
			return true
		}
	}
	return false
}

func amount(name, v string) (float64, error) {
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !codec.Finite(n) || n <= 0 || n > mostLeft {
		return 0, fmt.Errorf("%s is %.40q; it must be a number above 0", name, v)
	}
	return n, nil
}

// tellOwner sends on the connection that a workload came on, else on the one of which most was placed, as that is an owner's
// who stays, and not one's who asked once; without any it waits for one.
func (p *Frontend) tellOwner(wl *workload, m *codec.Message) {
	if p.conns[wl.from] != nil {
		p.net.Send(wl.from, m)
		return
	}
	var most *conn
	for _, c := range p.conns {
		if c.node == nil && c.placed > 0 && (most == nil || lessMissed(most, c)) {
			most = c
		}
	}
	if most != nil {
		p.net.Send(most.id, m)
		return
	}
	if len(p.over) >= keepOver {
		p.over = p.over[1:]
	}
	p.over = append(p.over, owed{m, p.now + 10*endGrace})
}

// payOwed sends what has waited for an owner.
func (p *Frontend) payOwed(now placement.Millis, c *conn) {
	if len(p.over) == 0 || p.conns[c.id] != c {
		return
	}
	for _, o := range p.over {
		if now < o.until {
			p.net.Send(c.id, o.m)
		}
	}
	p.over = nil
}
