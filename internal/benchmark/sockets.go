package benchmark

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	pb "grebeglade/proto/grebeglade/v1"
)

const (
	maxPending     = 256                    // concurrent requests without an answer
	maxOfferDelay  = time.Minute            // upper end of the histogram
	maxSendDelay   = time.Millisecond       // delay after the due time; later requests count as late
	lastOfferGrace = 200 * time.Millisecond // wait for the last binds to reach their nodes
)

var errNoOffer = errors.New("no offer reached a node during the measurement")

// throughput returns the number of workloads placed per second while maxPending requests are always pending.
func throughput(fleet Fleet, options clusterOptions, length time.Duration) (perSecond float64, err error) {
	cluster, err := startCluster(fleet, options)
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, cluster.close()) }()
	out := &frameWriter{out: cluster.client}
	number := uint64(0)
	for range maxPending {
		number++
		out.add(requestFrame(number))
	}
	out.flush()
	placed := 0
	start := time.Now()
	for time.Since(start) < length {
		frame, err := receive(cluster.received)
		if err != nil {
			return 0, err
		}
		if answer := frame.GetAnswer(); answer != nil {
			if answer.Verdict == pb.Verdict_PLACED {
				placed++
			}
			number++
			out.add(requestFrame(number))
		}
		if cluster.received.Buffered() == 0 {
			out.flush()
		}
	}
	return float64(placed) / time.Since(start).Seconds(), nil
}

// offerLatency is the time from a request's due time to the arrival of its bind at the node.
type offerLatency struct {
	medianMs, p99Ms float64
	lateSends       int // requests that the benchmark itself sent more than maxSendDelay late
}

// measureLatency sends requests at a constant rate, independently of answers, and returns the latency of their binds.
func measureLatency(
	fleet Fleet, options clusterOptions, length time.Duration, perSecond float64,
) (latency offerLatency, err error) {
	delays := newOfferDelays(perSecond)
	options.onOffer = delays.add
	cluster, err := startCluster(fleet, options)
	if err != nil {
		return latency, err
	}
	defer func() { err = errors.Join(err, cluster.close()) }()
	go cluster.discardAnswers()
	latency.lateSends = cluster.sendSteadily(delays.start(), delays.interval, length)
	time.Sleep(lastOfferGrace)
	latency.medianMs, latency.p99Ms, err = delays.percentiles()
	return latency, err
}

// discardAnswers reads and discards frames until the client's connection ends.
func (c *cluster) discardAnswers() {
	for {
		if _, err := receive(c.received); err != nil {
			return
		}
	}
}

// sendSteadily sends the n-th request n intervals after the start, and returns the number of late requests.
func (c *cluster) sendSteadily(start time.Time, interval, length time.Duration) (late int) {
	out := &frameWriter{out: c.client}
	defer out.flush()
	for number := uint64(1); ; number++ {
		due := time.Duration(number) * interval
		if due > length {
			return late
		}
		if wait := time.Until(start.Add(due)); wait > 0 {
			out.flush()
			time.Sleep(wait)
		} else if wait < -maxSendDelay {
			late++
		}
		out.add(requestFrame(number))
	}
}

// offerDelays collects the delays of binds. Nodes add delays concurrently.
type offerDelays struct {
	interval  time.Duration // time between due times
	startedAt atomic.Int64  // Unix time in ns from which requests are due
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram // microseconds, guarded by mu
}

// newOfferDelays returns empty delays of requests at a constant rate, which begin with start.
func newOfferDelays(perSecond float64) *offerDelays {
	return &offerDelays{
		interval:  time.Duration(float64(time.Second) / max(1, perSecond)),
		histogram: hdrhistogram.New(1, maxOfferDelay.Microseconds(), 3),
	}
}

// start sets the time from which requests are due to now, and returns it.
func (d *offerDelays) start() time.Time {
	now := time.Now()
	d.startedAt.Store(now.UnixNano())
	return now
}

// add adds the delay of the bind of a request, which has just reached its node.
func (d *offerDelays) add(number uint64) {
	due := d.startedAt.Load() + int64(number)*int64(d.interval)
	delay := time.Duration(time.Now().UnixNano() - due)
	d.mu.Lock()
	defer d.mu.Unlock()
	// RecordValue fails only outside the histogram's range, to which the value is clamped.
	_ = d.histogram.RecordValue(min(max(delay, time.Microsecond), maxOfferDelay).Microseconds())
}

// percentiles returns the median and the 99th percentile of the delays.
func (d *offerDelays) percentiles() (medianMs, p99Ms float64, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.histogram.TotalCount() == 0 {
		return 0, 0, errNoOffer
	}
	const microsecondsPerMs = 1000
	return float64(d.histogram.ValueAtQuantile(50)) / microsecondsPerMs,
		float64(d.histogram.ValueAtQuantile(99)) / microsecondsPerMs, nil
}
