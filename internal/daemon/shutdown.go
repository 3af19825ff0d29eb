package daemon

import (
	"context"
	"time"

	"grebeglade/placement"
)

// drainPollInterval is the time between two checks for pending workloads.
const drainPollInterval = 20 * time.Millisecond

// Drain rejects new requests, and waits until all pending ones are answered or ctx ends. It returns the number of
// workloads without an answer. Placed workloads keep running. Close must be called afterwards.
func (d *Daemon) Drain(ctx context.Context) (unanswered int) {
	d.loop.Call(d.frontend, func(placement.Millis) { d.frontend.Drain() })
	unanswered = d.awaitAnswers(ctx)
	d.log.Info("drained", "unanswered", unanswered)
	return unanswered
}

// Close stops the allocator without draining it: pending requests get no answer, and placed workloads keep running.
func (d *Daemon) Close() {
	d.close()
	counters := d.frontend.Counters
	d.log.Info("stopped",
		"requests", counters.Requests,
		"placed", counters.Placed,
		"rejected", counters.Rejected,
		"not_admitted", counters.NotAdmitted,
		"unschedulable", counters.Unschedulable,
		"withdrawn", counters.Withdrawn,
	)
}

// awaitAnswers waits until no workload is pending or ctx ends, and returns the number of pending workloads.
func (d *Daemon) awaitAnswers(ctx context.Context) int {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	pending := d.pending()
	d.log.Info("draining", "pending", pending)
	for pending > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
			pending = d.pending()
		}
	}
	return pending
}

// pending returns the number of workloads without a final answer.
func (d *Daemon) pending() (workloads int) {
	d.loop.Call(d.frontend, func(placement.Millis) { workloads = d.frontend.Pending() })
	return workloads
}

// close stops the event loop, and then closes the trace recorder and the bind store, which the frontend writes to.
func (d *Daemon) close() {
	d.loop.Close()
	if d.recorder != nil {
		if d.frontend != nil {
			d.frontend.FlushTrace()
		}
		d.recorder.Close()
	}
	if d.binds != nil {
		if err := d.binds.Close(); err != nil {
			d.log.Error("state directory not closed", "error", err)
		}
	}
}
