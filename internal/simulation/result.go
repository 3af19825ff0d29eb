package simulation

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"grebeglade/internal/frontend/native"
	"grebeglade/internal/simulation/audit"
	"grebeglade/internal/simulation/emulator"
)

// Result is the outcome of a run. Each request ends as one of Placed, Rejected, Unschedulable, Withdrawn (by its
// client, before an answer), Disconnected (its allocator or connection was lost) and Unanswered. The fields are encoded
// as the JSON document of lab play, in their order, and therefore are all in one struct.
type Result struct {
	Name                  string         `json:"name"`
	About                 string         `json:"about,omitempty"`
	Seed                  uint64         `json:"seed"`
	Virtual               bool           `json:"virtual"`
	Allocators            int            `json:"allocators"`
	Nodes                 int            `json:"nodes"`
	AllocatorIncarnations int            `json:"allocator_lives"` // allocator processes started, including restarts
	Workloads             int            `json:"workloads"`       // requests, including retries
	FirstRequests         int            `json:"firsts"`
	Placed                int            `json:"placed"`
	Rejected              int            `json:"rejected"`
	Unschedulable         int            `json:"unschedulable"`
	Withdrawn             int            `json:"withdrawn"`
	Disconnected          int            `json:"cut"`
	Unanswered            int            `json:"unanswered"`
	Binds                 uint64         `json:"binds"`
	Migrations            uint64         `json:"moves"`
	HealthChecks          uint64         `json:"probes"`
	DiscoveryCalls        uint64         `json:"list_calls"`
	Duplicates            uint64         `json:"duplicates"`
	UnmatchedReplies      uint64         `json:"stray"`
	AnsweredFromStorage   uint64         `json:"known_before"` // requests answered from durable state
	Ended                 map[string]int `json:"ended"`
	WaitMedian            float64        `json:"wait_median_ms"` // time from the answered request until the placement
	Wait99                float64        `json:"wait_p99_ms"`
	OverloadedNodes       int            `json:"fell"` // node failures caused by too many offers during warm-up

	// CoreTimeShare is the core time that single workloads ran, as a share of the core time that they wanted, while
	// clients sent requests.
	CoreTimeShare    float64           `json:"core_time_share"`
	DiscoveryEntries uint64            `json:"list_entries"` // node list entries received by allocators
	Oracle           *Oracle           `json:"oracle,omitempty"`
	FirstPlaced      float64           `json:"singles_placed_at_first"` // share of Singles placed by their first request
	Gangs            int               `json:"gangs"`                   // gangs wanted by clients
	GangsPlaced      int               `json:"gangs_standing"`          // gangs that started
	GangsAbandoned   int               `json:"gangs_given_up"`          // gangs that never started
	PartialLeft      int               `json:"partial_groups_left"`     // gangs that ran incomplete for too long
	GangMedian       float64           `json:"gang_wait_median_ms"`     // time from the first request until the start
	GangWasted       float64           `json:"gang_wasted_share"`       // share of core time in gangs that had not started
	GangStops        uint64            `json:"gang_stops"`              // stops of parts sent by allocators
	Frames           int               `json:"frames"`
	ScenarioSeconds  float64           `json:"day_seconds"`
	RanSeconds       float64           `json:"ran_seconds"`
	LimitUse         audit.LimitUse    `json:"nearest"` // highest use of each limit
	Digest           string            `json:"digest"`
	Violations       []audit.Violation `json:"broken"`
	MoreViolations   int               `json:"more_broken,omitempty"`
	Singles          int               `json:"singles"` // workloads that belong to no gang
}

// SinglesWanted reports whether workloads outside gangs were wanted.
func (r *Result) SinglesWanted() bool { return r.Singles > 0 }

// Result returns the result of the run. It must be called after all handlers have stopped.
func (r *Run) Result(auditor *audit.Auditor) *Result {
	result := &Result{
		Name:            r.script.Name,
		About:           r.script.About,
		Seed:            r.opts.Seed,
		Allocators:      r.script.Allocators,
		Nodes:           len(r.nodes),
		Ended:           map[string]int{},
		Frames:          auditor.Frames,
		Violations:      auditor.Violations,
		MoreViolations:  auditor.MoreViolations,
		OverloadedNodes: len(r.overloads),
		LimitUse:        auditor.LimitUse,
		ScenarioSeconds: float64(r.script.Length) / 1000,
		PartialLeft:     auditor.IncompleteGangs(),
		GangWasted:      auditor.WastedCoreShare(),
	}
	if result.Violations == nil {
		result.Violations = []audit.Violation{} // never null in JSON
	}
	result.addTallies(r.tallies())
	result.CoreTimeShare = r.coreTimeShare()
	result.addFrontends(r.frontends)
	return result
}

// tallies returns the tally of each client.
func (r *Run) tallies() (all []*emulator.Tally) {
	for _, process := range r.clients {
		all = append(all, &process.Handler().(*emulator.Client).Tally)
	}
	return all
}

// addTallies adds the tallies of the clients. If clients requested the parts of gangs independently, their tallies hold
// the wasted core time of gangs, which replaces the value of the auditor.
func (r *Result) addTallies(tallies []*emulator.Tally) {
	var waits, gangWaits []float64
	var placedFirst int
	var wasted, used float64
	for _, tally := range tallies {
		r.addTally(tally)
		waits = append(waits, tally.Waits...)
		gangWaits = append(gangWaits, tally.GangWaits...)
		wasted += tally.Wasted
		used += tally.Used
		placedFirst += tally.SinglesPlaced
	}
	r.FirstPlaced = float64(placedFirst) / float64(max(1, r.Singles))
	if wasted+used > 0 {
		r.GangWasted = wasted / (wasted + used)
	}
	slices.Sort(gangWaits)
	r.GangMedian = percentile(gangWaits, 0.5)
	slices.Sort(waits)
	r.WaitMedian = percentile(waits, 0.5)
	r.Wait99 = percentile(waits, 0.99)
}

// addTally adds the counters of one client.
func (r *Result) addTally(tally *emulator.Tally) {
	r.Workloads += tally.Requests
	r.FirstRequests += tally.FirstRequests
	r.Placed += tally.Placed
	r.Rejected += tally.Rejected
	r.Unschedulable += tally.Unschedulable
	r.Withdrawn += tally.Withdrawn
	r.Disconnected += tally.Disconnected
	r.Unanswered += tally.Unanswered
	r.Singles += tally.SinglesFirst
	r.Gangs += tally.Gangs
	r.GangsPlaced += tally.GangsStarted
	r.GangsAbandoned += tally.GangsAbandoned
	for reason, count := range tally.Ended {
		r.Ended[reason.String()] += count
	}
}

// coreTimeShare returns the core time that ran, as a share of the core time wanted. It stops the nodes, which completes
// their accounting.
func (r *Run) coreTimeShare() float64 {
	ran := 0.0
	for i, process := range r.nodes {
		if node, ok := process.Handler().(*emulator.Node); ok {
			node.Stop()
		}
		ran += r.specs[i].CoreTime
	}
	if wanted := r.wantedCores(); wanted > 0 {
		ran /= wanted
	}
	return ran
}

// addFrontends adds the counters of all incarnations of the allocators, and the digest of their event logs.
func (r *Result) addFrontends(allocators [][]*native.Frontend) {
	var digests []byte
	for _, incarnations := range allocators {
		r.AllocatorIncarnations += len(incarnations)
		for _, frontend := range incarnations {
			counters := frontend.Counters
			r.Binds += counters.Binds
			r.Migrations += counters.Migrations
			r.HealthChecks += counters.HealthChecks
			r.DiscoveryCalls += counters.DiscoveryCalls
			r.DiscoveryEntries += counters.DiscoveryEntries
			r.GangStops += counters.GangPartStops
			r.Duplicates += counters.DuplicateRequests
			r.UnmatchedReplies += counters.UnmatchedReplies
			r.AnsweredFromStorage += counters.AnsweredFromJournal
			digests = binary.LittleEndian.AppendUint64(digests, frontend.EventLog().Digest())
		}
	}
	r.Digest = fmt.Sprintf("%016x", xxhash.Sum64(digests))
}

// wantedCores returns the core time, in core milliseconds, that single workloads wanted until clients stopped sending
// requests.
func (r *Run) wantedCores() (sum float64) {
	for _, want := range r.wantedWorkloads() {
		duration := max(0, min(want.Until, r.RequestsEnd())-want.From)
		sum += want.Cores * float64(duration)
	}
	return sum
}

// wantedWorkloads returns the single workloads that clients wanted.
func (r *Run) wantedWorkloads() (all []*emulator.Want) {
	for _, tally := range r.tallies() {
		all = append(all, tally.Wants...)
	}
	return all
}

// percentile returns the value below which the given share (0 to 1) of the sorted values lies, or 0 without values.
func percentile(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
