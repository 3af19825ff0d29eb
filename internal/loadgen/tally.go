package loadgen

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	pb "grebeglade/proto/grebeglade/v1"
)

// maxWrong is the maximum number of protocol violations that a Result lists.
const maxWrong = 20

// tally counts the outcomes of requests. The methods that lock mu are safe for concurrent use; mu must be held when the
// others are called.
type tally struct {
	mu            sync.Mutex
	result        Result
	latency       histogram
	placedLatency histogram
	sendDelay     histogram
	pending       int           // requests that are sent and not answered
	idle          chan struct{} // receives a value when pending becomes 0; holds one value
}

func newTally(target string) *tally {
	return &tally{
		result: Result{
			Target: target,
			Counts: Counts{
				Wrong:   []string{}, // never null in JSON
				Reasons: map[string]int{},
			},
		},
		latency:       newHistogram(),
		placedLatency: newHistogram(),
		sendDelay:     newHistogram(),
		idle:          make(chan struct{}, 1),
	}
}

// countDue counts a request that is due. If its connection is open and its pending timeout has not passed, countDue
// records it as sent and returns its number; otherwise it counts the request as unanswered and returns false.
func (t *tally) countDue(sender *client, now, due, expires time.Time) (number uint64, send bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.Due++
	if sender.err != nil || !now.Before(expires) {
		t.result.Unanswered++
		return 0, false
	}
	t.result.Sent++
	t.pending++
	t.sendDelay.add(now.Sub(due))
	sender.last++
	sender.requests[sender.last] = &sentRequest{due: due, expires: expires}
	return sender.last, true
}

// countFrame counts an answer or the end of a workload. Other frames are ignored.
func (t *tally) countFrame(c *client, now time.Time, frame *pb.Frame) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch body := frame.Body.(type) {
	case *pb.Frame_Answer:
		t.countAnswer(c, now, body.Answer)
	case *pb.Frame_WorkloadEnded:
		t.countEnd(c, body.WorkloadEnded.RequestId)
	}
}

// countAnswer counts the answer to a request. A second answer, or one without a request, is a protocol violation.
func (t *tally) countAnswer(c *client, now time.Time, answer *pb.Answer) {
	request := c.requests[answer.RequestId]
	switch {
	case request == nil:
		t.reportWrong("an answer for request %d, which waits for none", answer.RequestId)
		return
	case request.state != requestPending:
		t.reportWrong("a second answer for request %d", answer.RequestId)
		return
	}
	latency := now.Sub(request.due)
	t.latency.add(latency)
	if now.After(request.expires) {
		t.result.Late++
	}
	request.state = requestAnswered
	switch answer.Verdict {
	case pb.Verdict_PLACED:
		request.state = requestPlaced
		t.result.Placed++
		t.placedLatency.add(latency)
	case pb.Verdict_REJECTED:
		t.result.Rejected++
		t.result.Reasons[answer.Reason]++
	case pb.Verdict_UNSCHEDULABLE, pb.Verdict_VERDICT_UNSPECIFIED:
		t.countUnschedulable(answer.Reason)
	default: // verdict of a later protocol version: the workload may have run
		t.countUnschedulable(answer.Reason)
	}
	t.settle(1)
}

func (t *tally) countUnschedulable(reason string) {
	t.result.Unschedulable++
	t.result.Reasons[reason]++
}

// countEnd counts the end of a workload. If the workload was not placed, that is a protocol violation.
func (t *tally) countEnd(c *client, number uint64) {
	request := c.requests[number]
	if request == nil || request.state != requestPlaced {
		t.reportWrong("the end of workload %d, which was not placed", number)
		return
	}
	t.result.Ended++
	delete(c.requests, number)
}

// countLost records the loss of a connection, whose pending requests count as unanswered. A connection that the
// generator itself has closed is not lost.
func (t *tally) countLost(c *client, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.err != nil || errors.Is(err, net.ErrClosed) {
		return
	}
	c.err = err
	t.result.Broken = err.Error()
	lost := 0
	for _, request := range c.requests {
		if request.state == requestPending {
			request.state = requestLost
			lost++
		}
	}
	t.result.Unanswered += lost
	t.settle(lost)
}

// settle subtracts from the number of pending requests, and signals idle when none is left.
func (t *tally) settle(requests int) {
	t.pending -= requests
	if t.pending > 0 {
		return
	}
	select {
	case t.idle <- struct{}{}:
	default: // the channel already holds a value
	}
}

// reportWrong adds a protocol violation to the result, up to maxWrong.
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
	return Progress{
		At:       at,
		Sent:     t.result.Sent,
		Answered: t.result.Sent - t.pending,
		Placed:   t.result.Placed,
	}
}

// finish returns the result of a load whose requests took sendTime to send. Pending requests count as unanswered.
func (t *tally) finish(sendTime time.Duration) *Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	result := t.result
	result.Unanswered += t.pending
	result.Seconds = sendTime.Seconds()
	if result.Seconds > 0 {
		result.DuePerSec = float64(result.Due) / result.Seconds
		result.SentPerSec = float64(result.Sent) / result.Seconds
	}
	result.Latency = t.latency.latency()
	result.PlacedLatency = t.placedLatency.latency()
	result.SendDelay = t.sendDelay.latency()
	late := t.sendDelay.countAbove(maxSendDelay)
	result.Overrun = float64(late) > maxLateShare*float64(max(1, result.Sent))
	return &result
}
