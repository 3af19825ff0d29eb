package loadgen

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// answerGrace is how long answers are still read after the last pending timeout. They count as late.
const answerGrace = 500 * time.Millisecond

// Options configure a load.
type Options struct {
	Target      string         // address of the allocator, with its port
	Connections int            // number of connections, each a separate client; values below 1 count as 1
	Name        string         // prefix of the clients' names
	OnProgress  func(Progress) // called once a second while requests are sent; may be nil
}

// Run sends the requests of a schedule, and returns when none is pending or answerGrace has passed since the last
// pending timeout. If ctx is cancelled earlier, Run returns the result so far. The error is not nil if a connection
// cannot be established; a connection lost later is reported in the Result.
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

// runner is a load in progress.
type runner struct {
	options Options
	start   time.Time
	clients []*client
	readers sync.WaitGroup
	tally   *tally
}

// connect opens the connections and starts their readers. Client names contain a run ID: the allocator treats a request
// with the client name and number of an earlier one as a repetition.
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

// close closes the connections, which stops their readers.
func (r *runner) close() {
	for _, c := range r.clients {
		c.close()
	}
}

// read receives and counts frames until the connection ends.
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

// send sends each request at its scheduled time, or as soon as possible after it. It returns the time when the last was
// sent, and the time when the last pending timeout passes. Frames stay buffered until the next wait, or until they
// exceed flushThreshold, so that requests due together share a write.
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

// awaitTime blocks until a request is due, and returns false if ctx is cancelled first. Before a wait
// it flushes the earlier requests.
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

// sendRequest appends a request to the write buffer of its connection. The pending timeout that it sends is the time
// left until expires, so a request that is sent late leaves the allocator less time.
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

// flush writes the buffered requests of all connections.
func (r *runner) flush() {
	for _, c := range r.clients {
		if err := c.flush(); err != nil {
			r.tally.countLost(c, err)
		}
	}
}

// awaitAnswers blocks until no request is pending, answerGrace has passed since lastExpires, or ctx is cancelled.
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
