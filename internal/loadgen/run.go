package loadgen

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	progressInterval = time.Second
	answerGrace      = 500 * time.Millisecond // after the last pending timeout, in which answers still come and count as late
)

// Options configure a load.
type Options struct {
	Target      string         // address of the allocator
	Connections int            // connections, each a client of its own; at least one is used
	Name        string         // that the clients' names begin with
	OnProgress  func(Progress) // called once a second while requests are sent; nil for no calls
}

// Run sends the requests of a schedule, and returns when the last is answered or its pending timeout has passed. If the
// context ends earlier, Run returns what there is by then.
func Run(ctx context.Context, s Schedule, o Options) (*Result, error) {
	r := &runner{options: o, tally: newTally(o.Target)}
	defer r.close()
	if err := r.connect(); err != nil {
		return nil, err
	}
	r.start = time.Now()
	stopProgress := r.reportProgress()
	lastSent, lastExpires := r.send(ctx, s)
	stopProgress()
	r.awaitAnswers(ctx, lastExpires)
	r.close()
	r.readers.Wait()
	return r.tally.finish(lastSent.Sub(r.start)), nil
}

// runner is a load that is being run.
type runner struct {
	options Options
	start   time.Time
	clients []*client
	readers sync.WaitGroup
	tally   *tally
}

// connect opens the connections. The clients' names are new in each run: the allocator would take requests with the same
// client and number as those of an earlier run for repeated ones.
func (r *runner) connect() error {
	run := time.Now().UnixNano()
	for i := range max(1, r.options.Connections) {
		c, err := connect(r.options.Target, fmt.Sprintf("%s-%x-%d", r.options.Name, run, i+1))
		if err != nil {
			return err
		}
		r.clients = append(r.clients, c)
		r.readers.Go(func() { r.read(c) })
	}
	return nil
}

func (r *runner) close() {
	for _, c := range r.clients {
		c.close()
	}
}

// read takes frames until the connection ends.
func (r *runner) read(c *client) {
	for {
		f, err := c.receive()
		if err != nil {
			r.tally.countLost(c, err)
			return
		}
		r.tally.countFrame(c, time.Now(), f)
	}
}

// send sends each request when it is due, or as soon after as it can, and returns when the last was sent and when the
// last pending timeout passes. Requests that are due together go out in one write.
func (r *runner) send(ctx context.Context, s Schedule) (lastSent, lastExpires time.Time) {
	defer r.flush()
	lastSent = time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		request, ok := s.Next()
		if !ok {
			break
		}
		due := r.start.Add(request.At)
		if !r.awaitTime(ctx, due) {
			break
		}
		expires := due.Add(request.PendingTimeout)
		if expires.After(lastExpires) {
			lastExpires = expires
		}
		c := r.clients[n%len(r.clients)]
		r.sendRequest(c, request, due, expires)
		lastSent = time.Now()
		if c.out.Buffered() > flushThreshold {
			r.flush()
		}
	}
	return lastSent, lastExpires
}

// awaitTime returns true once a time has come, and false if the context ends before.
func (r *runner) awaitTime(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return true
	}
	r.flush()
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// sendRequest puts a request into the buffer of its connection. What it is late leaves the allocator less time until the
// pending timeout, as with any client.
func (r *runner) sendRequest(c *client, request Request, due, expires time.Time) {
	now := time.Now()
	number, send := r.tally.countDue(c, now, due, expires)
	if !send {
		return
	}
	if err := c.send(c.requestFrame(number, request, expires.Sub(now))); err != nil {
		r.tally.countLost(c, err)
	}
}

func (r *runner) flush() {
	for _, c := range r.clients {
		if err := c.out.Flush(); err != nil {
			r.tally.countLost(c, err)
		}
	}
}

// awaitAnswers waits until no request is pending, or the last pending timeout has passed for a while.
func (r *runner) awaitAnswers(ctx context.Context, lastExpires time.Time) {
	timeout := time.After(time.Until(lastExpires) + answerGrace)
	for r.tally.anyPending() {
		select {
		case <-r.tally.idle:
		case <-timeout:
			return
		case <-ctx.Done():
			return
		}
	}
}

// reportProgress calls Options.Told once a second until the returned function is called.
func (r *runner) reportProgress() (stop func()) {
	if r.options.OnProgress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var reporter sync.WaitGroup
	reporter.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				r.options.OnProgress(r.tally.progress(time.Since(r.start)))
			}
		}
	})
	return func() {
		close(done)
		reporter.Wait()
	}
}
