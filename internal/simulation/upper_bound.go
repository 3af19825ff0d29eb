package simulation

import (
	"grebeglade/internal/oracle"
	"grebeglade/internal/simulation/emulator"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
)

// Oracle compares a scenario run with the optimum, in shares of the core time that clients wanted until they stopped
// sending requests. The optimum lies between Best and Bound. The run falls short of Best by the sum of Rules, Asking,
// Decisions and Knowledge.
type Oracle struct {
	Bound     float64 `json:"bound"`     // upper bound for any scheduler
	Best      float64 `json:"best"`      // highest share that is known to be feasible
	Rules     float64 `json:"rules"`     // lost by the best placement to spread limits and warm-up budgets
	Asking    float64 `json:"asking"`    // lost to clients that retry late, or not at all, what a node lost
	Decisions float64 `json:"decisions"` // the rest, with full knowledge: the engine's choices, and start times
	Knowledge float64 `json:"knowledge"` // lost to stale state, and to allocators not knowing of each other's binds
}

const (
	freshDelay = placement.Millis(10) // ms between discovery updates, and load reports, in a run with full knowledge
	noRetry    = placement.Millis(-1) // mean retry delay of what is never retried
	noLimit    = -1                   // bind limit of a node that does not warm up
)

// oracle compares the share of core time that ran with what the best placement of the same demand could have run.
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
	informed, err := r.playWithFullKnowledge()
	if err != nil {
		return nil, err
	}
	result := &Oracle{
		Bound:     oracle.Bound(machines, workloads, end) / wanted,
		Best:      max(unconstrained, constrained, informed, ran),
		Rules:     unconstrained - constrained,
		Asking:    constrained - retried,
		Knowledge: informed - ran,
	}
	result.Decisions = result.Best - result.Rules - result.Asking - informed
	return result, nil
}

// oracleConstraints returns the limits on binds to nodes that warm up.
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

// playWithFullKnowledge repeats the run with one allocator and without delays of its state, and returns the share that
// ran.
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

// meanRetryDelay returns the mean delay before a client retries a lost workload, or noRetry.
func (r *Run) meanRetryDelay(idempotency placement.Idempotency) placement.Millis {
	delay := r.script.Client.RetryDelay
	switch idempotency {
	case placement.AtMostOnce:
		return noRetry
	case placement.IdempotentByKey:
		return max(delay, emulator.RetryAfterUnknown)
	case placement.Idempotent:
		// It is retried without a further delay.
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
