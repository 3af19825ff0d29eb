package loadgen

import "time"

const (
	maxSendDelay = 5 * time.Millisecond
	maxLateShare = 0.01 // of the requests that may be sent later than maxSendDelay
)

// Result is the outcome of a load.
type Result struct {
	Target string `json:"target"`
	Counts
	Timings
	Overrun bool   `json:"tool_overrun"` // the generator did not keep up: the latencies are its own
	Broken  string `json:"connection_lost,omitempty"`
}

// Counts are how many requests had which outcome.
type Counts struct {
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
}

// Timings are the rates and latencies of a load.
type Timings struct {
	Seconds       float64 `json:"seconds"` // until the last request was sent
	DuePerSec     float64 `json:"due_per_second"`
	SentPerSec    float64 `json:"sent_per_second"`
	Latency       Latency `json:"latency"`        // from when a request was due to its answer
	PlacedLatency Latency `json:"placed_latency"` // of the requests that were placed
	SendDelay     Latency `json:"sent_late"`      // from when a request was due to when it was sent
}

// Good tells whether the allocator answered every request once and in time, and the generator kept up.
func (r *Result) Good() bool {
	return len(r.Wrong) == 0 && r.Unanswered == 0 && r.Late == 0 && r.Broken == "" && !r.Overrun
}
