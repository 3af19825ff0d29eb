package replay_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/allocator"
	"grebeglade/internal/replay"
	"grebeglade/internal/simulation"
	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// recordScenario runs a scenario in virtual time and returns the trace files of each allocator.
func recordScenario(t *testing.T, name string) map[string][]*trace.Reader {
	t.Helper()
	s, err := simulation.Open(name)
	require.NoError(t, err)
	dir := t.TempDir()
	_, err = simulation.PlayVirtual(s, simulation.Options{Seed: 1, Trace: dir})
	require.NoError(t, err)
	return openTraces(t, dir)
}

// openTraces opens the trace files of each allocator that has a directory in dir.
func openTraces(t *testing.T, dir string) map[string][]*trace.Reader {
	t.Helper()
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	all := map[string][]*trace.Reader{}
	for _, e := range entries {
		names, _, _ := trace.ListFiles(filepath.Join(dir, e.Name()))
		for _, n := range names {
			r, err := trace.Open(n)
			require.NoError(t, err)
			t.Cleanup(func() { assert.NoError(t, r.Close()) })
			all[e.Name()] = append(all[e.Name()], r)
		}
	}
	require.NotEmpty(t, all)
	return all
}

// requireIdentical replays traces and checks that every decision is as recorded.
func requireIdentical(t *testing.T, traces map[string][]*trace.Reader) {
	t.Helper()
	for name, files := range traces {
		reports, err := replay.Files(files, replay.Options{})
		require.NoError(t, err, name)
		for _, r := range reports {
			assert.True(t, r.Identical(), "%s: %+v", r.Source, r.Differ)
			assert.NotZero(t, r.Decisions)
		}
	}
}

func TestFiles_VirtualScenario_Identical(t *testing.T) {
	for _, name := range simulation.Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requireIdentical(t, recordScenario(t, name))
		})
	}
}

func TestFiles_SocketScenario_Identical(t *testing.T) {
	s, err := simulation.Open("rough")
	require.NoError(t, err)
	s.Stretch(4000)
	dir := t.TempDir()
	r, err := simulation.PlaySockets(context.Background(), s, simulation.Options{Seed: 3, Trace: dir}, nil)
	require.NoError(t, err)
	assert.Empty(t, r.Broken)
	requireIdentical(t, openTraces(t, dir))
}

func TestRecorder_DecisionsUnchanged(t *testing.T) {
	s, err := simulation.Open("rough")
	require.NoError(t, err)
	with, err := simulation.PlayVirtual(s, simulation.Options{Seed: 5, Trace: t.TempDir()})
	require.NoError(t, err)
	s, err = simulation.Open("rough")
	require.NoError(t, err)
	without, err := simulation.PlayVirtual(s, simulation.Options{Seed: 5})
	require.NoError(t, err)
	assert.Equal(t, without.Digest, with.Digest)
}

func TestFiles_ChangedModule_ReportsFirstDivergence(t *testing.T) {
	files := recordScenario(t, "full")["allocator-1"]
	changed := func(s placement.Settings, seed uint64) allocator.Module {
		s.Groups = append([]placement.Group(nil), s.Groups...)
		for i := range s.Groups {
			s.Groups[i].FullServiceUtilization = 0.35 // a lower load cap
		}
		return placement.New(s, seed)
	}
	reports, err := replay.Files(files, replay.Options{Module: changed})
	require.NoError(t, err)
	d := reports[0].Differ
	require.NotNil(t, d)
	assert.NotEqual(t, d.Recorded, d.Decided)
	assert.NotEmpty(t, d.Before)
	// All decisions before it are the same.
	records := 0
	for r, err := range files[0].Records(trace.Span{}) {
		require.NoError(t, err)
		if r.Revision < d.Revision && (r.Step != nil || r.Chores != nil) {
			records++
		}
	}
	assert.Equal(t, records, reports[0].Same)
}

func TestFiles_OtherSettings_CountsRequests(t *testing.T) {
	files := recordScenario(t, "full")["allocator-1"]
	reports, err := replay.Files(files, replay.Options{Settings: func(s placement.Settings) (placement.Settings, error) { return s, nil }})
	require.NoError(t, err)
	w := reports[0].WhatIf
	assert.Equal(t, w.Asks, w.SameNode+w.StillRejected, "the same settings decide alike")
	reports, err = replay.Files(files, replay.Options{Settings: func(s placement.Settings) (placement.Settings, error) {
		s.NodeKinds = append([]placement.NodeKind(nil), s.NodeKinds...)
		for i := range s.NodeKinds {
			s.NodeKinds[i].Cores /= 4
		}
		return s, nil
	}})
	require.NoError(t, err)
	w = reports[0].WhatIf
	assert.NotZero(t, w.NowRejected)
	assert.Equal(t, w.Asks, w.SameNode+w.OtherNode+w.NowRejected+w.NowBound+w.StillRejected)
}

// rewrite returns a trace of records, read back from its bytes.
func rewrite(t *testing.T, header *tracepb.Header, records ...*trace.Record) *trace.Reader {
	t.Helper()
	var b bytes.Buffer
	w, err := trace.NewWriter(&b, trace.CopyHeader(header))
	require.NoError(t, err)
	for _, r := range records {
		require.NoError(t, w.Append(r))
	}
	require.NoError(t, w.Close())
	r, err := trace.NewReader(bytes.NewReader(b.Bytes()), int64(b.Len()))
	require.NoError(t, err)
	return r
}

func readAll(t *testing.T, file *trace.Reader) (records []*trace.Record) {
	t.Helper()
	for r, err := range file.Records(trace.Span{}) {
		require.NoError(t, err)
		records = append(records, r)
	}
	return records
}

func TestFiles_IncompleteTrace_ReturnsTypedError(t *testing.T) {
	file := recordScenario(t, "quiet")["allocator-1"][0]
	t.Run("gap", func(t *testing.T) {
		records := readAll(t, file)
		for _, r := range records {
			if r.Revision == 50 {
				r.Body = &tracepb.Record_Gap{Gap: &tracepb.Gap{Missing: 1, Why: "the queue was full"}}
				r.Step, r.Chores = nil, nil
			}
		}
		_, err := replay.Files([]*trace.Reader{rewrite(t, file.Header, records...)}, replay.Options{})
		require.ErrorContains(t, err, "1 records are missing here (the queue was full)")
		var gap replay.GapError
		require.ErrorAs(t, err, &gap)
		assert.Equal(t, replay.GapError{Missing: 1, Reason: "the queue was full"}, gap)
	})
	t.Run("missing revision", func(t *testing.T) {
		records := readAll(t, file)
		records = append(records[:10:10], records[11:]...)
		_, err := replay.Files([]*trace.Reader{rewrite(t, file.Header, records...)}, replay.Options{})
		var missing replay.RevisionError
		require.ErrorAs(t, err, &missing)
		assert.Equal(t, replay.RevisionError{Previous: records[9].Revision}, missing)
	})
	t.Run("anonymised", func(t *testing.T) {
		r := rewrite(t, file.Header, readAll(t, file)...)
		r.Header.Anonymised = true
		_, err := replay.Files([]*trace.Reader{r}, replay.Options{})
		require.ErrorIs(t, err, replay.ErrAnonymised)
	})
	t.Run("no start", func(t *testing.T) {
		r := rewrite(t, file.Header, &trace.Record{Revision: 2, Body: &tracepb.Record_Upkeep{Upkeep: &tracepb.Upkeep{}}})
		_, err := replay.Files([]*trace.Reader{r}, replay.Options{})
		require.ErrorIs(t, err, replay.ErrNoStart)
	})
}

func TestExtractFiles_FewCallsReproduceDecision(t *testing.T) {
	files := recordScenario(t, "rough")["allocator-1"]
	x, err := replay.ExtractFiles(files, 60)
	require.NoError(t, err)
	assert.Less(t, len(x.Calls), x.Preceding/5)
	var b strings.Builder
	require.NoError(t, x.Print(&b))
	assert.Contains(t, b.String(), "s := a.Schedule(")
	assert.NotContains(t, b.String(), "NaN)")
	_, err = replay.ExtractFiles(files, 999999)
	require.ErrorContains(t, err, "no request of workload 999999")
	require.ErrorIs(t, err, replay.NoRequestError{Workload: 999999})
}

func TestFilter_SelectsConcernedRecords(t *testing.T) {
	file := recordScenario(t, "quiet")["allocator-1"][0]
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
	assert.GreaterOrEqual(t, one, 4, "asked, placed, confirmed, answered")
	assert.Less(t, one, 30)
	assert.Zero(t, count(replay.Filter{Workload: 3, Node: 1}))
}
