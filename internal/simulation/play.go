package simulation

import (
	"context"
	"errors"
	"fmt"
	"time"

	"grebeglade/internal/simulation/audit"
	"grebeglade/internal/simulation/emulator"
	"grebeglade/internal/simulation/network"
	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// socketSlack is the minimum time, in ms, that clients on sockets wait for an answer beyond the pending timeout, since
// other programs compete for the cores.
const socketSlack = placement.Millis(500)

const (
	pollInterval     = 200 * time.Millisecond // interval between polls for the end of a run on sockets
	pollsPerProgress = 5                      // polls of which one only reports progress, if notify is set
	callsPerClock    = 4096                   // calls of a stop check per check of the deadline and Cancelled
)

// PlayVirtual plays a script in virtual time. Apart from RanSeconds, the result depends only on the script and the
// options. The error is ErrDeadline if the run exceeded options.Deadline or was cancelled.
func PlayVirtual(script *scenario.Script, options Options) (*Result, error) {
	began := time.Now()
	host := network.NewVirtual(options.Seed)
	auditor := audit.New(script.Terms())
	var observers observer.Observer = auditor
	history := observer.NewHistory(script.Terms())
	if options.HistoryFile != "" {
		observers = observer.Tee{auditor, history}
	}
	run, err := NewRun(script, options, host, observers, host.Now())
	if err != nil {
		return nil, err
	}
	if err := run.playVirtual(host); err != nil {
		return nil, err
	}
	auditor.Finish(host.Now())
	history.End(host.Now())
	if err := writeHistory(history, options.HistoryFile); err != nil {
		return nil, err
	}
	if err := run.closeTraces(); err != nil {
		return nil, err
	}
	result := run.Result(auditor)
	result.Virtual = true
	if options.Oracle {
		if result.Oracle, err = run.oracle(result.CoreTimeShare); err != nil {
			return nil, err
		}
	}
	result.RanSeconds = time.Since(began).Seconds()
	return result, nil
}

// playVirtual runs the host until all requests are answered or Run.Deadline has passed, and then for settleTime. The
// error is ErrDeadline if the run exceeded Options.Deadline or was cancelled.
func (r *Run) playVirtual(host *network.Virtual) error {
	stop := r.opts.stopCheck()
	host.Run(r.RequestsEnd(), stop)
	host.Run(r.Deadline(), func() bool { return stop() || r.PendingRequests() == 0 })
	host.Run(host.Now()+settleTime, stop)
	if stop() {
		return ErrDeadline
	}
	return nil
}

// writeHistory writes the history to the named file. It does nothing if the name is empty.
func writeHistory(history *observer.History, file string) error {
	if file == "" {
		return nil
	}
	return history.WriteFile(file)
}

// ErrDeadline is the error of a run in virtual time that exceeded Options.Deadline or was cancelled. It keeps its
// text, since the text is stored with the runs of an experiment.
var ErrDeadline = errors.New("the day took too long and was given up")

// stopCheck returns a function that reports whether the run has exceeded o.Deadline or is cancelled. The function
// checks both only once in callsPerClock calls.
func (o *Options) stopCheck() func() bool {
	if o.Deadline.IsZero() && o.Cancelled == nil {
		return func() bool { return false }
	}
	calls := 0
	stopped := false
	return func() bool {
		calls++
		if calls%callsPerClock == 1 && !stopped {
			stopped = o.pastDeadline() || o.cancelled()
		}
		return stopped
	}
}

func (o *Options) pastDeadline() bool { return !o.Deadline.IsZero() && time.Now().After(o.Deadline) }
func (o *Options) cancelled() bool    { return o.Cancelled != nil && o.Cancelled() != nil }

// Progress is the progress of a run on sockets.
type Progress struct {
	At            placement.Millis // time since the start of the requests
	Of            placement.Millis // duration for which clients send requests
	Requests      int
	Placed        int
	Rejected      int
	Unschedulable int
	Pending       int
}

// PlaySockets plays a script on loopback sockets, in real time, and audits the run after its end. If not nil, notify is
// called once per second. If the context ends first, the run is stopped without an audit, and the error wraps that of
// the context.
func PlaySockets(
	ctx context.Context, script *scenario.Script, options Options, notify func(Progress),
) (*Result, error) {
	began := time.Now()
	script.Client.AnswerSlack = max(script.Client.AnswerSlack, socketSlack)
	loop := transport.NewLoop(options.Log)
	defer loop.Close() //nolint:contextcheck // pending writes are flushed even after ctx has ended
	history := observer.NewHistory(script.Terms())
	run, err := NewRun(script, options, loop, history, loop.Now())
	if err != nil {
		return nil, err
	}
	loop.Run()
	if err := run.awaitAnswers(ctx, loop, notify); err != nil {
		return nil, err
	}
	if err := await(ctx, time.After(time.Duration(float64(settleTime)*1e6))); err != nil {
		return nil, err
	}
	loop.Close() //nolint:contextcheck // as above
	if err := run.closeTraces(); err != nil {
		return nil, err
	}
	history.End(loop.Now())
	result := run.Result(audit.Check(history))
	if err := writeHistory(history, options.HistoryFile); err != nil {
		return nil, err
	}
	result.RanSeconds = time.Since(began).Seconds()
	return result, nil
}

// awaitAnswers waits until all requests are answered, or Run.Deadline has passed.
func (r *Run) awaitAnswers(ctx context.Context, loop *transport.Loop, notify func(Progress)) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for polls := 1; ; polls++ {
		if err := await(ctx, ticker.C); err != nil {
			return err
		}
		now := loop.Now()
		progress := r.progress(loop)
		if notify != nil && polls%pollsPerProgress == 0 {
			notify(progress)
			continue
		}
		if now > r.Deadline() || now > r.RequestsEnd() && progress.Pending == 0 {
			return nil
		}
	}
}

// await waits for a timer. If the context ends first, the error wraps that of the context.
func await(ctx context.Context, timer <-chan time.Time) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("play on sockets: %w", ctx.Err())
	case <-timer:
		return nil
	}
}

// progress reads the tallies of the clients, each on its client's goroutine.
func (r *Run) progress(loop *transport.Loop) Progress {
	progress := Progress{At: max(0, loop.Now()-r.requestsStart), Of: r.script.Length}
	for _, process := range r.clients {
		loop.Call(process, func(placement.Millis) {
			client := process.Handler().(*emulator.Client)
			progress.Requests += client.Tally.Requests
			progress.Placed += client.Tally.Placed
			progress.Rejected += client.Tally.Rejected
			progress.Unschedulable += client.Tally.Unschedulable
			progress.Pending += client.PendingRequests()
		})
	}
	return progress
}
