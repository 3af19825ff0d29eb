package replay_test

import (
	"bytes"
	"context"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/allocator"
	"grebeglade/internal/replay"
	"grebeglade/internal/simulation"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// playTraced runs a scenario in virtual time and returns the trace files of each allocator.
func playTraced(t *testing.T, name string) map[string][]*trace.Reader {
	t.Helper()
	s, err := scenario.Open(name)
	require.NoError(t, err)
	dir := t.TempDir()
	_, err = simulation.PlayVirtual(s, simulation.Options{Seed: 1, TraceDirectory: dir})
	require.NoError(t, err)
	return openTraces(t, dir)
}

// openTraces returns the trace files in a directory by allocator.
func openTraces(t *testing.T, dir string) map[string][]*trace.Reader {
	t.Helper()
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	all := map[string][]*trace.Reader{}
	for _, entry := range entries {
		for _, file := range trace.ListFiles(filepath.Join(dir, entry.Name())) {
			reader, err := trace.Open(file.Name)
			require.NoError(t, err)
			t.Cleanup(func() { require.NoError(t, reader.Close()) })
			all[entry.Name()] = append(all[entry.Name()], reader)
		}
	}
	require.NotEmpty(t, all)
	return all
}

// requireIdentical replays trace files, and requires that every decision is as recorded.
func requireIdentical(t *testing.T, traces map[string][]*trace.Reader) {
	t.Helper()
	for name, files := range traces {
		reports, err := replay.RunFiles(files, replay.Options{})
		require.NoError(t, err, name)
		for _, report := range reports {
			assert.True(t, report.Identical(), "%s: %+v", report.Source, report.Differ)
			assert.NotZero(t, report.Decisions)
		}
	}
}

func TestRunFiles_EveryScenarioIsIdentical(t *testing.T) {
	for _, name := range scenario.Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requireIdentical(t, playTraced(t, name))
		})
	}
}

func TestRunFiles_ScenarioOverSocketsIsIdentical(t *testing.T) {
	s, err := scenario.Open("rough")
	require.NoError(t, err)
	s.SetLength(4000)
	dir := t.TempDir()
	options := simulation.Options{Seed: 3, TraceDirectory: dir}
	result, err := simulation.PlaySockets(context.Background(), s, options, nil)
	require.NoError(t, err)
	assert.Empty(t, result.Violations)
	requireIdentical(t, openTraces(t, dir))
}

func TestRecorder_DoesNotChangeDecisions(t *testing.T) {
	s, err := scenario.Open("rough")
	require.NoError(t, err)
	recorded, err := simulation.PlayVirtual(s, simulation.Options{Seed: 5, TraceDirectory: t.TempDir()})
	require.NoError(t, err)
	s, err = scenario.Open("rough")
	require.NoError(t, err)
	unrecorded, err := simulation.PlayVirtual(s, simulation.Options{Seed: 5})
	require.NoError(t, err)
	assert.Equal(t, unrecorded.Digest, recorded.Digest)
}

func TestRunFiles_ChangedModuleIsReportedAtFirstDivergence(t *testing.T) {
	files := playTraced(t, "full")["allocator-1"]
	changed := func(s placement.Settings, seed uint64) allocator.Module {
		s.Groups = slices.Clone(s.Groups)
		for i := range s.Groups {
			s.Groups[i].FullServiceUtilization = 0.35 // a reduced maximum utilization
		}
		return placement.New(s, seed)
	}
	reports, err := replay.RunFiles(files, replay.Options{Module: changed})
	require.NoError(t, err)
	divergence := reports[0].Differ
	require.NotNil(t, divergence)
	assert.NotEqual(t, divergence.Recorded, divergence.Decided)
	assert.NotEmpty(t, divergence.Before)
	// All decisions before it are the same.
	records := 0
	for r, err := range files[0].Records(trace.Span{}) {
		require.NoError(t, err)
		if r.Revision < divergence.Revision && (r.Step != nil || r.Maintenance != nil) {
			records++
		}
	}
	assert.Equal(t, records, reports[0].Same)
}

// whatIf replays files with other settings.
func whatIf(
	t *testing.T, files []*trace.Reader, settings func(placement.Settings) (placement.Settings, error),
) *replay.WhatIf {
	t.Helper()
	reports, err := replay.RunFiles(files, replay.Options{Settings: settings})
	require.NoError(t, err)
	return reports[0].WhatIf
}

func TestRunFiles_OtherSettingsAreComparedByRequest(t *testing.T) {
	files := playTraced(t, "full")["allocator-1"]
	same := whatIf(t, files, func(s placement.Settings) (placement.Settings, error) { return s, nil })
	assert.Equal(t, same.Requests, same.SameNode+same.StillRejected, "the same settings give the same decisions")
	fewerCores := whatIf(t, files, func(s placement.Settings) (placement.Settings, error) {
		s.NodeKinds = slices.Clone(s.NodeKinds)
		for i := range s.NodeKinds {
			s.NodeKinds[i].Cores /= 4
		}
		return s, nil
	})
	assert.NotZero(t, fewerCores.NowRejected)
	bound := fewerCores.SameNode + fewerCores.OtherNode + fewerCores.NowBound
	rejected := fewerCores.NowRejected + fewerCores.StillRejected
	assert.Equal(t, fewerCores.Requests, bound+rejected)
}

// rewriteFile returns a copy of a file. The function edit may change each record, and returns false to omit it.
func rewriteFile(t *testing.T, file *trace.Reader, edit func(*trace.Record) (keep bool)) *trace.Reader {
	t.Helper()
	var out bytes.Buffer
	w, err := trace.NewWriter(&out, trace.CopyHeader(file.Header))
	require.NoError(t, err)
	for r, err := range file.Records(trace.Span{}) {
		require.NoError(t, err)
		if edit(r) {
			require.NoError(t, w.Append(r))
		}
	}
	require.NoError(t, w.Close())
	r, err := trace.NewReader(bytes.NewReader(out.Bytes()), int64(out.Len()))
	require.NoError(t, err)
	return r
}

// keepAll is an edit function that keeps all records unchanged.
func keepAll(*trace.Record) bool { return true }

func TestRunFiles_IncompleteTraceIsAnError(t *testing.T) {
	file := playTraced(t, "quiet")["allocator-1"][0]
	replayEdited := func(t *testing.T, edit func(*trace.Record) (keep bool)) error {
		t.Helper()
		_, err := replay.RunFiles([]*trace.Reader{rewriteFile(t, file, edit)}, replay.Options{})
		return err
	}
	t.Run("gap", func(t *testing.T) {
		err := replayEdited(t, replaceByGap)
		require.ErrorContains(t, err, "1 records are missing here (the queue was full)")
		var gap replay.GapError
		require.ErrorAs(t, err, &gap)
		assert.Equal(t, replay.GapError{Missing: 1, Reason: "the queue was full"}, gap)
	})
	t.Run("missing record", func(t *testing.T) {
		err := replayEdited(t, func(r *trace.Record) bool { return r.Revision != missingRevision })
		const message = "revision 51: the previous record has revision 49; a file is missing between them"
		require.ErrorContains(t, err, message)
		var missing replay.RevisionError
		require.ErrorAs(t, err, &missing)
		assert.Equal(t, replay.RevisionError{Previous: missingRevision - 1}, missing)
	})
	t.Run("no start", func(t *testing.T) {
		err := replayEdited(t, func(r *trace.Record) bool { return r.GetMaintain() != nil })
		assert.ErrorIs(t, err, replay.ErrNoStart)
	})
	t.Run("no records", func(t *testing.T) {
		err := replayEdited(t, func(*trace.Record) bool { return false })
		assert.ErrorIs(t, err, replay.ErrNoStart)
	})
	t.Run("anonymised", func(t *testing.T) {
		anonymised := rewriteFile(t, file, keepAll)
		anonymised.Header.Anonymised = true
		_, err := replay.RunFiles([]*trace.Reader{anonymised}, replay.Options{})
		assert.ErrorIs(t, err, replay.ErrAnonymised)
	})
}

// missingRevision is the revision of the record that is missing in an incomplete trace.
const missingRevision = 50

// replaceByGap replaces the record with missingRevision by a Gap record.
func replaceByGap(r *trace.Record) (keep bool) {
	if r.Revision == missingRevision {
		r.Body = &tracepb.Record_Gap{Gap: &tracepb.Gap{Missing: 1, Reason: "the queue was full"}}
		r.Step = nil
		r.Maintenance = nil
	}
	return true
}

func TestReproduceFiles_FindsFewCalls(t *testing.T) {
	files := playTraced(t, "rough")["allocator-1"]
	r, err := replay.ReproduceFiles(files, 60)
	require.NoError(t, err)
	assert.Less(t, len(r.Calls), r.CallsBefore/5)
	var source strings.Builder
	require.NoError(t, r.Print(&source))
	assert.Contains(t, source.String(), "s := a.Schedule(")
	assert.NotContains(t, source.String(), "NaN)")
	assertCallsModule(t, source.String())
}

// assertCallsModule checks that a printed test calls only existing methods of the module, with the right number of
// arguments.
func assertCallsModule(t *testing.T, source string) {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), "", "package p\n"+source, 0)
	require.NoError(t, err)
	module := reflect.TypeFor[*placement.Scheduler]()
	calls := 0
	ast.Inspect(parsed, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		if f, ok := call.Fun.(*ast.SelectorExpr); ok && fmt.Sprint(f.X) == "a" {
			calls++
			method, found := module.MethodByName(f.Sel.Name)
			if assert.True(t, found, f.Sel.Name) {
				assert.Len(t, call.Args, method.Type.NumIn()-1, f.Sel.Name) // NumIn counts the receiver
			}
		}
		return true
	})
	assert.NotZero(t, calls)
}

func TestReproduceFiles_UnknownWorkloadIsAnError(t *testing.T) {
	_, err := replay.ReproduceFiles(playTraced(t, "quiet")["allocator-1"], 999999)
	require.ErrorContains(t, err, "no request of workload 999999")
	require.ErrorIs(t, err, replay.NoRequestError{Workload: 999999})
}

func TestReproduceFiles_OtherDecisionIsAnError(t *testing.T) {
	file := rewriteFile(t, playTraced(t, "quiet")["allocator-1"][0], func(r *trace.Record) bool {
		if r.GetSchedule() != nil {
			r.Step.Node += 1000
		}
		return true
	})
	_, err := replay.ReproduceFiles([]*trace.Reader{file}, 60)
	assert.ErrorIs(t, err, replay.ErrOtherDecision)
}

func TestFilter_SelectsRecordsOfWorkloadOrNode(t *testing.T) {
	file := playTraced(t, "quiet")["allocator-1"][0]
	count := func(f replay.Filter) (n int) {
		match := f.Matcher()
		for r, err := range file.Records(trace.Span{}) {
			require.NoError(t, err)
			if match(r) {
				n++
			}
		}
		return n
	}
	assert.Greater(t, count(replay.Filter{}), 500)
	ofWorkload := count(replay.Filter{Workload: 3})
	assert.GreaterOrEqual(t, ofWorkload, 4, "at least request, Schedule, confirmation and answer")
	assert.Less(t, ofWorkload, 30)
	assert.Zero(t, count(replay.Filter{Workload: 3, Node: 1}))
}
