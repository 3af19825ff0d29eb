package simulation

import (
	"grebeglade/internal/oracle"
	"grebeglade/internal/simulation/emulator"
	"grebeglade/placement"
)

// Oracle compares a scenario run with the optimum, in shares of the core time that clients wanted until they stopped sending requests.
// The optimum lies between Best and Bound. The run falls short of Best by the sum of Rules, Asking, Decisions and Knowledge.
type Oracle struct {
	Bound     float64 `json:"bound"`     // upper bound for any scheduler
	Best      float64 `json:"best"`      // highest share that is known to be feasible
	Rules     float64 `json:"rules"`     // lost by the best placement to spread limits and warm-up budgets
	Asking    float64 `json:"asking"`    // lost to clients that retry after a delay, or must not retry, what a node lost
	Decisions float64 `json:"decisions"` // the rest, with full knowledge: the engine's choices and the start times of programs
	Knowledge float64 `json:"knowledge"` // lost to stale state, and to allocators not knowing of each other's binds
}

// freshDelay is the interval in ms of discovery updates and load reports in a run with full knowledge.
const freshDelay = placement.Millis(10)

// oracle compares the share of core time that ran with what the best placement of the same demand could have run.
func (d *Run) oracle(ran float64) (*Oracle, error) {
	machines := d.machines()
	wants := d.oracleWants()
	end := d.RequestsEnd()
	wanted := d.wantedCores()
	if wanted == 0 {
		return &Oracle{}, nil
	}
	m := &d.script.Node
	rules := &oracle.Rules{Window: m.OverloadWindow, Bears: func(up placement.Millis) float64 {
		if up >= m.WarmUpDuration {
			return -1
		}
		return m.BindLimit(m.InitialRate + (1-m.InitialRate)*float64(up/m.WarmUpDuration))
	}}
	unconstrained := oracle.Place(machines, wants, end, nil) / wanted
	constrained := oracle.Place(machines, wants, end, rules) / wanted
	rules.Asked = true
	retried := oracle.Place(machines, wants, end, rules) / wanted
	informed, err := d.playWithFullKnowledge()
	if err != nil {
		return nil, err
	}
	o := &Oracle{Bound: oracle.Bound(machines, wants, end) / wanted, Best: max(unconstrained, constrained, informed, ran)}
	o.Knowledge = informed - ran
	o.Rules = unconstrained - constrained
	o.Asking = constrained - retried
	o.Decisions = o.Best - o.Rules - o.Asking - informed
	return o, nil
}

// playWithFullKnowledge repeats the run with one allocator and without delays of its state, and returns the share that ran.
func (d *Run) playWithFullKnowledge() (float64, error) {
	s := *d.script
	s.Allocators = 1
	s.Discovery.Lag = 0
	s.Discovery.PushInterval = freshDelay
	s.Discovery.EntriesPerSecond = 0
	s.Node.ReportInterval = min(s.Node.ReportInterval, freshDelay)
	r, err := PlayVirtual(&s, Options{Seed: d.opts.Seed, Deadline: d.opts.Deadline})
	if err != nil {
		return 0, err
	}
	return r.CoreTimeShare, nil
}

// meanRetryDelay returns the mean delay before a client retries a lost workload, or -1 if it never does.
func (d *Run) meanRetryDelay(e placement.Idempotency) placement.Millis {
	switch e {
	case placement.AtMostOnce:
		return -1
	case placement.IdempotentByKey:
		return max(d.script.Client.RetryDelay, emulator.RetryAfterUnknown)
	}
	return d.script.Client.RetryDelay
}

// machines returns the nodes of the run as the oracle's machines.
func (d *Run) machines() []oracle.Machine {
	var all []oracle.Machine
	for i, g := range d.nodes {
		spec := d.specs[i]
		all = append(all, oracle.Machine{
			Zone:      spec.Zone,
			Cell:      spec.Cell,
			Cores:     spec.Cores,
			Memory:    spec.Memory,
			AskCores:  spec.Cores * d.script.Node.CoreOvercommit,
			AskMemory: spec.Memory * d.script.Node.MemoryOvercommit,
			Up:        g.Uptime,
			Drains:    d.drains[g],
		})
	}
	return all
}

// oracleWants returns the workloads that clients wanted, with their actual resource use.
func (d *Run) oracleWants() []oracle.Want {
	terms := d.script.Terms()
	var all []oracle.Want
	for _, w := range d.wantedWorkloads() {
		use := d.script.Node.Groups[w.Group]
		g := terms.Groups[w.Group]
		all = append(all, oracle.Want{
			From:       w.From,
			Until:      w.Until,
			Service:    w.Service,
			Cores:      w.Cores,
			Memory:     w.Memory,
			UsesCores:  w.Cores * use.CoreUse * emulator.CoreUseFactor(w.Service),
			UsesMemory: w.Memory * use.MemoryUse * emulator.MemoryUseFactor(w.Service),
			Spread:     g.SpreadScope,
			SpreadMost: g.MaxPerScope,
			Again:      d.meanRetryDelay(g.Idempotency),
		})
	}
	return all
}
