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

// traced plays a script in virtual time and returns the traces of each allocator.
func traced(t *testing.T, name string) map[string][]*trace.Reader {
	t.Helper()
	s, err := simulation.Open(name)
	require.NoError(t, err)
	dir := t.TempDir()
	_, err = simulation.PlayVirtual(s, simulation.Options{Seed: 1, Trace: dir})
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
			t.Cleanup(func() { r.Close() })
			all[e.Name()] = append(all[e.Name()], r)
		}
	}
	require.NotEmpty(t, all)
	return all
}

func identical(t *testing.T, traces map[string][]*trace.Reader) {
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

func TestEveryScriptIsDecidedAgainAlike(t *testing.T) {
	for _, name := range simulation.Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			identical(t, traced(t, name))
		})
	}
}

func TestADayOverSocketsIsDecidedAgainAlike(t *testing.T) {
	s, err := simulation.Open("rough")
	require.NoError(t, err)
	s.Stretch(4000)
	dir := t.TempDir()
	r, err := simulation.PlaySockets(context.Background(), s, simulation.Options{Seed: 3, Trace: dir}, nil)
	require.NoError(t, err)
	assert.Empty(t, r.Broken)
	identical(t, open(t, dir))
}

// Recording must not change what is decided.
func TestADayWithATraceIsTheSameDay(t *testing.T) {
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

func TestAModuleThatIsChangedIsCaughtAtItsFirstOtherDecision(t *testing.T) {
	files := traced(t, "full")["allocator-1"]
	changed := func(s placement.Settings, seed uint64) allocator.Module {
		s.Groups = append([]placement.Group(nil), s.Groups...)
		for i := range s.Groups {
			s.Groups[i].FullServiceUtilization = 0.35 // a lower cap on ρ
		}
		return placement.New(s, seed)
	}
	reports, err := replay.Files(files, replay.Options{Module: changed})
	require.NoError(t, err)
	d := reports[0].Differ
	require.NotNil(t, d)
	assert.NotEqual(t, d.Recorded, d.Decided)
	assert.NotEmpty(t, d.Before)
	// All before it is decided alike: with one call less than that, nothing differs.
	records := 0
	for r, err := range files[0].Records(trace.Span{}) {
		require.NoError(t, err)
		if r.Revision < d.Revision && (r.Step != nil || r.Chores != nil) {
			records++
		}
	}
	assert.Equal(t, records, reports[0].Same)
}

func TestOtherSettingsAreComparedByTheirAsks(t *testing.T) {
	files := traced(t, "full")["allocator-1"]
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

func TestATraceWithoutItsBeginningIsNotDecidedAgain(t *testing.T) {
	files := traced(t, "quiet")["allocator-1"]
	var cut bytes.Buffer
	header := trace.CopyHeader(files[0].Header)
	w, err := trace.NewWriter(&cut, header)
	require.NoError(t, err)
	for r, err := range files[0].Records(trace.Span{}) {
		require.NoError(t, err)
		if r.Revision == 50 {
			r.Body = &tracepb.Record_Gap{Gap: &tracepb.Gap{Missing: 1, Why: "the queue was full"}}
			r.Step, r.Chores = nil, nil
		}
		require.NoError(t, w.Append(r))
	}
	require.NoError(t, w.Close())
	r, err := trace.NewReader(bytes.NewReader(cut.Bytes()), int64(cut.Len()))
	require.NoError(t, err)
	_, err = replay.Files([]*trace.Reader{r}, replay.Options{})
	assert.ErrorContains(t, err, "1 records are missing here (the queue was full)")
	r.Header.Anonymised = true
	_, err = replay.Files([]*trace.Reader{r}, replay.Options{})
	assert.ErrorIs(t, err, replay.ErrAnonymised)
	var none bytes.Buffer
	w, err = trace.NewWriter(&none, header)
	require.NoError(t, err)
	require.NoError(t, w.Append(&trace.Record{Revision: 2, Body: &tracepb.Record_Upkeep{Upkeep: &tracepb.Upkeep{}}}))
	require.NoError(t, w.Close())
	r, err = trace.NewReader(bytes.NewReader(none.Bytes()), int64(none.Len()))
	require.NoError(t, err)
	_, err = replay.Files([]*trace.Reader{r}, replay.Options{})
	assert.ErrorIs(t, err, replay.ErrNoStart)
}

func TestADecisionIsExtractedWithTheFewCallsThatItRestsOn(t *testing.T) {
	files := traced(t, "rough")["allocator-1"]
	x, err := replay.ExtractFiles(files, 60)
	require.NoError(t, err)
	assert.Less(t, len(x.Calls), x.All/5)
	var b strings.Builder
	require.NoError(t, x.Print(&b))
	assert.Contains(t, b.String(), "s := a.Schedule(")
	assert.NotContains(t, b.String(), "NaN)")
	_, err = replay.ExtractFiles(files, 999999)
	assert.ErrorContains(t, err, "no ask of workload 999999")
}

func TestRecordsAreFilteredByWhomTheyConcern(t *testing.T) {
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
	assert.GreaterOrEqual(t, one, 4, "asked, placed, confirmed, answered")
	assert.Less(t, one, 30)
	assert.Zero(t, count(replay.Filter{Workload: 3, Node: 1}))
}
