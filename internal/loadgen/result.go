package loadgen

import "time"

const (
	maxSendDelay = 5 * time.Millisecond // delay above which a request counts as sent late
	maxLateShare = 0.01                 // share of requests sent late above which a load counts as overrun
)

// Result is the outcome of a load.
type Result struct {
	Target string `json:"target"`
	Counts
	Timings
	Overrun bool   `json:"tool_overrun"`              // the generator was too slow: latencies include its own delay
	Broken  string `json:"connection_lost,omitempty"` // cause of the latest lost connection, "" for none
}

// Counts are the numbers of requests by outcome.
type Counts struct {
	Due           int            `json:"due"` // requests whose scheduled time was reached
	Sent          int            `json:"sent"`
	Placed        int            `json:"placed"`
	Rejected      int            `json:"rejected"`
	Unschedulable int            `json:"unschedulable"`
	Unanswered    int            `json:"unanswered"`   // requests without an answer, sent or not
	Late          int            `json:"late_answers"` // answers after the pending timeout
	Wrong         []string       `json:"wrong"`        // protocol violations, maxWrong at most
	Ended         int            `json:"ended"`        // placed workloads that have ended
	Reasons       map[string]int `json:"reasons"`      // number of rejected or unschedulable requests by reason
}

// Timings are the rates and latencies of a load.
type Timings struct {
	Seconds       float64 `json:"seconds"` // time from the start until the last request was sent
	DuePerSec     float64 `json:"due_per_second"`
	SentPerSec    float64 `json:"sent_per_second"`
	Latency       Latency `json:"latency"`        // scheduled time to answer, for all answered requests
	PlacedLatency Latency `json:"placed_latency"` // scheduled time to answer, for placed requests
	SendDelay     Latency `json:"sent_late"`      // scheduled time to sending
}

// Good reports whether every request was answered before its pending timeout, without protocol violations and lost
// connections, and the generator kept up.
func (r *Result) Good() bool {
	return len(r.Wrong) == 0 && r.Unanswered == 0 && r.Late == 0 && r.Broken == "" && !r.Overrun
}
