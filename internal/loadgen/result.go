package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency    = 10 * time.Minute // longer ones count as this
	latencyDigits = 3                // significant digits of a latency
	maxSendDelay  = 5 * time.Millisecond
	maxLateShare  = 0.01 // of the requests that may be sent later than maxSendDelay
)

// Progress is how far a load has come.
type Progress struct {
	At                     time.Duration // since the start of the load
	Sent, Answered, Placed int           // requests
}

// Latency is a distribution of times in milliseconds.
type Latency struct {
	Count  int64   `json:"count"`
	Median float64 `json:"p50_ms"`
	P90    float64 `json:"p90_ms"`
	P99    float64 `json:"p99_ms"`
	P999   float64 `json:"p99_9_ms"`
	Max    float64 `json:"max_ms"`
}

// Result is the outcome of a load.
type Result struct {
	Target        string         `json:"target"`
	Due           int            `json:"due"` // requests whose time came
	Sent          int            `json:"sent"`
	Placed        int            `json:"placed"`
	Rejected      int            `json:"rejected"`
	Unschedulable int            `json:"unschedulable"`
	Unanswered    int            `json:"unanswered"` // after their pending timeout, or as the connection was lost
	Late          int            `json:"late_answers"`
	Wrong         []string       `json:"wrong"`   // second answers, and answers that no request was waiting for
	Ended         int            `json:"ended"`   // placed workloads that have ended
	Reasons       map[string]int `json:"reasons"` // of requests that were not placed
	Seconds       float64        `json:"seconds"`
	DuePerSec     float64        `json:"due_per_second"`
	SentPerSec    float64        `json:"sent_per_second"`
	Latency       Latency        `json:"latency"`        // from when a request was due to its answer
	PlacedLatency Latency        `json:"placed_latency"` // of the requests that were placed
	SendDelay     Latency        `json:"sent_late"`      // from when a request was due to when it was sent
	Overrun       bool           `json:"tool_overrun"`   // the generator did not keep up: the latencies are its own
	Broken        string         `json:"connection_lost,omitempty"`
}

// Good tells whether the allocator answered every request once and in time, and the generator kept up.
func (r *Result) Good() bool {
	return len(r.Wrong) == 0 && r.Unanswered == 0 && r.Late == 0 && r.Broken == "" && !r.Overrun
}

// histogram collects times. It is not safe for concurrent use.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
}

func (h histogram) add(d time.Duration) {
	// The value is within the histogram's range, which is the only error.
	_ = h.h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// countAbove returns how many of the times are longer.
func (h histogram) countAbove(d time.Duration) (n int64) {
	for _, bar := range h.h.Distribution() {
		if bar.From > d.Microseconds() {
			n += bar.Count
		}
	}
	return n
}

func (h histogram) latency() Latency {
	const microsecondsPerMs = 1000
	ms := func(percentile float64) float64 { return float64(h.h.ValueAtQuantile(percentile)) / microsecondsPerMs }
	return Latency{
		Count: h.h.TotalCount(), Median: ms(50), P90: ms(90), P99: ms(99), P999: ms(99.9),
		Max: float64(h.h.Max()) / microsecondsPerMs,
	}
}
