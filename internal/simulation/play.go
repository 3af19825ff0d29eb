package simulation

import (
	"context"
	"errors"
	"time"

	"grebeglade/internal/simulation/audit"
	"grebeglade/internal/simulation/emulator"
	"grebeglade/internal/simulation/network"
	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// socketSlack is how long beyond the pending timeout clients wait on sockets, where other programs compete for the cores.
const socketSlack = placement.Millis(500)

// PlayVirtual plays a script in virtual time. The result depends on the script and the options alone.
func PlayVirtual(s *scenario.Script, o Options) (*Result, error) {
	began := time.Now()
	v := network.NewVirtual(o.Seed)
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
		if r.Oracle, err = d.oracle(r.CoreTimeShare); err != nil {
			return nil, err
		}
	}
	r.RanSeconds = time.Since(began).Seconds()
	return r, nil
}

// ErrDeadline is returned for a run that was abandoned at its deadline or cancelled.
var ErrDeadline = errors.New("the day took too long and was given up")

// late returns a function that reports whether the run is past its deadline or cancelled. It reads the clock only once in 4096 calls.
func (o *Options) late() func() bool {
	if o.Deadline.IsZero() && o.Cancelled == nil {
		return func() bool { return false }
	}
	n := 0
	over := false
	return func() bool {
		if n++; n%4096 == 1 {
			over = over || !o.Deadline.IsZero() && time.Now().After(o.Deadline) || o.Cancelled != nil && o.Cancelled() != nil
		}
		return over
	}
}

// Progress is the progress of a run on sockets.
type Progress struct {
	At, Of                                             placement.Millis
	Requests, Placed, Rejected, Unschedulable, Pending int
}

// PlaySockets plays a script on loopback sockets, in real time, and audits it once it has ended. Function notify, if not nil, is called once
// a second. If the context ends, the run is abandoned and not audited.
func PlaySockets(ctx context.Context, s *scenario.Script, o Options, notify func(Progress)) (*Result, error) {
	began := time.Now()
	s.Client.AnswerSlack = max(s.Client.AnswerSlack, socketSlack)
	loop := transport.NewLoop(o.Log)
	defer loop.Close() //nolint:contextcheck // pending writes are flushed even after ctx has ended
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
		if p := d.progress(loop); notify != nil && n%5 == 0 {
			notify(p)
		} else if now > d.Deadline() || now > d.RequestsEnd() && p.Pending == 0 {
			break
		}
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(time.Duration(float64(settleTime) * 1e6)):
	}
	loop.Close() //nolint:contextcheck // as above
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

// progress polls the clients, each on its own goroutine.
func (d *Run) progress(loop *transport.Loop) Progress {
	p := Progress{At: max(0, loop.Now()-d.requestsStart), Of: d.script.Length}
	for _, g := range d.clients {
		loop.Call(g, func(placement.Millis) {
			o := g.Handler().(*emulator.Client)
			p.Requests += o.Tally.Requests
			p.Placed += o.Tally.Placed
			p.Rejected += o.Tally.Rejected
			p.Unschedulable += o.Tally.Unschedulable
			p.Pending += o.PendingRequests()
		})
	}
	return p
}
