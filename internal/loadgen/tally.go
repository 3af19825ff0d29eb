package loadgen

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	pb "grebeglade/proto/grebeglade/v1"
)

// maxWrong is how many protocol violations are reported.
const maxWrong = 20

// tally counts what happens to requests. Its methods may be called from any goroutine.
type tally struct {
	mu            sync.Mutex
	result        Result
	latency       histogram
	placedLatency histogram
	sendDelay     histogram
	pending       int           // requests that were sent and not answered
	idle          chan struct{} // receives a value when no request is pending any more
}

func newTally(target string) *tally {
	return &tally{
		result:  Result{Target: target, Reasons: map[string]int{}, Wrong: []string{}},
		latency: newHistogram(), placedLatency: newHistogram(), sendDelay: newHistogram(),
		idle: make(chan struct{}, 1),
	}
}

// countDue counts a request whose time has come, and returns its number if it is to be sent: its connection is open, and
// its pending timeout has not passed yet.
func (t *tally) countDue(c *client, now, due, expires time.Time) (number uint64, send bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.Due++
	if c.err != nil || !now.Before(expires) {
		t.result.Unanswered++
		return 0, false
	}
	t.result.Sent++
	t.pending++
	t.sendDelay.add(now.Sub(due))
	c.last++
	c.requests[c.last] = &sentRequest{due: due, expires: expires}
	return c.last, true
}

// countFrame counts a frame from the allocator.
func (t *tally) countFrame(c *client, now time.Time, f *pb.Frame) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch b := f.Body.(type) {
	case *pb.Frame_Answer:
		t.countAnswer(c, now, b.Answer)
	case *pb.Frame_WorkloadEnded:
		t.countEnd(c, b.WorkloadEnded.RequestId)
	}
}

func (t *tally) countAnswer(c *client, now time.Time, a *pb.Answer) {
	r := c.requests[a.RequestId]
	switch {
	case r == nil:
		t.reportWrong("an answer for request %d, which waits for none", a.RequestId)
		return
	case r.state != requestPending:
		t.reportWrong("a second answer for request %d", a.RequestId)
		return
	}
	latency := now.Sub(r.due)
	t.latency.add(latency)
	if now.After(r.expires) {
		t.result.Late++
	}
	r.state = requestAnswered
	switch a.Verdict {
	case pb.Verdict_PLACED:
		r.state = requestPlaced
		t.result.Placed++
		t.placedLatency.add(latency)
	case pb.Verdict_REJECTED:
		t.result.Rejected++
		t.result.Reasons[a.Reason]++
	default:
		t.result.Unschedulable++
		t.result.Reasons[a.Reason]++
	}
	t.settle(1)
}

func (t *tally) countEnd(c *client, number uint64) {
	r := c.requests[number]
	if r == nil || r.state != requestPlaced {
		t.reportWrong("the end of workload %d, which was not placed", number)
		return
	}
	t.result.Ended++
	delete(c.requests, number)
}

// countLost counts the requests of a connection that ended: those that are pending remain unanswered. A connection that
// this side closed is not lost.
func (t *tally) countLost(c *client, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.err != nil || errors.Is(err, net.ErrClosed) {
		return
	}
	c.err = err
	t.result.Broken = err.Error()
	lost := 0
	for _, r := range c.requests {
		if r.state == requestPending {
			r.state = requestLost
			lost++
		}
	}
	t.result.Unanswered += lost
	t.settle(lost)
}

// settle takes requests off the pending ones.
func (t *tally) settle(n int) {
	t.pending -= n
	if t.pending > 0 {
		return
	}
	select {
	case t.idle <- struct{}{}:
	default: // a value is waiting already
	}
}

func (t *tally) reportWrong(format string, args ...any) {
	if len(t.result.Wrong) < maxWrong {
		t.result.Wrong = append(t.result.Wrong, fmt.Sprintf(format, args...))
	}
}

func (t *tally) anyPending() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pending > 0
}

func (t *tally) progress(at time.Duration) Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Progress{At: at, Sent: t.result.Sent, Answered: t.result.Sent - t.pending, Placed: t.result.Placed}
}

// finish returns the result of a load whose requests were sent within some time. What is pending stays unanswered.
func (t *tally) finish(length time.Duration) *Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.result
	r.Unanswered += t.pending
	r.Seconds = length.Seconds()
	if r.Seconds > 0 {
		r.DuePerSec, r.SentPerSec = float64(r.Due)/r.Seconds, float64(r.Sent)/r.Seconds
	}
	r.Latency, r.PlacedLatency, r.SendDelay = t.latency.latency(), t.placedLatency.latency(), t.sendDelay.latency()
	r.Overrun = float64(t.sendDelay.countAbove(maxSendDelay)) > maxLateShare*float64(max(1, r.Sent))
	return &r
}
