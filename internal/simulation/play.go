package simulation

import (
	"context"
	"errors"
	"time"

	"grebeglade/internal/simulation/audit"
	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// socketSlack is how long beyond the pending timeout owners wait on sockets, where other programs take turns
// with ours on the same cores.
const socketSlack = placement.Millis(500)

// PlayVirtual plays a day in virtual time. The result depends on the script and the options alone.
func PlayVirtual(s *scenario.Script, o Options) (*Result, error) {
	began := time.Now()
	v := NewVirtual(o.Seed)
	a := audit.New(s.Terms())
	var w observer.Observer = a
	seen := observer.NewHistory(s.Terms())
	if o.HistoryFile != "" {
		w = observer.Tee{a, seen}
	}
	d, err := NewRun(s, o, v, w, v.Now())
	if err != nil {
		return nil, err
	}
	late := o.late()
	v.Run(d.RequestsEnd(), late)
	v.Run(d.Deadline(), func() bool { return late() || d.PendingRequests() == 0 })
	v.Run(v.Now()+settleTime, late)
	if late() {
		return nil, ErrDeadline
	}
	a.Finish(v.Now())
	seen.End(v.Now())
	if o.HistoryFile != "" {
		if err := seen.WriteFile(o.HistoryFile); err != nil {
			return nil, err
		}
	}
	if err := d.closeTraces(); err != nil {
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
var ErrDeadline = errors.New("the day took too long and was given up")

// late tells whether the day's time is over; it looks at the clock once in a while.
func (o *Options) late() func() bool {
	if o.Deadline.IsZero() && o.Cancelled == nil {
		return func() bool { return false }
	}
	n, over := 0, false
	return func() bool {
		if n++; n%4096 == 1 {
			over = over || !o.Deadline.IsZero() && time.Now().After(o.Deadline) || o.Cancelled != nil && o.Cancelled() != nil
		}
		return over
	}
}

// Progress is how far a day on sockets is.
type Progress struct {
	At, Of                                             placement.Millis
	Requests, Placed, Rejected, Unschedulable, Pending int
}

// PlaySockets plays a day on loopback sockets, in real time. What passed is audited once it is over. Told of
// progress once a second; a context that ends cuts the day short, and it is then not judged.
func PlaySockets(ctx context.Context, s *scenario.Script, o Options, told func(Progress)) (*Result, error) {
	began := time.Now()
	s.Client.AnswerSlack = max(s.Client.AnswerSlack, socketSlack)
	loop := transport.NewLoop(o.Log)
	defer loop.Close()
	seen := observer.NewHistory(s.Terms())
	d, err := NewRun(s, o, loop, seen, loop.Now())
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
		} else if now > d.Deadline() || now > d.RequestsEnd() && p.Pending == 0 {
			break
		}
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(time.Duration(float64(settleTime) * 1e6)):
	}
	loop.Close()
	if err := d.closeTraces(); err != nil {
		return nil, err
	}
	seen.End(loop.Now())
	r := d.Result(audit.Check(seen))
	if o.HistoryFile != "" {
		if err := seen.WriteFile(o.HistoryFile); err != nil {
			return nil, err
		}
	}
	r.RanSeconds = time.Since(began).Seconds()
	return r, nil
}

// progress asks the owners, each on its own goroutine.
func (d *Run) progress(loop *transport.Loop) Progress {
	p := Progress{At: max(0, loop.Now()-d.requestsStart), Of: d.script.Length}
	for _, g := range d.clients {
		loop.Call(g, func(placement.Millis) {
			o := g.Handler().(*Client)
			p.Requests += o.Tally.Requests
			p.Placed += o.Tally.Placed
			p.Rejected += o.Tally.Rejected
			p.Unschedulable += o.Tally.Unschedulable
			p.Pending += o.Open()
		})
	}
	return p
}
