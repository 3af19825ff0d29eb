package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency    = 10 * time.Minute // longer ones count as this
	latencyDigits = 3                // significant digits of a latency
)

// Latency is a distribution of times in milliseconds.
type Latency struct {
	Count  int64   `json:"count"`
	Median float64 `json:"p50_ms"`
	P90    float64 `json:"p90_ms"`
	P99    float64 `json:"p99_ms"`
	P999   float64 `json:"p99_9_ms"`
	Max    float64 `json:"max_ms"`
}

// histogram collects times. It is not safe for concurrent use.
type histogram struct{ *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
}

// add adds a time, limited to the range of the histogram.
func (h histogram) add(d time.Duration) {
	limited := min(max(d, time.Microsecond), maxLatency)
	_ = h.RecordValue(limited.Microseconds()) // the only error is a value out of range
}

// countAbove returns how many of the times are longer.
func (h histogram) countAbove(d time.Duration) (n int64) {
	for _, bar := range h.Distribution() {
		if bar.From > d.Microseconds() {
			n += bar.Count
		}
	}
	return n
}

// latency returns the distribution of the times.
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
