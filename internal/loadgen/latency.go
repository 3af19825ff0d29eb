package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency    = 10 * time.Minute // longer durations are recorded as this
	latencyDigits = 3                // significant decimal digits of a recorded duration
)

// Latency summarizes a distribution of durations; all but Count are in milliseconds.
type Latency struct {
	Count  int64   `json:"count"`
	Median float64 `json:"p50_ms"`
	P90    float64 `json:"p90_ms"`
	P99    float64 `json:"p99_ms"`
	P999   float64 `json:"p99_9_ms"`
	Max    float64 `json:"max_ms"`
}

// histogram is a distribution of durations in microseconds. It is not safe for concurrent use.
type histogram struct{ *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
}

// add records a duration, clamped to the range from 1 µs to maxLatency.
func (h histogram) add(d time.Duration) {
	clamped := min(max(d, time.Microsecond), maxLatency)
	_ = h.RecordValue(clamped.Microseconds()) // fails only for a value out of range
}

// countAbove returns the number of recorded durations above d, up to the histogram's resolution.
func (h histogram) countAbove(d time.Duration) (n int64) {
	for _, bar := range h.Distribution() {
		if bar.From > d.Microseconds() {
			n += bar.Count
		}
	}
	return n
}

// latency summarizes the recorded durations.
func (h histogram) latency() Latency {
	const microsecondsPerMs = 1000
	ms := func(percentile float64) float64 { return float64(h.ValueAtQuantile(percentile)) / microsecondsPerMs }
	return Latency{
		Count:  h.TotalCount(),
		Median: ms(50),
		P90:    ms(90),
		P99:    ms(99),
		P999:   ms(99.9),
		Max:    float64(h.Max()) / microsecondsPerMs,
	}
}
