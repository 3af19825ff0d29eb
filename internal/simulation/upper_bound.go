package simulation

import (
	"grebeglade/internal/oracle"
	"grebeglade/internal/simulation/emulator"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
)

// Oracle compares a run with the optimal placement. All values are shares of the core time that clients wanted until
// they stopped sending requests. The optimum is between Best and Bound. The difference between Best and the run is the
// sum of Rules, Asking, Decisions and Knowledge.
type Oracle struct {
	Bound     float64 `json:"bound"`     // upper bound for any scheduler
	Best      float64 `json:"best"`      // highest share of the compared schedules, which are all feasible
	Rules     float64 `json:"rules"`     // lost to spread limits and warm-up budgets
	Asking    float64 `json:"asking"`    // lost because clients retry lost workloads late, or not at all
	Decisions float64 `json:"decisions"` // remainder, with full knowledge: the engine's choices, and start times
	Knowledge float64 `json:"knowledge"` // lost to stale state, and to binds of other allocators not being visible
}

const (
	freshDelay = placement.Millis(10) // interval of discovery updates and load reports with full knowledge, in ms
	noRetry    = placement.Millis(-1) // mean retry delay of workloads that are never retried
	noLimit    = -1                   // bind limit of a node that has warmed up
)

// oracle compares the share of core time that ran with placements of the same demand by the oracle.
func (r *Run) oracle(ran float64) (*Oracle, error) {
	wanted := r.wantedCores()
	if wanted == 0 {
		return &Oracle{}, nil
	}
	machines := r.machines()
	workloads := r.oracleWorkloads()
	end := r.RequestsEnd()
	constraints := oracleConstraints(&r.script.Node)
	unconstrained := oracle.Place(machines, workloads, end, nil) / wanted
	constrained := oracle.Place(machines, workloads, end, constraints) / wanted
	constraints.AwaitRetry = true
	retried := oracle.Place(machines, workloads, end, constraints) / wanted
	fullKnowledge, err := r.playWithFullKnowledge()
	if err != nil {
		return nil, err
	}
	result := &Oracle{
		Bound:     oracle.Bound(machines, workloads, end) / wanted,
		Best:      max(unconstrained, constrained, fullKnowledge, ran),
		Rules:     unconstrained - constrained,
		Asking:    constrained - retried,
		Knowledge: fullKnowledge - ran,
	}
	result.Decisions = result.Best - result.Rules - result.Asking - fullKnowledge
	return result, nil
}

// oracleConstraints returns the limits on binds to nodes that are warming up.
func oracleConstraints(model *scenario.NodeModel) *oracle.Constraints {
	limit := func(uptime placement.Millis) float64 {
		if uptime >= model.WarmUpDuration {
			return noLimit
		}
		progress := float64(uptime / model.WarmUpDuration)
		return model.BindLimit(model.InitialRate + (1-model.InitialRate)*progress)
	}
	return &oracle.Constraints{Window: model.OverloadWindow, BindLimit: limit}
}

// playWithFullKnowledge repeats the run with one allocator that receives the state of the fleet within freshDelay, and
// returns the share of the wanted core time that ran.
func (r *Run) playWithFullKnowledge() (float64, error) {
	script := *r.script
	script.Allocators = 1
	script.Discovery.Lag = 0
	script.Discovery.PushInterval = freshDelay
	script.Discovery.EntriesPerSecond = 0
	script.Node.ReportInterval = min(script.Node.ReportInterval, freshDelay)
	result, err := PlayVirtual(&script, Options{Seed: r.opts.Seed, Deadline: r.opts.Deadline})
	if err != nil {
		return 0, err
	}
	return result.CoreTimeShare, nil
}

// meanRetryDelay returns the mean delay, in ms, before a client retries a lost workload, or noRetry.
func (r *Run) meanRetryDelay(idempotency placement.Idempotency) placement.Millis {
	delay := r.script.Client.RetryDelay
	switch idempotency {
	case placement.AtMostOnce:
		return noRetry
	case placement.IdempotentByKey:
		return max(delay, emulator.RetryAfterUnknown)
	case placement.Idempotent:
		// No delay in addition to RetryDelay.
	}
	return delay
}

// machines returns the nodes of the run as the oracle's machines.
func (r *Run) machines() []oracle.Machine {
	var all []oracle.Machine
	for i, process := range r.nodes {
		spec := r.specs[i]
		all = append(all, oracle.Machine{
			Zone:               spec.Zone,
			Cell:               spec.Cell,
			Cores:              spec.Cores,
			Memory:             spec.Memory,
			MaxRequestedCores:  spec.Cores * r.script.Node.CoreOvercommit,
			MaxRequestedMemory: spec.Memory * r.script.Node.MemoryOvercommit,
			Up:                 process.Uptime,
			Drains:             r.drains[process],
		})
	}
	return all
}

// oracleWorkloads returns the workloads that clients wanted, with their actual resource use.
func (r *Run) oracleWorkloads() []oracle.Workload {
	terms := r.script.Terms()
	var all []oracle.Workload
	for _, want := range r.wantedWorkloads() {
		model := r.script.Node.Groups[want.Group]
		group := terms.Groups[want.Group]
		all = append(all, oracle.Workload{
			From:        want.From,
			Until:       want.Until,
			Service:     want.Service,
			Cores:       want.Cores,
			Memory:      want.Memory,
			UsedCores:   want.Cores * model.CoreUse * emulator.CoreUseFactor(want.Service),
			UsedMemory:  want.Memory * model.MemoryUse * emulator.MemoryUseFactor(want.Service),
			SpreadScope: group.SpreadScope,
			MaxPerScope: group.MaxPerScope,
			RetryDelay:  r.meanRetryDelay(group.Idempotency),
		})
	}
	return all
}
