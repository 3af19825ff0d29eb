package simulator

import (
	"grebeglade/internal/allocator"
	"grebeglade/internal/settings"
	"grebeglade/placement"
)

// instance is one allocator. Instances share the reply and the lists of nodes, and nothing else. It implements
// allocator.Host: the engine's actions become records of the reply.
type instance struct {
	number     uint16
	engine     *allocator.Engine
	loadFields []string // names of the values in a load report, in order
	reply      *reply
}

func newInstance(number uint16, request attachRequest, r *reply) (*instance, error) {
	received, err := settings.FromPairs(request.settings)
	if err != nil {
		return nil, err
	}
	in := &instance{
		number:     number,
		loadFields: received.ReportFields,
		reply:      r,
	}
	in.engine = allocator.New(received.Settings, request.seed, in, allocator.Options{})
	return in, nil
}

// handle passes a record to the engine. Records of unknown codes are skipped.
func (in *instance) handle(now placement.Millis, code requestCode, r *fieldReader) error {
	switch code {
	case codePong:
		return in.handleHealthCheckEnded(now, r)
	case codeNewTask:
		return in.handleRequest(now, r)
	case codeSettled:
		return in.handleBindEnded(now, r)
	case codeStanding:
		return in.handleRunningWorkload(now, r)
	case codeHint:
		return in.handleUsageReport(now, r)
	case codeDropped:
		return in.handleWithdrawal(now, r)
	case codeLanded:
		return in.handleBindAccepted(now, r)
	case codeWakeup:
		return in.handleWakeup(now, r)
	default:
		return nil
	}
}

func (in *instance) handleHealthCheckEnded(now placement.Millis, r *fieldReader) error {
	m, err := decodeHealthCheckEnded(r)
	if err == nil {
		in.engine.HealthChecked(now, m.node, m.healthy, in.loadReport(m.load))
	}
	return err
}

func (in *instance) handleRequest(now placement.Millis, r *fieldReader) error {
	w, err := decodeRequest(r)
	if err == nil {
		in.engine.Schedule(now, w)
	}
	return err
}

func (in *instance) handleBindEnded(now placement.Millis, r *fieldReader) error {
	m, err := decodeBindEnded(r)
	if err == nil {
		m.result.Load = in.loadReport(m.load)
		in.engine.BindEnded(now, m.workload, m.bind, m.node, m.result)
	}
	return err
}

func (in *instance) handleRunningWorkload(now placement.Millis, r *fieldReader) error {
	m, err := decodeRunningWorkload(r)
	if err == nil {
		in.engine.Adopt(now, m.workload, m.node)
	}
	return err
}

func (in *instance) handleUsageReport(now placement.Millis, r *fieldReader) error {
	m, err := decodeUsageReport(r)
	if err == nil && m.known {
		in.engine.ReportUsage(now, m.workload, m.bind, m.kind, m.level)
	}
	return err
}

func (in *instance) handleWithdrawal(now placement.Millis, r *fieldReader) error {
	id, err := decodeWithdrawal(r)
	if err == nil {
		in.engine.Withdraw(now, id)
	}
	return err
}

func (in *instance) handleBindAccepted(now placement.Millis, r *fieldReader) error {
	m, err := decodeBindAccepted(r)
	if err == nil {
		in.engine.BindConfirmed(now, m.workload, m.bind, nil)
	}
	return err
}

func (in *instance) handleWakeup(now placement.Millis, r *fieldReader) error {
	err := decodeWakeup(r)
	if err == nil {
		in.engine.Tick(now)
	}
	return err
}

// loadReport names the values of a load report, or returns nil if there are none.
func (in *instance) loadReport(values []float64) *placement.LoadReport {
	if len(values) == 0 {
		return nil
	}
	report := settings.UnknownLoad()
	for i, name := range in.loadFields[:min(len(values), len(in.loadFields))] {
		settings.SetLoadField(report, name, values[i])
	}
	return report
}

// Bind implements allocator.Actions.
func (in *instance) Bind(id placement.WorkloadID, _ int, node placement.NodeID, timeout placement.Millis) {
	in.reply.bind(in.number, id, node, timeout)
}

// Stop implements allocator.Actions. Only a migration is sent: the simulator itself ends a bind that has timed out, or
// whose workload was withdrawn.
func (in *instance) Stop(id placement.WorkloadID, _ int, _ placement.NodeID, reason allocator.StopReason, _ bool) {
	if reason == allocator.Migrating {
		in.reply.migrate(in.number, id)
	}
}

// CheckHealth implements allocator.Actions.
func (in *instance) CheckHealth(n placement.NodeID) { in.reply.checkHealth(in.number, n) }

// SubscribeNodes implements allocator.Actions.
func (in *instance) SubscribeNodes() { in.reply.subscribe(in.number) }

// Answer implements allocator.Actions. The simulator knows by itself that a workload was placed.
func (in *instance) Answer(id placement.WorkloadID, v allocator.Verdict, _ placement.NodeID) {
	switch v {
	case allocator.Rejected:
		in.reply.reject(in.number, id)
	case allocator.Unschedulable:
		in.reply.unschedulable(in.number, id)
	case allocator.Placed:
	}
}

// NotifyEnded implements allocator.Actions. The simulator knows by itself.
func (in *instance) NotifyEnded(placement.WorkloadID, placement.NodeID, bool, placement.Reason) {}

// Forget implements allocator.Actions. There is nothing to forget.
func (in *instance) Forget(placement.WorkloadID) {}

// Wake implements allocator.Host.
func (in *instance) Wake(at placement.Millis) { in.reply.alarm(in.number, at) }
