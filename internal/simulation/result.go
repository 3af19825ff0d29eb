package simulation

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"grebeglade/internal/simulation/audit"
	"grebeglade/internal/simulation/emulator"
)

// Result is the outcome of a run. Each request ends as one of Placed, Rejected, Unschedulable, Withdrawn (by its client, before an
// answer), Disconnected (its allocator or connection was lost) and Unanswered. The fields are the JSON document of lab play.
type Result struct {
	Name                  string         `json:"name"`
	About                 string         `json:"about,omitempty"`
	Seed                  uint64         `json:"seed"`
	Virtual               bool           `json:"virtual"`
	Allocators            int            `json:"allocators"`
	Nodes                 int            `json:"nodes"`
	AllocatorIncarnations int            `json:"allocator_lives"` // allocator processes, restarts included
	Workloads             int            `json:"workloads"`       // requests, retries included
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
	AnsweredFromStorage   uint64         `json:"known_before"` // requests answered from the journal
	Ended                 map[string]int `json:"ended"`
	WaitMedian            float64        `json:"wait_median_ms"` // from the request to its placement
	Wait99                float64        `json:"wait_p99_ms"`
	OverloadedNodes       int            `json:"fell"` // nodes that failed from too many offers while warming up

	CoreTimeShare    float64           `json:"core_time_share"` // of the core time that single workloads wanted until clients stopped sending requests
	DiscoveryEntries uint64            `json:"list_entries"`    // sent to allocators
	Oracle           *Oracle           `json:"oracle,omitempty"`
	FirstPlaced      float64           `json:"singles_placed_at_first"` // share of single workloads that their first request placed
	Gangs            int               `json:"gangs"`                   // that clients wanted
	GangsPlaced      int               `json:"gangs_standing"`          // that started
	GangsAbandoned   int               `json:"gangs_given_up"`          // that never started and are no longer requested
	PartialLeft      int               `json:"partial_groups_left"`     // incomplete gangs that the auditor found after the settle time
	GangMedian       float64           `json:"gang_wait_median_ms"`     // from a gang's first request until it started
	GangWasted       float64           `json:"gang_wasted_share"`       // share of the parts' core time that gangs which did not start took
	GangStops        uint64            `json:"gang_stops"`              // gang parts that allocators stopped
	Frames           int               `json:"frames"`
	ScenarioSeconds  float64           `json:"day_seconds"`
	RanSeconds       float64           `json:"ran_seconds"`
	LimitUse         audit.LimitUse    `json:"nearest"` // the highest use of each limit
	Digest           string            `json:"digest"`
	Violations       []audit.Violation `json:"broken"`
	MoreViolations   int               `json:"more_broken,omitempty"`
	Singles          int               `json:"singles"` // workloads that belong to no gang
}

// SinglesWanted reports whether workloads outside gangs were wanted.
func (r *Result) SinglesWanted() bool { return r.Singles > 0 }

// Result returns the result of the run. No handler may run any more.
func (d *Run) Result(a *audit.Auditor) *Result {
	s := d.script
	r := &Result{
		Name:            s.Name,
		About:           s.About,
		Seed:            d.opts.Seed,
		Allocators:      s.Allocators,
		Nodes:           len(d.nodes),
		Ended:           map[string]int{},
		Frames:          a.Frames,
		Violations:      a.Violations,
		MoreViolations:  a.MoreViolations,
		OverloadedNodes: len(d.overloads),
		LimitUse:        a.LimitUse,
		ScenarioSeconds: float64(s.Length) / 1000,
		PartialLeft:     a.IncompleteGangs(),
		GangWasted:      a.WastedCoreShare(),
	}
	if r.Violations == nil {
		r.Violations = []audit.Violation{} // never null in JSON
	}
	d.addClients(r)
	d.addNodeTime(r)
	d.addFrontends(r)
	return r
}

// addClients adds what the clients have counted.
func (d *Run) addClients(r *Result) {
	var waits, gangWaits []float64
	placedFirst := 0
	wasted := 0.0
	used := 0.0
	for _, g := range d.clients {
		t := &g.Handler().(*emulator.Client).Tally
		r.addTally(t)
		waits = append(waits, t.Waits...)
		gangWaits = append(gangWaits, t.GangWaits...)
		wasted += t.Wasted
		used += t.Used
		placedFirst += t.SinglesPlaced
	}
	r.FirstPlaced = float64(placedFirst) / float64(max(1, r.Singles))
	slices.Sort(gangWaits)
	r.GangMedian = percentile(gangWaits, 0.5)
	if wasted+used > 0 {
		r.GangWasted = wasted / (wasted + used)
	}
	slices.Sort(waits)
	r.WaitMedian = percentile(waits, 0.5)
	r.Wait99 = percentile(waits, 0.99)
}

func (r *Result) addTally(t *emulator.Tally) {
	r.Workloads += t.Requests
	r.FirstRequests += t.FirstRequests
	r.Placed += t.Placed
	r.Rejected += t.Rejected
	r.Unschedulable += t.Unschedulable
	r.Withdrawn += t.Withdrawn
	r.Disconnected += t.Disconnected
	r.Unanswered += t.Unanswered
	r.Singles += t.SinglesFirst
	r.Gangs += t.Gangs
	r.GangsPlaced += t.GangsStarted
	r.GangsAbandoned += t.GangsAbandoned
	for reason, n := range t.Ended {
		r.Ended[reason.String()] += n
	}
}

// addNodeTime adds the share of the wanted core time that ran.
func (d *Run) addNodeTime(r *Result) {
	for i, g := range d.nodes {
		if n, ok := g.Handler().(*emulator.Node); ok {
			n.Stop()
		}
		r.CoreTimeShare += d.specs[i].CoreTime
	}
	if wanted := d.wantedCores(); wanted > 0 {
		r.CoreTimeShare /= wanted
	}
}

// addFrontends adds the counters of the allocators' incarnations, and the digest of their event logs.
func (d *Run) addFrontends(r *Result) {
	var logs []byte
	for _, incarnations := range d.frontends {
		r.AllocatorIncarnations += len(incarnations)
		for _, p := range incarnations {
			r.Binds += p.Counters.Binds
			r.Migrations += p.Counters.Migrations
			r.HealthChecks += p.Counters.HealthChecks
			r.DiscoveryCalls += p.Counters.DiscoveryCalls
			r.DiscoveryEntries += p.Counters.DiscoveryEntries
			r.GangStops += p.Counters.GangPartStops
			r.Duplicates += p.Counters.DuplicateRequests
			r.UnmatchedReplies += p.Counters.UnmatchedReplies
			r.AnsweredFromStorage += p.Counters.AnsweredFromJournal
			logs = binary.LittleEndian.AppendUint64(logs, p.EventLog().Digest())
		}
	}
	r.Digest = fmt.Sprintf("%016x", xxhash.Sum64(logs))
}

// wantedCores returns the core time, in core milliseconds, that single workloads wanted until clients stopped sending requests.
func (d *Run) wantedCores() (sum float64) {
	for _, w := range d.wantedWorkloads() {
		sum += w.Cores * float64(max(0, min(w.Until, d.RequestsEnd())-w.From))
	}
	return sum
}

func (d *Run) wantedWorkloads() (all []*emulator.Want) {
	for _, g := range d.clients {
		all = append(all, g.Handler().(*emulator.Client).Tally.Wants...)
	}
	return all
}

// percentile returns the value below which that share of the sorted values lies, or 0 if there are none.
func percentile(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
