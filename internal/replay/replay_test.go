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

// traced runs a scenario in virtual time and returns the traces of each allocator.
func traced(t *testing.T, name string) map[string][]*trace.Reader {
	t.Helper()
	s, err := scenario.Open(name)
	require.NoError(t, err)
	dir := t.TempDir()
	_, err = simulation.PlayVirtual(s, simulation.Options{Seed: 1, TraceDirectory: dir})
	require.NoError(t, err)
	return open(t, dir)
}

func open(t *testing.T, dir string) map[string][]*trace.Reader {
	t.Helper()
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	all := map[string][]*trace.Reader{}
	for _, e := range entries {
		names, _, _ := trace.ListFiles(filepath.Join(dir, e.Name()))
		for _, n := range names {
			r, err := trace.Open(n)
			require.NoError(t, err)
			t.Cleanup(func() { require.NoError(t, r.Close()) })
			all[e.Name()] = append(all[e.Name()], r)
		}
	}
	require.NotEmpty(t, all)
	return all
}

func identical(t *testing.T, traces map[string][]*trace.Reader) {
	t.Helper()
	for name, files := range traces {
		reports, err := replay.RunFiles(files, replay.Options{})
		require.NoError(t, err, name)
		for _, r := range reports {
			assert.True(t, r.Identical(), "%s: %+v", r.Source, r.Differ)
			assert.NotZero(t, r.Decisions)
		}
	}
}

func TestRunFiles_EveryScenarioIsIdentical(t *testing.T) {
	for _, name := range scenario.Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			identical(t, traced(t, name))
		})
	}
}

func TestRunFiles_ScenarioOverSocketsIsIdentical(t *testing.T) {
	s, err := scenario.Open("rough")
	require.NoError(t, err)
	s.SetLength(4000)
	dir := t.TempDir()
	r, err := simulation.PlaySockets(context.Background(), s, simulation.Options{Seed: 3, TraceDirectory: dir}, nil)
	require.NoError(t, err)
	assert.Empty(t, r.Violations)
	identical(t, open(t, dir))
}

func TestRecorder_DoesNotChangeDecisions(t *testing.T) {
	s, err := scenario.Open("rough")
	require.NoError(t, err)
	with, err := simulation.PlayVirtual(s, simulation.Options{Seed: 5, TraceDirectory: t.TempDir()})
	require.NoError(t, err)
	s, err = scenario.Open("rough")
	require.NoError(t, err)
	without, err := simulation.PlayVirtual(s, simulation.Options{Seed: 5})
	require.NoError(t, err)
	assert.Equal(t, without.Digest, with.Digest)
}

func TestRunFiles_ChangedModuleIsReportedAtFirstDivergence(t *testing.T) {
	files := traced(t, "full")["allocator-1"]
	changed := func(s placement.Settings, seed uint64) allocator.Module {
		s.Groups = append([]placement.Group(nil), s.Groups...)
		for i := range s.Groups {
			s.Groups[i].FullServiceUtilization = 0.35 // a lower cap on ρ
		}
		return placement.New(s, seed)
	}
	reports, err := replay.RunFiles(files, replay.Options{Module: changed})
	require.NoError(t, err)
	d := reports[0].Differ
	require.NotNil(t, d)
	assert.NotEqual(t, d.Recorded, d.Decided)
	assert.NotEmpty(t, d.Before)
	// All decisions before it are the same.
	records := 0
	for r, err := range files[0].Records(trace.Span{}) {
		require.NoError(t, err)
		if r.Revision < d.Revision && (r.Step != nil || r.Maintenance != nil) {
			records++
		}
	}
	assert.Equal(t, records, reports[0].Same)
}

func TestRunFiles_OtherSettingsAreComparedByRequest(t *testing.T) {
	files := traced(t, "full")["allocator-1"]
	reports, err := replay.RunFiles(files, replay.Options{Settings: func(s placement.Settings) (placement.Settings, error) { return s, nil }})
	require.NoError(t, err)
	w := reports[0].WhatIf
	assert.Equal(t, w.Requests, w.SameNode+w.StillRejected, "the same settings decide the same")
	reports, err = replay.RunFiles(files, replay.Options{Settings: func(s placement.Settings) (placement.Settings, error) {
		s.NodeKinds = append([]placement.NodeKind(nil), s.NodeKinds...)
		for i := range s.NodeKinds {
			s.NodeKinds[i].Cores /= 4
		}
		return s, nil
	}})
	require.NoError(t, err)
	w = reports[0].WhatIf
	assert.NotZero(t, w.NowRejected)
	assert.Equal(t, w.Requests, w.SameNode+w.OtherNode+w.NowRejected+w.NowBound+w.StillRejected)
}

// rewritten returns a file with the records that edit keeps, as it leaves them.
func rewritten(t *testing.T, file *trace.Reader, edit func(*trace.Record) (keep bool)) *trace.Reader {
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

func TestRunFiles_IncompleteTraceIsAnError(t *testing.T) {
	file := traced(t, "quiet")["allocator-1"][0]
	t.Run("gap", func(t *testing.T) {
		_, err := replay.RunFiles([]*trace.Reader{rewritten(t, file, func(r *trace.Record) bool {
			if r.Revision == 50 {
				r.Body = &tracepb.Record_Gap{Gap: &tracepb.Gap{Missing: 1, Reason: "the queue was full"}}
				r.Step, r.Maintenance = nil, nil
			}
			return true
		})}, replay.Options{})
		require.ErrorContains(t, err, "1 records are missing here (the queue was full)")
		var gap replay.GapError
		require.ErrorAs(t, err, &gap)
		assert.Equal(t, replay.GapError{Missing: 1, Reason: "the queue was full"}, gap)
	})
	t.Run("missing record", func(t *testing.T) {
		_, err := replay.RunFiles([]*trace.Reader{
			rewritten(t, file, func(r *trace.Record) bool { return r.Revision != 50 }),
		}, replay.Options{})
		require.ErrorContains(t, err, "revision 51: the record before has revision 49; a file is missing between them")
		var missing replay.RevisionError
		require.ErrorAs(t, err, &missing)
		assert.Equal(t, replay.RevisionError{Previous: 49}, missing)
	})
	t.Run("no start", func(t *testing.T) {
		_, err := replay.RunFiles([]*trace.Reader{
			rewritten(t, file, func(r *trace.Record) bool { return r.GetMaintain() != nil }),
		}, replay.Options{})
		assert.ErrorIs(t, err, replay.ErrNoStart)
	})
	t.Run("no records", func(t *testing.T) {
		_, err := replay.RunFiles([]*trace.Reader{
			rewritten(t, file, func(*trace.Record) bool { return false }),
		}, replay.Options{})
		assert.ErrorIs(t, err, replay.ErrNoStart)
	})
	t.Run("pseudonyms", func(t *testing.T) {
		anonymised := rewritten(t, file, func(*trace.Record) bool { return true })
		anonymised.Header.Anonymised = true
		_, err := replay.RunFiles([]*trace.Reader{anonymised}, replay.Options{})
		assert.ErrorIs(t, err, replay.ErrAnonymised)
	})
}

func TestReproduceFiles_FindsFewCalls(t *testing.T) {
	files := traced(t, "rough")["allocator-1"]
	r, err := replay.ReproduceFiles(files, 60)
	require.NoError(t, err)
	assert.Less(t, len(r.Calls), r.CallsBefore/5)
	var source strings.Builder
	require.NoError(t, r.Print(&source))
	assert.Contains(t, source.String(), "s := a.Schedule(")
	assert.NotContains(t, source.String(), "NaN)")
	assertCallsModule(t, source.String())
}

// assertCallsModule checks that a printed test calls only methods that the module has, with as many arguments.
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
				assert.Len(t, call.Args, method.Type.NumIn()-1, f.Sel.Name) // without the receiver
			}
		}
		return true
	})
	assert.NotZero(t, calls)
}

func TestReproduceFiles_UnknownWorkloadIsAnError(t *testing.T) {
	_, err := replay.ReproduceFiles(traced(t, "quiet")["allocator-1"], 999999)
	require.ErrorContains(t, err, "no request of workload 999999")
	require.ErrorIs(t, err, replay.NoRequestError{Workload: 999999})
}

func TestReproduceFiles_OtherDecisionIsAnError(t *testing.T) {
	file := rewritten(t, traced(t, "quiet")["allocator-1"][0], func(r *trace.Record) bool {
		if r.GetSchedule() != nil {
			r.Step.Node += 1000
		}
		return true
	})
	_, err := replay.ReproduceFiles([]*trace.Reader{file}, 60)
	assert.ErrorIs(t, err, replay.ErrOtherDecision)
}

func TestFilter_SelectsRecordsByWhatTheyConcern(t *testing.T) {
	file := traced(t, "quiet")["allocator-1"][0]
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
	all, one := count(replay.Filter{}), count(replay.Filter{Workload: 3})
	assert.Greater(t, all, 500)
	assert.GreaterOrEqual(t, one, 4, "requested, scheduled, confirmed, answered")
	assert.Less(t, one, 30)
	assert.Zero(t, count(replay.Filter{Workload: 3, Node: 1}))
}
