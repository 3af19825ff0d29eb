package loadgen

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// answerGrace is how long after the last pending timeout answers are still read, and count as late.
const answerGrace = 500 * time.Millisecond

// Options configure a load.
type Options struct {
	Target      string         // address of the allocator
	Connections int            // connections, each a client of its own; at least one is used
	Name        string         // that the clients' names begin with
	OnProgress  func(Progress) // called once a second while requests are sent; nil for no calls
}

// Run sends the requests of a schedule, and returns when the last is answered or its pending timeout has passed. If the
// context ends earlier, Run returns what there is by then.
func Run(ctx context.Context, schedule Schedule, options Options) (*Result, error) {
	r := &runner{options: options, tally: newTally(options.Target)}
	defer r.close()
	if err := r.connect(); err != nil {
		return nil, err
	}
	r.start = time.Now()
	stopProgress := r.reportProgress()
	lastSent, lastExpires := r.send(ctx, schedule)
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

// connect opens the connections and starts their readers. The clients' names are new in each run: the allocator would
// treat requests with the client and number of an earlier run as repeated.
func (r *runner) connect() error {
	runID := time.Now().UnixNano()
	for i := range max(1, r.options.Connections) {
		name := fmt.Sprintf("%s-%x-%d", r.options.Name, runID, i+1)
		c, err := connect(r.options.Target, name)
		if err != nil {
			return err
		}
		r.clients = append(r.clients, c)
		r.readers.Go(func() { r.read(c) })
	}
	return nil
}

// close closes the connections, which ends their readers.
func (r *runner) close() {
	for _, c := range r.clients {
		c.close()
	}
}

// read counts frames until the connection ends.
func (r *runner) read(c *client) {
	for {
		frame, err := c.receive()
		if err != nil {
			r.tally.countLost(c, err)
			return
		}
		r.tally.countFrame(c, time.Now(), frame)
	}
}

// send sends each request when it is due, or as soon after as it can, and returns when the last was sent and when the
// last pending timeout passes. Requests that are due together go out in one write.
func (r *runner) send(ctx context.Context, schedule Schedule) (lastSent, lastExpires time.Time) {
	defer r.flush()
	lastSent = time.Now()
	for sent := 0; ctx.Err() == nil; sent++ {
		request, ok := schedule.Next()
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
		client := r.clients[sent%len(r.clients)]
		r.sendRequest(client, request, due, expires)
		lastSent = time.Now()
		if client.out.Buffered() > flushThreshold {
			r.flush()
		}
	}
	return lastSent, lastExpires
}

// awaitTime waits until a request is due, and returns false if the context ends before. What was sent earlier is
// flushed first, so that it does not wait too.
func (r *runner) awaitTime(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
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

// sendRequest puts a request into the buffer of its connection. If it is late, the allocator has less time until the
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

// flush writes what is in the buffers of all connections.
func (r *runner) flush() {
	for _, c := range r.clients {
		if err := c.flush(); err != nil {
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
