package simulation

import (
	"context"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/simulation/audit"
	"grebeglade/internal/simulation/network"
	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
)

func open(t *testing.T, name string) *scenario.Script {
	t.Helper()
	s, err := scenario.Open(name)
	require.NoError(t, err)
	return s
}

func play(t *testing.T, s *scenario.Script, o Options) *Result {
	t.Helper()
	r, err := PlayVirtual(s, o)
	require.NoError(t, err)
	return r
}

// kept checks what must hold on any day of an honest engine.
func kept(t *testing.T, r *Result) {
	t.Helper()
	assert.Empty(t, r.Violations, "seed %d", r.Seed)
	assert.Zero(t, r.Unanswered, "seed %d", r.Seed)
	assert.Zero(t, r.OverloadedNodes, "seed %d", r.Seed)
	assert.Equal(t, r.Workloads, r.Placed+r.Rejected+r.Unschedulable+r.Withdrawn+r.Disconnected+r.Unanswered, "seed %d", r.Seed)
	assert.NotZero(t, r.Placed)
}

// seeds is how many seeds of each script are played; GREBEGLADE_SEEDS asks for more.
func seeds() uint64 {
	if n, err := strconv.Atoi(os.Getenv("GREBEGLADE_SEEDS")); err == nil {
		return uint64(n)
	}
	return 50
}

func TestScripts_KeepRules(t *testing.T) {
	for _, name := range scenario.Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds() {
				kept(t, play(t, open(t, name), Options{Seed: seed + 1}))
			}
		})
	}
}

func TestPlayVirtual_SameSeedSameResult(t *testing.T) {
	for _, name := range []string{"rough", "overlap", "cold-herd"} {
		first := play(t, open(t, name), Options{Seed: 3})
		again := play(t, open(t, name), Options{Seed: 3})
		again.RanSeconds = first.RanSeconds
		assert.Equal(t, first, again)
		assert.NotEqual(t, first.Digest, play(t, open(t, name), Options{Seed: 4}).Digest)
	}
}

func TestRun_ManyAllocatorsDoNotOverloadWarmingNode(t *testing.T) {
	s := open(t, "cold-herd")
	s.Resize(320, 0)
	kept(t, play(t, s, Options{Seed: 1}))
}

// Two, ten and a hundred groups of half the fleet each, on as many allocators.
func TestGangs_OfHalfTheFleetCompete(t *testing.T) {
	for _, allocators := range []int{2, 10, 100} {
		s := open(t, "gang-contest")
		s.Resize(allocators, 0)
		s.Client.Rate = 1
		s.Client.Gangs[0].Parts = s.NodeCount() / 2
		s.Client.Gangs[0].MinParts = s.NodeCount() / 2
		s.Client.Gangs[0].SpreadScope = "node"
		s.Client.Gangs[0].Rate = float64(allocators) / 8
		r := play(t, s, Options{Seed: 1})
		kept(t, r)
		assert.Zero(t, r.PartialLeft)
		assert.NotZero(t, r.GangsPlaced, "%d allocators", allocators)
	}
}

func TestGangs_TooLargeRejectedAndSingleNodePlaced(t *testing.T) {
	day := func(change func(*scenario.GangDemand)) *Result {
		s := open(t, "gang-contest")
		s.Resize(1, 0)
		s.Client.Rate = 0.5
		s.Client.Gangs[0].Rate = 0.5
		change(&s.Client.Gangs[0])
		r := play(t, s, Options{Seed: 1})
		assert.Empty(t, r.Violations)
		return r
	}
	larger := day(func(g *scenario.GangDemand) {
		g.Parts = 50
		g.MinParts = 50
	})
	assert.Zero(t, larger.GangsPlaced)
	assert.Zero(t, larger.GangStops, "nothing of it was ever sent")
	one := day(func(g *scenario.GangDemand) {
		g.Parts = 3
		g.MinParts = 3
		g.Shape = [2]float64{13, 20}
		g.SpreadScope = ""
	})
	assert.NotZero(t, one.GangsPlaced)
}

// single is a small day with one group after another on four nodes.
func single(t *testing.T, group string, replace bool) *scenario.Script {
	t.Helper()
	s := open(t, "gang-contest")
	s.Resize(1, 4)
	s.Clients = 1
	s.Length = 3000
	s.Client.Rate = 0
	s.Client.WithdrawShare = 0
	s.Client.Gangs = []scenario.GangDemand{{
		Group:          group,
		Idempotency:    s.Settings.Groups[slices.Index(s.Groups, group)].Idempotency,
		Rate:           0.6,
		Parts:          3,
		MinParts:       3,
		Shape:          [2]float64{10, 10},
		Lifetime:       2500,
		PendingTimeout: 4000,
		Replace:        replace,
		ReplaceTimeout: 1500,
	}}
	return s
}

// Each frame between an allocator and its nodes is lost, doubled, delayed, its connection cut, or the allocator
// dies as it passes and comes back, or never does: whatever happens, no part of a group is left.
func TestGangs_NoPartLeftAfterAnyMessageFault(t *testing.T) {
	days := 0
	for _, group := range []string{"serve", "check", "trace"} {
		for _, kind := range network.MessageFaultKinds {
			for frame := 1; frame <= 40; frame++ {
				m := &network.MessageFault{
					Kind:     kind,
					Frame:    frame,
					Restarts: frame%2 == 0,
				}
				s := single(t, group, frame%3 == 0)
				s.Client.WithdrawShare = float64(frame / 2 % 2) // then parts are stopped, and it may be a stop that goes wrong
				r := play(t, s, Options{Seed: 2, MessageFault: m})
				days++
				for _, b := range r.Violations {
					if kind == "double" && (b.Message == "the same bind sent twice" || b.Message == "a part stopped twice") {
						continue // the mishap itself
					}
					if kind == "delay" && (b.Message == "an offer after the owner withdrew" || b.Rule == 5) {
						continue // it left the allocator in time; the mishap holds it up before the auditor sees it
					}
					assert.Fail(t, b.Message, "%s %+v: %v", group, *m, b.Frames)
				}
				assert.Zero(t, r.PartialLeft, "%s %+v", group, *m)
			}
		}
	}
	t.Logf("%d days", days)
}

// The first proof, on sockets: a rough day with overlapping troubles.
func TestPlaySockets_RoughKeepsRules(t *testing.T) {
	s := open(t, "rough")
	s.SetLength(9000)
	r, err := PlaySockets(context.Background(), s, Options{Seed: 2}, nil)
	require.NoError(t, err)
	kept(t, r)
	assert.Greater(t, r.Frames, 1000)
}

func TestPlaySockets_GangsLeaveNoPart(t *testing.T) {
	s := open(t, "gang-node-failure")
	s.SetLength(5000)
	r, err := PlaySockets(context.Background(), s, Options{Seed: 1}, nil)
	require.NoError(t, err)
	kept(t, r)
	assert.NotZero(t, r.GangsPlaced)
	assert.Zero(t, r.PartialLeft)
}

func TestMutants_DetectedByAuditor(t *testing.T) {
	// The days on which each has occasion to break its rule.
	days := map[Mutant]string{
		NoAnswer:              "quiet",
		TwoAnswers:            "quiet",
		LateAnswer:            "full",
		OffersAfterAnswer:     "quiet",
		TwoBinds:              "quiet",
		RejectsUnknownOutcome: "hall-cut",
		IgnoresDrain:          "deploy",
		IgnoresWarmUp:         "cold-herd",
		IgnoresSpread:         "full",
		LeavesGangParts:       "gang-contest",
		StopsTwice:            "gang-node-failure",
		IgnoresStorage:        "state-death",
		NeverSyncs:            "state-death",
		ExceedsMaxBinds:       "throttle",
	}
	for how, rule := range MutantRules {
		t.Run(string(how), func(t *testing.T) {
			s := open(t, days[how])
			for i := range s.Client.Gangs {
				s.Client.Gangs[i].Lifetime = 60e3 // longer than a lease and the time to settle
			}
			file := filepath.Join(t.TempDir(), "history")
			seed := uint64(1)
			r := play(t, s, Options{
				Seed:        seed,
				Mutant:      how,
				HistoryFile: file,
			})
			for len(r.Violations) == 0 && seed < 20 {
				seed++
				r = play(t, s, Options{
					Seed:        seed,
					Mutant:      how,
					HistoryFile: file,
				}) // some need chance to give them occasion
			}
			require.NotEmpty(t, r.Violations)
			// What was written down is judged alike, and an honest allocator passes on the same day.
			assert.Equal(t, r.Violations, audit.Check(readBack(t, file)).Violations)
			assert.Empty(t, play(t, s, Options{Seed: seed}).Violations)
			found := false
			for _, b := range r.Violations {
				found = found || b.Rule == rule
				assert.NotEmpty(t, b.Frames)
			}
			assert.True(t, found, "rule %d", rule)
		})
	}
}

func TestPlaySockets_MutantDetected(t *testing.T) {
	s := open(t, "quiet")
	s.SetLength(2000)
	r, err := PlaySockets(context.Background(), s, Options{Seed: 1, Mutant: TwoBinds}, nil)
	require.NoError(t, err)
	require.NotEmpty(t, r.Violations)
	assert.Equal(t, 2, r.Violations[0].Rule)
}

func TestPlaySockets_CancelledRunIsNotAudited(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := PlaySockets(ctx, open(t, "quiet"), Options{Seed: 1}, nil)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// Each fault must show in what the day brings, or the days prove nothing.
func TestFaults_ChangeResult(t *testing.T) {
	calm := play(t, open(t, "quiet"), Options{Seed: 1})
	lost := func(r *Result) bool { return r.Ended["LOST"] > 0 }
	slower := func(r *Result) bool { return r.Wait99 > 5*calm.Wait99 }
	for name, shows := range map[string]func(*Result) bool{
		"crash": lost, "preempt": lost, "cold-herd": lost,
		"deploy":          func(r *Result) bool { return r.Ended["SENT_AWAY"] > 0 },
		"slow":            slower,
		"stall":           slower,
		"allocator-still": slower,
		"forget":          slower, // against a day on which programs are kept; setups are long
		"overrun":         func(r *Result) bool { return r.Ended["EVICTED"] > 0 },
		"burst":           func(r *Result) bool { return r.FirstRequests > calm.FirstRequests*5/4 },
		"full":            func(r *Result) bool { return r.Rejected > r.Placed },
		"throttle":        func(r *Result) bool { return r.Binds > uint64(r.Placed) },
		"hall-cut":        func(r *Result) bool { return r.Unschedulable+r.Ended["LOST"] > 0 },
		"reconnect":       func(r *Result) bool { return r.FirstRequests > calm.FirstRequests*5/4 },
		"allocator-death": func(r *Result) bool { return r.AllocatorIncarnations == r.Allocators+3 },
		"one-way":         slower,
		"reordered":       slower,
		"delayed":         slower,
		"doubled":         func(r *Result) bool { return r.Duplicates > 0 },
		"list-empty":      func(r *Result) bool { return r.Rejected > calm.Rejected },
		"never-starts":    func(r *Result) bool { return r.Ended["FINISHED"] < calm.Ended["FINISHED"] },
	} {
		assert.True(t, shows(play(t, open(t, name), Options{Seed: 1})), name)
	}
}

// A fault whose absence changes nothing is none: each of every script, left out by itself, makes another day.
func TestScripts_EachFaultChangesRun(t *testing.T) {
	for _, name := range scenario.Names() {
		with := play(t, open(t, name), Options{Seed: 1})
		for i, f := range open(t, name).Faults {
			s := open(t, name)
			s.Faults = slices.Delete(s.Faults, i, i+1)
			assert.NotEqual(t, with.Digest, play(t, s, Options{Seed: 1}).Digest, "%s without %s", name, f.Kind)
		}
	}
}

// Allocators and their machines die a hundred times at any moment, with what their disks had not synced, while owners insist on
// workloads that must not run twice: none does, and what may have run is said to have.
func TestStorage_AtMostOnceAcrossAllocatorCrashes(t *testing.T) {
	known := 0
	for seed := range uint64(20) {
		s := open(t, "state-death")
		for i := range s.Faults {
			s.Faults[i].At += placement.Millis(seed) * 37 // another moment each
		}
		r := play(t, s, Options{Seed: seed + 1})
		kept(t, r)
		known += int(r.AnsweredFromStorage)
	}
	assert.NotZero(t, known, "no ask met what an earlier life had written down, and nothing is proved")
}

// readBack reads the history of a day that was just played.
func readBack(t *testing.T, file string) *observer.History {
	t.Helper()
	f, err := os.Open(file)
	require.NoError(t, err)
	defer func() { require.NoError(t, f.Close()) }()
	h, err := observer.ReadHistory(file, f)
	require.NoError(t, err)
	return h
}

// The share is a sum of floating-point numbers, so its last digit shows any change of the order in which they are added.
func TestRun_WastedShareIsTheSameEachTime(t *testing.T) {
	file := filepath.Join(t.TempDir(), "history")
	r := play(t, open(t, "gang-node-failure"), Options{Seed: 2, HistoryFile: file})
	h := readBack(t, file)
	require.NotZero(t, r.GangWasted)
	for range 200 {
		assert.Equal(t, math.Float64bits(r.GangWasted), math.Float64bits(audit.Check(h).WastedCoreShare()))
	}
}
