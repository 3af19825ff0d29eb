package simulation

import (
	"grebeglade/internal/oracle"
	"grebeglade/placement"
)

// Oracle is how far a day was from the best, in shares of the core time that was wanted while owners asked. The best
// lies between Best and Bound. What the day lacks of Best is the sum of Rules, Asking, Decisions and Knowledge.
type Oracle struct {
	Bound     float64 `json:"bound"`     // no scheduler runs more
	Best      float64 `json:"best"`      // the most that is known to have been possible
	Rules     float64 `json:"rules"`     // that keeping spread and cold budgets costs the best placing
	Asking    float64 `json:"asking"`    // that owners who ask again late, or must not, for what a machine lost cost it
	Decisions float64 `json:"decisions"` // the rest, with the true state at hand: the engine's choices, and programs that take time to start
	Knowledge float64 `json:"knowledge"` // that the engine loses by knowing late, and by allocators not knowing of each other
}

// atOnce is how old the news may be on a day on which the engine sees the true state, in ms.
const freshDelay = placement.Millis(10)

// oracle works out what the best could have run of what was wanted on this day.
func (d *Run) oracle(ran float64) (*Oracle, error) {
	machines, wants, end := d.machines(), d.oracleWants(), d.RequestsEnd()
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
	free := oracle.Place(machines, wants, end, nil) / wanted
	ruled := oracle.Place(machines, wants, end, rules) / wanted
	rules.Asked = true
	asked := oracle.Place(machines, wants, end, rules) / wanted
	seeing, err := d.playWithFullKnowledge()
	if err != nil {
		return nil, err
	}
	o := &Oracle{Bound: oracle.Bound(machines, wants, end) / wanted, Best: max(free, ruled, seeing, ran)}
	o.Knowledge = seeing - ran
	o.Rules, o.Asking = free-ruled, ruled-asked
	o.Decisions = o.Best - o.Rules - o.Asking - seeing
	return o, nil
}

// seeing plays the day again with one allocator that knows of everything at once.
func (d *Run) playWithFullKnowledge() (float64, error) {
	s := *d.script
	s.Allocators, s.Discovery.Lag, s.Discovery.PushInterval, s.Discovery.EntriesPerSecond = 1, 0, freshDelay, 0
	s.Node.ReportInterval = min(s.Node.ReportInterval, freshDelay)
	r, err := PlayVirtual(&s, Options{Seed: d.opts.Seed, Deadline: d.opts.Deadline})
	if err != nil {
		return 0, err
	}
	return r.Ran, nil
}

// again is how long an owner waits, in the mean, before it asks again for what was lost.
func (d *Run) meanRetryDelay(e placement.Idempotency) placement.Millis {
	switch e {
	case placement.AtMostOnce:
		return -1
	case placement.IdempotentByKey:
		return max(d.script.Client.RetryDelay, retryAfterUnknown)
	}
	return d.script.Client.RetryDelay
}

func (d *Run) machines() []oracle.Machine {
	var all []oracle.Machine
	for i, g := range d.nodes {
		spec := d.specs[i]
		all = append(all, oracle.Machine{
			Zone: spec.Zone, Cell: spec.Cell, Cores: spec.Cores, Memory: spec.Memory,
			AskCores: spec.Cores * d.script.Node.CoreOvercommit, AskMemory: spec.Memory * d.script.Node.MemoryOvercommit,
			Up: g.uptime, Drains: d.drains[g],
		})
	}
	return all
}

func (d *Run) oracleWants() []oracle.Want {
	terms := d.script.Terms()
	var all []oracle.Want
	for _, w := range d.wantedWorkloads() {
		use, g := d.script.Node.Groups[w.Group], terms.Groups[w.Group]
		all = append(all, oracle.Want{
			From: w.From, Until: w.Until, Service: w.Service, Cores: w.Cores, Memory: w.Memory,
			UsesCores: w.Cores * use.CoreUse * serviceFactor(w.Service), UsesMemory: w.Memory * use.MemoryUse * serviceFactor(w.Service+1),
			Spread: g.SpreadScope, SpreadMost: g.MaxPerScope, Again: d.meanRetryDelay(g.Idempotency),
		})
	}
	return all
}
