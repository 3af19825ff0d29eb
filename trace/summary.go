package trace

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxWaitMicros  = 3_600_000_000 // upper bound of the histogram, one hour
	waitPrecision  = 3             // significant digits
	microsPerMilli = 1000

	medianPercentile = 50
	tailPercentile   = 99
)

// Outcomes counts the answers to the requests of a group and summarises the waits of the placed requests. It is encoded
// as one JSON object.
type Outcomes struct {
	Group         string  `json:"group"`
	Requests      int     `json:"asks"`
	Placed        int     `json:"placed"`
	Rejected      int     `json:"rejected"`
	Unschedulable int     `json:"unschedulable"`
	Open          int     `json:"open"` // unanswered at the end of the trace: withdrawn or still pending
	Binds         int     `json:"binds"`
	MedianMs      float64 `json:"placed_median_ms"`
	P99Ms         float64 `json:"placed_p99_ms"`
	MaxMs         float64 `json:"placed_max_ms"`

	waits *hdrhistogram.Histogram // waits until placement, in microseconds
}

// NodeRejection counts the binds that a node rejected for one reason.
type NodeRejection struct {
	Node   uint32 `json:"node"`
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// Summary contains the key figures of a trace.
type Summary struct {
	Sources        []string        `json:"sources"`
	FromMs         float64         `json:"from_unix_ms"`
	ToMs           float64         `json:"to_unix_ms"`
	Records        uint64          `json:"records"`
	Groups         []*Outcomes     `json:"groups"`
	NodeRejections []NodeRejection `json:"refusals"`    // most frequent first
	OutcomeUnknown int             `json:"unclear"`     // binds with a timeout, a lost connection or a malformed reply
	NotDelivered   int             `json:"unreachable"` // binds not sent because the node was not connected
	Missing        uint64          `json:"missing"`     // lost records reported by Gap records
	Damage         []string        `json:"damage"`
}

// Summarise summarises files in the given order. The records of a workload may be in several files.
func Summarise(files []*Reader) (*Summary, error) {
	counts := newTally()
	for _, file := range files {
		if err := counts.add(file); err != nil {
			return nil, err
		}
	}
	counts.finish()
	return counts.summary, nil
}

func newOutcomes(group string) *Outcomes {
	return &Outcomes{Group: group, waits: hdrhistogram.New(1, maxWaitMicros, waitPrecision)}
}

// addWait records the wait of a placed request in milliseconds. A wait beyond the histogram's upper bound counts as
// that bound.
func (o *Outcomes) addWait(ms float64) {
	micros := int64(ms * microsPerMilli)
	if err := o.waits.RecordValue(max(1, micros)); err != nil {
		_ = o.waits.RecordValue(o.waits.HighestTrackableValue()) // no error: the value is within the bounds
	}
}

// summariseWaits sets the median, 99th percentile and maximum of the waits. They stay 0 if there are no waits.
func (o *Outcomes) summariseWaits() {
	if o.waits.TotalCount() == 0 {
		return
	}
	o.MedianMs = float64(o.waits.ValueAtQuantile(medianPercentile)) / microsPerMilli
	o.P99Ms = float64(o.waits.ValueAtQuantile(tailPercentile)) / microsPerMilli
	o.MaxMs = float64(o.waits.Max()) / microsPerMilli
}
