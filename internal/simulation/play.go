package simulation

import (
	"context"
	"errors"
	"time"

	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// socketSlack is how long beyond the pending timeout owners wait on sockets, where other programs take turns
// with ours on the same cores.
const socketSlack = placement.Millis(500)

// PlayVirtual plays a day in virtual time. The result depends on the script and the options alone.
func PlayVirtual(s *Script, o Options) (*Result, error) {
	began := time.Now()
	v := NewVirtual(o.Seed)
	a := NewAuditor(s.Terms())
	var w Witness = a
	seen := NewHistory(s.Terms())
	if o.History != "" {
		w = both{a, seen}
	}
	d, err := NewDay(s, o, v, w, v.Now())
	if err != nil {
		return nil, err
	}
	late := o.late()
	v.Run(d.QuietAt(), late)
	v.Run(d.Ends(), func() bool { return late() || d.Open() == 0 })
	v.Run(v.Now()+settleFor, late)
	if late() {
		return nil, ErrTooLong
	}
	a.Finish(v.Now())
	seen.End(v.Now())
	if err := seen.write(o.History); err != nil {
		return nil, err
	}
	if err := d.endTraces(); err != nil {
		return nil, err
	}
	r := d.Result(a)
	r.Virtual = true
	if o.Oracle {
		if r.Oracle, err = d.oracle(r.Ran); err != nil {
			return nil, err
		}
	}
	r.RanSeconds = time.Since(began).Seconds()
	return r, nil
}

// ErrTooLong is returned for a day that was given up as its time was over.
var ErrTooLong = errors.New("the day took too long and was given up")

// late tells whether the day's time is over; it looks at the clock once in a while.
func (o *Options) late() func() bool {
	if o.Until.IsZero() && o.Stopped == nil {
		return func() bool { return false }
	}
	n, over := 0, false
	return func() bool {
		if n++; n%4096 == 1 {
			over = over || !o.Until.IsZero() && time.Now().After(o.Until) || o.Stopped != nil && o.Stopped() != nil
		}
		return over
	}
}

// Progress is how far a day on sockets is.
type Progress struct {
	At, Of                                       placement.Millis
	Asks, Placed, Rejected, Unschedulable, Waits int
}

// PlaySockets plays a day on loopback sockets, in real time. What passed is audited once it is over. Told of
// progress once a second; a context that ends cuts the day short, and it is then not judged.
func PlaySockets(ctx context.Context, s *Script, o Options, told func(Progress)) (*Result, error) {
	began := time.Now()
	s.Owner.Slack = max(s.Owner.Slack, socketSlack)
	loop := transport.NewLoop(o.Log)
	defer loop.Close()
	seen := NewHistory(s.Terms())
	d, err := NewDay(s, o, loop, seen, loop.Now())
	if err != nil {
		return nil, err
	}
	loop.Run()
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-tick.C:
		}
		now := loop.Now()
		if p := d.progress(loop); told != nil && n%5 == 0 {
			told(p)
		} else if now > d.Ends() || now > d.QuietAt() && p.Waits == 0 {
			break
		}
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(time.Duration(float64(settleFor) * 1e6)):
	}
	loop.Close()
	if err := d.endTraces(); err != nil {
		return nil, err
	}
	seen.End(loop.Now())
	r := d.Result(seen.Audit())
	if err := seen.write(o.History); err != nil {
		return nil, err
	}
	r.RanSeconds = time.Since(began).Seconds()
	return r, nil
}

// progress asks the owners, each on its own goroutine.
func (d *Day) progress(loop *transport.Loop) Progress {
	p := Progress{At: max(0, loop.Now()-d.begins), Of: d.script.Length}
	for _, g := range d.owners {
		loop.Call(g, func(placement.Millis) {
			o := g.Inner().(*Owner)
			p.Asks += o.Tally.Asks
			p.Placed += o.Tally.Placed
			p.Rejected += o.Tally.Rejected
			p.Unschedulable += o.Tally.Unschedulable
			p.Waits += o.Open()
		})
	}
	return p
}
