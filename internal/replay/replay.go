package replay

import (
	"fmt"
	"iter"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"grebeglade/internal/allocator"
	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// Options configure a replay. The zero value replays with the recorded settings.
type Options struct {
	// Settings, if not nil, returns the settings to use instead of the recorded ones. Every decision may differ then, and
	// the replay goes on past differences.
	Settings func(placement.Settings) (placement.Settings, error)
	// Module, if not nil, makes the module to use instead of placement.New, for tests of the comparison.
	Module func(settings placement.Settings, seed uint64) allocator.Module
}

func (o *Options) newModule(settings placement.Settings, seed uint64) allocator.Module {
	if o.Module != nil {
		return o.Module(settings, seed)
	}
	return placement.New(settings, seed)
}

// whatIf tells whether the replay is made with other settings than the recorded ones.
func (o *Options) whatIf() bool { return o.Settings != nil }

// Run makes the calls of records to a module and compares each decision. Records of several allocators, whose names are
// in sources, may be mixed: each has a replay and a report of its own. Run ends at damage. With the recorded settings the
// replay of an allocator ends at its first divergence, since what follows was recorded after another decision.
func Run(records iter.Seq2[*trace.Record, error], sources []*tracepb.Source, o Options) ([]*Report, error) {
	replays := map[uint32]*replay{}
	for r, err := range records {
		if err != nil {
			return nil, err
		}
		one := replays[r.Source]
		if one == nil {
			if r.GetStart() == nil {
				return nil, ErrNoStart
			}
			one = &replay{options: o, nextRevision: r.Revision}
			one.report.Source = sourceName(sources, r.Source)
			replays[r.Source] = one
		}
		if err := one.add(r); err != nil {
			return nil, fmt.Errorf("%s, revision %d: %w", one.report.Source, r.Revision, err)
		}
	}
	if len(replays) == 0 {
		return nil, ErrNoStart
	}
	var reports []*Report
	for _, source := range slices.Sorted(maps.Keys(replays)) {
		reports = append(reports, &replays[source].report)
	}
	return reports, nil
}

func sourceName(sources []*tracepb.Source, i uint32) string {
	if int(i) < len(sources) {
		return fmt.Sprintf("%s.%d", sources[i].Allocator, sources[i].Incarnation)
	}
	return fmt.Sprintf("source %d", i)
}

// replay is the replay of one incarnation of an allocator.
type replay struct {
	reporter
	options      Options
	session      *session // from the record of the start on
	nextRevision uint64
}

// ended tells whether the replay has ended at a divergence.
func (p *replay) ended() bool { return p.report.Differ != nil && !p.options.whatIf() }

func (p *replay) add(r *trace.Record) error {
	if p.ended() {
		return nil
	}
	if gap := r.GetGap(); gap != nil {
		return GapError{Missing: gap.Missing, Reason: gap.Why}
	}
	if r.Revision != p.nextRevision {
		return RevisionError{Previous: p.nextRevision - 1}
	}
	p.nextRevision++
	if s := r.GetStart(); s != nil {
		return p.start(s)
	}
	p.call(r)
	return nil
}

func (p *replay) start(s *tracepb.Start) error {
	settings := decodeSettings(s.Settings)
	if p.options.whatIf() {
		var err error
		if settings, err = p.options.Settings(settings); err != nil {
			return err
		}
		p.report.WhatIf = &WhatIf{}
	}
	p.session = newSession(p.options.newModule(settings, s.Seed))
	return nil
}

// call makes the call of a record and compares its outcome.
func (p *replay) call(r *trace.Record) {
	switch o := p.session.call(r); o.kind {
	case notCalled:
		return
	case nothingReturned:
	case stepReturned:
		if p.options.whatIf() {
			p.compareWhatIf(r, o)
		} else {
			p.compareStep(r, o)
		}
	case maintenanceReturned:
		p.compare(r, proto.Equal(o.maintenance, r.Chores), maintenanceText(r.Chores), maintenanceText(o.maintenance))
	case workloadUnknown:
		if !p.options.whatIf() {
			p.compare(r, false, stepText(r.Step), "nothing: the workload was let go of before")
		}
	}
	p.countCall(r)
}

func (p *replay) compareStep(r *trace.Record, o outcome) {
	p.session.follow(o.workload, o.step)
	decided := encodeStep(o.step)
	p.compare(r, proto.Equal(decided, r.Step), stepText(r.Step), stepText(decided))
}

// compareWhatIf compares a step that was decided with other settings. Where it is of the recorded kind, the recorded
// results are taken for its own, whichever node it names. Where it is not, its results are unknown: its bind is withdrawn
// and the workload abandoned.
func (p *replay) compareWhatIf(r *trace.Record, o outcome) {
	decided := encodeStep(o.step)
	sameKind := r.Step.GetKind() == decided.Kind
	p.report.Decisions++
	if sameKind && r.Step.GetNode() == decided.Node {
		p.report.Same++
	}
	if r.GetPlace() != nil {
		p.report.WhatIf.count(r.Step, decided)
	}
	if sameKind {
		p.session.follow(o.workload, o.step)
		return
	}
	p.session.abandon(o.workload)
	if o.step.NextStep != nil && (o.step.Kind == placement.Bind || o.step.Kind == placement.AwaitEnd) {
		o.step.NextStep(placement.Millis(r.AtMs), placement.Result{Kind: placement.NotAttempted, Final: true})
	}
}
