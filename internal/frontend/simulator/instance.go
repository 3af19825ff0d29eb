package simulator

import (
	"grebeglade/internal/allocator"
	"grebeglade/internal/settings"
	"grebeglade/placement"
)

// instance is one simulated allocator. Instances share only the reply and the node lists. It implements allocator.Host
// by appending the engine's actions to the reply as records.
type instance struct {
	number     uint16
	engine     *allocator.Engine
	loadFields []string // names of the values of a load report, in order
	reply      *reply
}

// newInstance returns an instance whose engine is not started. It returns an error if the settings are invalid.
func newInstance(number uint16, request startRequest, r *reply) (*instance, error) {
	received, err := settings.FromPairs(request.settings)
	if err != nil {
		return nil, err
	}
	started := &instance{
		number:     number,
		loadFields: received.ReportFields,
		reply:      r,
	}
	started.engine = allocator.New(received.Settings, request.seed, started, allocator.Options{})
	return started, nil
}

// handle decodes a record and calls the engine with it.
func (in *instance) handle(now placement.Millis, code requestCode, fields *fieldReader) error {
	switch code {
	case codeHealthCheckEnded:
		return in.handleHealthCheckEnded(now, fields)
	case codePlaceRequest:
		return in.handleRequest(now, fields)
	case codeBindEnded:
		return in.handleBindEnded(now, fields)
	case codeRunningWorkload:
		return in.handleRunningWorkload(now, fields)
	case codeUsageReport:
		return in.handleUsageReport(now, fields)
	case codeWithdrawal:
		return in.handleWithdrawal(now, fields)
	case codeBindAccepted:
		return in.handleBindAccepted(now, fields)
	case codeWakeup:
		return in.handleWakeup(now, fields)
	case codeInstanceStart, codeInstanceStop, codeNodeList, codeNodeUpdate, codePeerMessage: // handled by server
	}
	return nil
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
	if err == nil && m.kindSupported {
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

// loadReport returns the load report with the given values, or nil if there are none. Values beyond loadFields are
// ignored.
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

// Stop implements allocator.Actions. Only migrations are sent: the simulator itself ends binds that time out or whose
// workload is withdrawn.
func (in *instance) Stop(id placement.WorkloadID, _ int, _ placement.NodeID, reason allocator.StopReason, _ bool) {
	if reason == allocator.Migrating {
		in.reply.migrate(in.number, id)
	}
}

// CheckHealth implements allocator.Actions.
func (in *instance) CheckHealth(n placement.NodeID) { in.reply.checkHealth(in.number, n) }

// SubscribeNodes implements allocator.Actions.
func (in *instance) SubscribeNodes() { in.reply.subscribe(in.number) }

// Answer implements allocator.Actions. Placements are not sent: the simulator itself has reported the confirmation.
func (in *instance) Answer(id placement.WorkloadID, verdict allocator.Verdict, _ placement.NodeID) {
	switch verdict {
	case allocator.Rejected:
		in.reply.reject(in.number, id)
	case allocator.Unschedulable:
		in.reply.unschedulable(in.number, id)
	case allocator.Placed: // not sent
	}
}

// NotifyEnded implements allocator.Actions. It sends nothing: the simulator itself has reported the end.
func (in *instance) NotifyEnded(placement.WorkloadID, placement.NodeID, bool, placement.Reason) {}

// Forget implements allocator.Actions. It does nothing: an instance keeps no state per workload.
func (in *instance) Forget(placement.WorkloadID) {}

// Wake implements allocator.Host.
func (in *instance) Wake(at placement.Millis) { in.reply.wakeAt(in.number, at) }
