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

func openScript(t *testing.T, name string) *scenario.Script {
	t.Helper()
	s, err := scenario.Open(name)
	require.NoError(t, err)
	return s
}

func playVirtual(t *testing.T, s *scenario.Script, o Options) *Result {
	t.Helper()
	r, err := PlayVirtual(s, o)
	require.NoError(t, err)
	return r
}

// assertRulesHold checks the invariants of all runs without a mutant: no violations, no unanswered requests, no
// overloaded nodes, one outcome per request, and at least one placement.
func assertRulesHold(t *testing.T, r *Result) {
	t.Helper()
	assert.Empty(t, r.Violations, "seed %d", r.Seed)
	assert.Zero(t, r.Unanswered, "seed %d", r.Seed)
	assert.Zero(t, r.OverloadedNodes, "seed %d", r.Seed)
	ended := r.Placed + r.Rejected + r.Unschedulable + r.Withdrawn + r.Disconnected + r.Unanswered
	assert.Equal(t, r.Workloads, ended, "seed %d", r.Seed)
	assert.NotZero(t, r.Placed)
}

// seedsPerScript returns the number of seeds per script: the value of GREBEGLADE_SEEDS, or 50.
func seedsPerScript() uint64 {
	if n, err := strconv.Atoi(os.Getenv("GREBEGLADE_SEEDS")); err == nil {
		return uint64(n)
	}
	return 50
}

func TestScripts_KeepRules(t *testing.T) {
	for _, name := range scenario.Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range seedsPerScript() {
				assertRulesHold(t, playVirtual(t, openScript(t, name), Options{Seed: seed + 1}))
			}
		})
	}
}

func TestPlayVirtual_SameSeedSameResult(t *testing.T) {
	for _, name := range []string{"rough", "overlap", "cold-herd"} {
		first := playVirtual(t, openScript(t, name), Options{Seed: 3})
		again := playVirtual(t, openScript(t, name), Options{Seed: 3})
		again.RanSeconds = first.RanSeconds
		assert.Equal(t, first, again)
		assert.NotEqual(t, first.Digest, playVirtual(t, openScript(t, name), Options{Seed: 4}).Digest)
	}
}

func TestRun_ManyAllocatorsDoNotOverloadWarmingNode(t *testing.T) {
	s := openScript(t, "cold-herd")
	s.Resize(320, 0)
	assertRulesHold(t, playVirtual(t, s, Options{Seed: 1}))
}

// Allocators that compete for gangs of half the fleet each may block each other with partial gangs. Gangs must start,
// and no part may be left, with 2, 10 and 100 allocators.
func TestGangs_OfHalfTheFleetCompete(t *testing.T) {
	for _, allocators := range []int{2, 10, 100} {
		s := openScript(t, "gang-contest")
		s.Resize(allocators, 0)
		s.Client.Rate = 1
		s.Client.Gangs[0].Parts = s.NodeCount() / 2
		s.Client.Gangs[0].MinParts = s.NodeCount() / 2
		s.Client.Gangs[0].SpreadScope = "node"
		s.Client.Gangs[0].Rate = float64(allocators) / 8
		r := playVirtual(t, s, Options{Seed: 1})
		assertRulesHold(t, r)
		assert.Zero(t, r.PartialLeft)
		assert.NotZero(t, r.GangsPlaced, "%d allocators", allocators)
	}
}

func TestGangs_TooLargeRejectedAndSingleNodePlaced(t *testing.T) {
	playWith := func(change func(*scenario.GangDemand)) *Result {
		s := openScript(t, "gang-contest")
		s.Resize(1, 0)
		s.Client.Rate = 0.5
		s.Client.Gangs[0].Rate = 0.5
		change(&s.Client.Gangs[0])
		r := playVirtual(t, s, Options{Seed: 1})
		assert.Empty(t, r.Violations)
		return r
	}
	larger := playWith(func(g *scenario.GangDemand) {
		g.Parts = 50
		g.MinParts = 50
	})
	assert.Zero(t, larger.GangsPlaced)
	assert.Zero(t, larger.GangStops, "a gang that cannot run must not be offered")
	singleNode := playWith(func(g *scenario.GangDemand) {
		g.Parts = 3
		g.MinParts = 3
		g.Shape = [2]float64{13, 20}
		g.SpreadScope = ""
	})
	assert.NotZero(t, singleNode.GangsPlaced)
}

// singleGangScript returns a short script in which one client requests a sequence of gangs on four nodes.
func singleGangScript(t *testing.T, group string, replace bool) *scenario.Script {
	t.Helper()
	script := openScript(t, "gang-contest")
	script.Resize(1, 4)
	script.Clients = 1
	script.Length = 3000
	script.Client.Rate = 0
	script.Client.WithdrawShare = 0
	script.Client.Gangs = []scenario.GangDemand{{
		Group:          group,
		Idempotency:    script.Settings.Groups[slices.Index(script.Groups, group)].Idempotency,
		Rate:           0.6,
		Parts:          3,
		MinParts:       3,
		Shape:          [2]float64{10, 10},
		Lifetime:       2500,
		PendingTimeout: 4000,
		Replace:        replace,
		ReplaceTimeout: 1500,
	}}
	return script
}

// A fault at any single frame between an allocator and its nodes may leave a part of an incomplete gang running. Each
// of the first 40 frames is lost, duplicated or delayed, or its connection is closed, or the allocator crashes at it,
// with and without a restart: no part may be left.
func TestGangs_NoPartLeftAfterAnyMessageFault(t *testing.T) {
	const maxFrame = 40
	runs := 0
	for _, group := range []string{"serve", "check", "trace"} {
		for _, kind := range network.MessageFaultKinds {
			for frame := 1; frame <= maxFrame; frame++ {
				script := singleGangScript(t, group, frame%3 == 0)
				// Withdrawals cause stops of parts, so that the fault may affect a stop.
				script.Client.WithdrawShare = float64(frame / 2 % 2)
				fault := &network.MessageFault{
					Kind:     kind,
					Frame:    frame,
					Restarts: frame%2 == 0,
				}
				r := playVirtual(t, script, Options{Seed: 2, MessageFault: fault})
				runs++
				for _, violation := range r.Violations {
					if !causedByMessageFault(kind, violation) {
						assert.Fail(t, violation.Message, "%s %+v: %v", group, *fault, violation.Frames)
					}
				}
				assert.Zero(t, r.PartialLeft, "%s %+v", group, *fault)
			}
		}
	}
	t.Logf("%d runs", runs)
}

// causedByMessageFault reports whether a violation shows only the injected fault: a duplicated frame, or a frame that
// the allocator sent in time and that was delayed before the auditor observed it.
func causedByMessageFault(kind network.MessageFaultKind, violation audit.Violation) bool {
	const spreadRule = 5
	switch kind {
	case network.DuplicateFrame:
		return violation.Message == "the same bind sent twice" || violation.Message == "a part stopped twice"
	case network.DelayFrame:
		return violation.Message == "an offer after the owner withdrew" || violation.Rule == spreadRule
	case network.LoseFrame, network.CloseConnection, network.CrashAllocator:
	}
	return false
}

// Overlapping faults on sockets, where timing depends on the machine, must not cause violations either.
func TestPlaySockets_RoughKeepsRules(t *testing.T) {
	s := openScript(t, "rough")
	s.SetLength(9000)
	r, err := PlaySockets(context.Background(), s, Options{Seed: 2}, nil)
	require.NoError(t, err)
	assertRulesHold(t, r)
	assert.Greater(t, r.Frames, 1000)
}

func TestPlaySockets_GangsLeaveNoPart(t *testing.T) {
	s := openScript(t, "gang-node-failure")
	s.SetLength(5000)
	r, err := PlaySockets(context.Background(), s, Options{Seed: 1}, nil)
	require.NoError(t, err)
	assertRulesHold(t, r)
	assert.NotZero(t, r.GangsPlaced)
	assert.Zero(t, r.PartialLeft)
}

// mutantScripts holds, for each mutant, a script in which the mutant can break its rule.
var mutantScripts = map[Mutant]string{
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

// An auditor that misses a violation passes every run. Each mutant must be detected, online and from the recorded
// history, and the same run without the mutant must pass.
func TestMutants_DetectedByAuditor(t *testing.T) {
	for mutant, rule := range MutantRules {
		t.Run(string(mutant), func(t *testing.T) {
			script := openScript(t, mutantScripts[mutant])
			for i := range script.Client.Gangs {
				script.Client.Gangs[i].Lifetime = 60e3 // longer than a lease and the settle time
			}
			options := Options{
				Mutant:      mutant,
				HistoryFile: filepath.Join(t.TempDir(), "history"),
			}
			result := playUntilViolation(t, script, options)
			require.NotEmpty(t, result.Violations)
			recorded := audit.Check(readHistory(t, options.HistoryFile)).Violations
			assert.Equal(t, result.Violations, recorded, "the audit of the recorded history differs")
			unmutated := playVirtual(t, script, Options{Seed: result.Seed})
			assert.Empty(t, unmutated.Violations, "an allocator without the mutant breaks a rule")
			found := false
			for _, violation := range result.Violations {
				found = found || violation.Rule == rule
				assert.NotEmpty(t, violation.Frames)
			}
			assert.True(t, found, "rule %d", rule)
		})
	}
}

// playUntilViolation plays a script with increasing seeds until a rule breaks, for at most 20 seeds: some mutants break
// their rule with some seeds only.
func playUntilViolation(t *testing.T, script *scenario.Script, options Options) *Result {
	t.Helper()
	const maxSeed = 20
	for {
		options.Seed++
		result := playVirtual(t, script, options)
		if len(result.Violations) > 0 || options.Seed == maxSeed {
			return result
		}
	}
}

func TestPlaySockets_MutantDetected(t *testing.T) {
	s := openScript(t, "quiet")
	s.SetLength(2000)
	r, err := PlaySockets(context.Background(), s, Options{Seed: 1, Mutant: TwoBinds}, nil)
	require.NoError(t, err)
	require.NotEmpty(t, r.Violations)
	assert.Equal(t, 2, r.Violations[0].Rule)
}

func TestPlaySockets_CancelledRunIsNotAudited(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := PlaySockets(ctx, openScript(t, "quiet"), Options{Seed: 1}, nil)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// A fault without an effect tests nothing. Each fault must change the results of its script in the expected way.
func TestFaults_ChangeResult(t *testing.T) {
	quiet := playVirtual(t, openScript(t, "quiet"), Options{Seed: 1})
	lost := func(r *Result) bool { return r.Ended["LOST"] > 0 }
	slower := func(r *Result) bool { return r.Wait99 > 5*quiet.Wait99 }
	for name, shows := range map[string]func(*Result) bool{
		"crash":           lost,
		"preempt":         lost,
		"cold-herd":       lost,
		"deploy":          func(r *Result) bool { return r.Ended["SENT_AWAY"] > 0 },
		"slow":            slower,
		"stall":           slower,
		"allocator-still": slower,
		"forget":          slower, // starts of uncached programs take longer
		"overrun":         func(r *Result) bool { return r.Ended["EVICTED"] > 0 },
		"burst":           func(r *Result) bool { return r.FirstRequests > quiet.FirstRequests*5/4 },
		"full":            func(r *Result) bool { return r.Rejected > r.Placed },
		"throttle":        func(r *Result) bool { return r.Binds > uint64(r.Placed) },
		"hall-cut":        func(r *Result) bool { return r.Unschedulable+r.Ended["LOST"] > 0 },
		"reconnect":       func(r *Result) bool { return r.FirstRequests > quiet.FirstRequests*5/4 },
		"allocator-death": func(r *Result) bool { return r.AllocatorIncarnations == r.Allocators+3 },
		"one-way":         slower,
		"reordered":       slower,
		"delayed":         slower,
		"doubled":         func(r *Result) bool { return r.Duplicates > 0 },
		"list-empty":      func(r *Result) bool { return r.Rejected > quiet.Rejected },
		"never-starts":    func(r *Result) bool { return r.Ended["FINISHED"] < quiet.Ended["FINISHED"] },
	} {
		assert.True(t, shows(playVirtual(t, openScript(t, name), Options{Seed: 1})), name)
	}
}

// A fault without an effect tests nothing. Without any one of its faults, a script must give another digest.
func TestScripts_EachFaultChangesRun(t *testing.T) {
	for _, name := range scenario.Names() {
		with := playVirtual(t, openScript(t, name), Options{Seed: 1})
		for i, f := range openScript(t, name).Faults {
			s := openScript(t, name)
			s.Faults = slices.Delete(s.Faults, i, i+1)
			assert.NotEqual(t, with.Digest, playVirtual(t, s, Options{Seed: 1}).Digest, "%s without %s", name, f.Kind)
		}
	}
}

// An allocator that crashes may lose the record of a bind, and place an at-most-once workload again when its client
// retries. Allocators and their machines crash at various times and lose unsynced data: no such workload may run twice,
// and requests for workloads that may have run must be answered from storage.
func TestStorage_AtMostOnceAcrossAllocatorCrashes(t *testing.T) {
	answeredFromStorage := 0
	for seed := range uint64(20) {
		s := openScript(t, "state-death")
		for i := range s.Faults {
			s.Faults[i].At += placement.Millis(seed) * 37 // another crash time in each run
		}
		r := playVirtual(t, s, Options{Seed: seed + 1})
		assertRulesHold(t, r)
		answeredFromStorage += int(r.AnsweredFromStorage)
	}
	assert.NotZero(t, answeredFromStorage, "no request was answered from storage, so the test is inconclusive")
}

// readHistory reads a history file that a run has written.
func readHistory(t *testing.T, file string) *observer.History {
	t.Helper()
	f, err := os.Open(file)
	require.NoError(t, err)
	defer func() { require.NoError(t, f.Close()) }()
	h, err := observer.ReadHistory(file, f)
	require.NoError(t, err)
	return h
}

// The share is a sum of floating-point numbers, so its last digit changes if the order of the additions depends on the
// iteration order of a map.
func TestRun_WastedShareIsTheSameEachTime(t *testing.T) {
	file := filepath.Join(t.TempDir(), "history")
	r := playVirtual(t, openScript(t, "gang-node-failure"), Options{Seed: 2, HistoryFile: file})
	h := readHistory(t, file)
	require.NotZero(t, r.GangWasted)
	for range 200 {
		assert.Equal(t, math.Float64bits(r.GangWasted), math.Float64bits(audit.Check(h).WastedCoreShare()))
	}
}
