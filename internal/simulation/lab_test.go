package simulation

import (
	"context"
	"fmt"
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
	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
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

func TestEveryScriptKeepsTheRules(t *testing.T) {
	for _, name := range scenario.Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds() {
				kept(t, play(t, open(t, name), Options{Seed: seed + 1}))
			}
		})
	}
}

func TestTheSameSeedGivesTheSameDay(t *testing.T) {
	for _, name := range []string{"rough", "overlap", "cold-herd"} {
		first, again := play(t, open(t, name), Options{Seed: 3}), play(t, open(t, name), Options{Seed: 3})
		again.RanSeconds = first.RanSeconds
		assert.Equal(t, first, again)
		assert.NotEqual(t, first.Digest, play(t, open(t, name), Options{Seed: 4}).Digest)
	}
}

func TestManyAllocatorsDoNotPushOverAColdNode(t *testing.T) {
	s := open(t, "cold-herd")
	s.Resize(320, 0)
	kept(t, play(t, s, Options{Seed: 1}))
}

// Two, ten and a hundred groups of half the fleet each, on as many allocators.
func TestGroupsOfHalfTheFleetCompeteAndSomeStand(t *testing.T) {
	for _, allocators := range []int{2, 10, 100} {
		s := open(t, "gang-contest")
		s.Resize(allocators, 0)
		s.Client.Rate = 1
		s.Client.Gangs[0].Parts, s.Client.Gangs[0].MinParts, s.Client.Gangs[0].SpreadScope = s.NodeCount()/2, s.NodeCount()/2, "node"
		s.Client.Gangs[0].Rate = float64(allocators) / 8
		r := play(t, s, Options{Seed: 1})
		kept(t, r)
		assert.Zero(t, r.PartialLeft)
		assert.NotZero(t, r.GangsStood, "%d allocators", allocators)
	}
}

func TestAGroupThatCannotFitIsRejectedAndOneOnASingleNodeStands(t *testing.T) {
	day := func(change func(*scenario.GangDemand)) *Result {
		s := open(t, "gang-contest")
		s.Resize(1, 0)
		s.Client.Rate, s.Client.Gangs[0].Rate = 0.5, 0.5
		change(&s.Client.Gangs[0])
		r := play(t, s, Options{Seed: 1})
		assert.Empty(t, r.Violations)
		return r
	}
	larger := day(func(g *scenario.GangDemand) { g.Parts, g.MinParts = 50, 50 })
	assert.Zero(t, larger.GangsStood)
	assert.Zero(t, larger.GangStops, "nothing of it was ever sent")
	one := day(func(g *scenario.GangDemand) {
		g.Parts, g.MinParts, g.Shape, g.SpreadScope = 3, 3, [2]float64{13, 20}, ""
	})
	assert.NotZero(t, one.GangsStood)
}

// single is a small day with one group after another on four nodes.
func single(t *testing.T, group string, replace bool) *scenario.Script {
	s := open(t, "gang-contest")
	s.Resize(1, 4)
	s.Clients, s.Length, s.Client.Rate, s.Client.WithdrawShare = 1, 3000, 0, 0
	s.Client.Gangs = []scenario.GangDemand{{
		Group: group, Idempotency: s.Settings.Groups[slices.Index(s.Groups, group)].Idempotency, Rate: 0.6, Parts: 3, MinParts: 3,
		Shape: [2]float64{10, 10}, Lifetime: 2500, PendingTimeout: 4000, Replace: replace, ReplaceTimeout: 1500,
	}}
	return s
}

// Each frame between an allocator and its nodes is lost, doubled, delayed, its connection cut, or the allocator
// dies as it passes and comes back, or never does: whatever happens, no part of a group is left.
func TestNoMishapAtAnyFrameLeavesAPartOfAGroup(t *testing.T) {
	days := 0
	for _, group := range []string{"serve", "check", "trace"} {
		for _, kind := range MessageFaultKinds {
			for frame := 1; frame <= 40; frame++ {
				m := &MessageFault{Kind: kind, Frame: frame, Restarts: frame%2 == 0}
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
func TestARoughDayOverSocketsKeepsTheRules(t *testing.T) {
	s := open(t, "rough")
	s.SetLength(9000)
	r, err := PlaySockets(context.Background(), s, Options{Seed: 2}, nil)
	require.NoError(t, err)
	kept(t, r)
	assert.Greater(t, r.Frames, 1000)
}

func TestGroupsOverSocketsLeaveNoPart(t *testing.T) {
	s := open(t, "gang-node-failure")
	s.SetLength(5000)
	r, err := PlaySockets(context.Background(), s, Options{Seed: 1}, nil)
	require.NoError(t, err)
	kept(t, r)
	assert.NotZero(t, r.GangsStood)
	assert.Zero(t, r.PartialLeft)
}

func TestTheAuditorCatchesEveryDeliberateBreak(t *testing.T) {
	// The days on which each has occasion to break its rule.
	days := map[Mutant]string{
		NoAnswer: "quiet", TwoAnswers: "quiet", LateAnswer: "full", OffersAfterAnswer: "quiet", TwoBinds: "quiet",
		RejectsUnknownOutcome: "hall-cut", IgnoresDrain: "deploy", IgnoresWarmUp: "cold-herd", IgnoresSpread: "full", LeavesGangParts: "gang-contest",
		StopsTwice: "gang-node-failure", IgnoresStorage: "state-death", NeverSyncs: "state-death", ExceedsMaxBinds: "throttle",
	}
	for how, rule := range MutantRules {
		t.Run(string(how), func(t *testing.T) {
			s := open(t, days[how])
			for i := range s.Client.Gangs {
				s.Client.Gangs[i].Lifetime = 60e3 // longer than a lease and the time to settle
			}
			file := filepath.Join(t.TempDir(), "history")
			seed := uint64(1)
			r := play(t, s, Options{Seed: seed, Mutant: how, HistoryFile: file})
			for len(r.Violations) == 0 && seed < 20 {
				seed++
				r = play(t, s, Options{Seed: seed, Mutant: how, HistoryFile: file}) // some need chance to give them occasion
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

func TestTheAuditorCatchesABreakOverSockets(t *testing.T) {
	s := open(t, "quiet")
	s.SetLength(2000)
	r, err := PlaySockets(context.Background(), s, Options{Seed: 1, Mutant: TwoBinds}, nil)
	require.NoError(t, err)
	require.NotEmpty(t, r.Violations)
	assert.Equal(t, 2, r.Violations[0].Rule)
}

func TestADayThatIsCutShortIsNotJudged(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := PlaySockets(ctx, open(t, "quiet"), Options{Seed: 1}, nil)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// Each fault must show in what the day brings, or the days prove nothing.
func TestEveryFaultShows(t *testing.T) {
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
	for name, set := range map[string]func(*Node){
		"neighbour": func(n *Node) { n.NeighbourShare = 0.5 }, "hot": func(n *Node) { n.Surge = UsageSurge{Share: 1, Factor: 3} },
	} {
		n := NewNode(&NodeSpec{Cores: 10, Memory: 10}, &scenario.NodeModel{}, 1)
		n.tasks = []*task{{offer: &pb.Offer{Ask: &pb.Ask{}}, cores: 2, memory: 2}}
		before := n.coresUsed()
		set(n)
		assert.Greater(t, n.coresUsed(), before, name)
	}
}

// A hunt over a bounded number of days finds each engine that breaks a rule, and makes the day smaller; the script
// that it writes breaks the same rule when it is played.
func TestAHuntFindsEachDeliberateBreakAndShrinksIt(t *testing.T) {
	for how, rule := range MutantRules {
		t.Run(string(how), func(t *testing.T) {
			t.Parallel()
			h := Search{Seed: 1, MaxRuns: 40, Allocators: 6, Nodes: 12, Mutant: how}
			if how == IgnoresWarmUp || how == RejectsUnknownOutcome || how == LeavesGangParts || how == StopsTwice ||
				how == IgnoresStorage || how == NeverSyncs {
				h.MaxRuns = 600 // these need more than chance gives every day
			}
			r, err := h.Run(context.Background(), nil)
			require.NoError(t, err)
			at := slices.IndexFunc(r.Findings, func(f Finding) bool { return f.Rule == rule })
			require.GreaterOrEqual(t, at, 0, "rule %d in %d days", rule, r.Runs)
			s, err := scenario.DecodeText("found.hcl", []byte(r.Findings[at].Script))
			require.NoError(t, err)
			again := play(t, s, Options{Seed: r.Findings[at].Seed, Mutant: how})
			assert.True(t, slices.ContainsFunc(again.Violations, func(b audit.Violation) bool { return b.Rule == rule }))
		})
	}
}

// What a hunt draws depends on its seed alone, and an honest engine breaks nothing.
func TestAHuntOfTheSameDaysFindsTheSame(t *testing.T) {
	run := func(seed uint64) *SearchReport {
		h := Search{Seed: seed, MaxRuns: 150, Allocators: 8, Nodes: 16, KeepWorst: 2}
		r, err := h.Run(context.Background(), nil)
		require.NoError(t, err)
		r.Seconds = 0
		return r
	}
	first := run(7)
	assert.Equal(t, first, run(7))
	for _, f := range first.Findings {
		assert.Zero(t, f.Rule, f.What)
	}
	assert.NotEqual(t, first.Faults, run(8).Faults)
	assert.LessOrEqual(t, first.Nearest.Cold, 1.0)
	assert.LessOrEqual(t, first.Nearest.Drain, 1.0)
}

// A fault whose absence changes nothing is none: each of every script, left out by itself, makes another day.
func TestEveryFaultOfEveryScriptChangesItsDay(t *testing.T) {
	for _, name := range scenario.Names() {
		with := play(t, open(t, name), Options{Seed: 1})
		for i, f := range open(t, name).Faults {
			s := open(t, name)
			s.Faults = slices.Delete(s.Faults, i, i+1)
			assert.NotEqual(t, with.Digest, play(t, s, Options{Seed: 1}).Digest, "%s without %s", name, f.Kind)
		}
	}
}

// nodeWire is the net of one node under test.
type nodeWire struct {
	now  placement.Millis
	wake placement.Millis
	sent []*pb.Frame
}

func (w *nodeWire) Dial(string) transport.ConnID         { return 1 }
func (w *nodeWire) Send(c transport.ConnID, f *pb.Frame) { w.sent = append(w.sent, f) }
func (w *nodeWire) Close(transport.ConnID)               {}
func (w *nodeWire) WakeAt(t placement.Millis)            { w.wake = t }
func (w *nodeWire) Now() placement.Millis                { return w.now }
func (w *nodeWire) run(n *Node, until placement.Millis) {
	for w.wake <= until {
		w.now = w.wake
		n.Wake(w.now)
	}
	w.now = until
}

// said are the node's answers to offers, in words.
func (w *nodeWire) said() (all []string) {
	for _, f := range w.sent {
		if a := f.GetOfferAnswer(); a != nil {
			all = append(all, fmt.Sprintf("%d %v %s", a.Bind.Workload, a.Accepted, a.Text))
		}
	}
	w.sent = nil
	return all
}

func TestANodeTakesAnOfferOnceAndRefusesWithAReason(t *testing.T) {
	w := &nodeWire{}
	n := NewNode(&NodeSpec{ID: 1, Cores: 10, Memory: 10}, &scenario.NodeModel{
		CoreOvercommit: 1, MemoryOvercommit: 1, AdmissionTime: 10, QueueLimit: 3, ConcurrentStarts: 1, UncachedStartFactor: 2, ReportInterval: 1000, DrainMode: "keeps",
		Groups: map[string]*scenario.GroupModel{"g": {StartTime: 50, CoreUse: 1, MemoryUse: 1}, "t": {StartTime: 50}},
	}, 1)
	n.Start(0, w)
	n.Opened(0, 2)
	n.Received(0, 2, transport.HelloFrame(&pb.Hello{Role: pb.Role_ALLOCATOR, Name: "a", Incarnation: 5}))
	offer := func(id uint64, change ...func(*pb.Offer)) {
		o := &pb.Offer{
			Bind: &pb.BindID{Allocator: "a", Incarnation: 5, Workload: id}, AcceptWithinMs: 100,
			Ask: &pb.Ask{Key: id, Service: 1, Group: "g", Cores: 4, Memory: 4, RunsForMs: 10000},
		}
		for _, f := range change {
			f(o)
		}
		n.Received(w.now, 2, &pb.Frame{Body: &pb.Frame_Offer{Offer: o}})
	}
	offer(1)
	w.run(n, 20)
	offer(1) // again, as a network may bring it
	w.run(n, 40)
	assert.Equal(t, []string{"1 true ", "1 true "}, w.said())
	assert.Len(t, n.tasks, 1)
	offer(2, func(o *pb.Offer) { o.Bind.Incarnation = 4 })
	offer(3, func(o *pb.Offer) { o.Ask.Key = 1 })
	offer(4, func(o *pb.Offer) { o.Ask.Cores = 7 })
	offer(5)
	w.run(n, 200)
	offer(6, func(o *pb.Offer) { o.Ask.Memory, o.Ask.Cores = 7, 1 })
	offer(7, func(o *pb.Offer) { o.AcceptWithinMs = 5 })
	n.ThrottledGroup = "t"
	offer(8, func(o *pb.Offer) { o.Ask.Group = "t" })
	w.run(n, 240)
	assert.Equal(t, []string{
		"5 false too many offers wait", "2 false from an earlier incarnation of the allocator",
		"3 false a copy stands here", "4 false no cores left", "6 false no memory left", "7 false too late", "8 false ",
	}, w.said())
	// Called off or draining while it waits in line: refused, and nothing of it stands.
	offer(9, func(o *pb.Offer) { o.Ask.Cores = 1 })
	n.Received(w.now, 2, &pb.Frame{Body: &pb.Frame_Stop{Stop: &pb.Stop{Bind: &pb.BindID{Allocator: "a", Incarnation: 5, Workload: 9}, OnlyWaiting: true}}})
	offer(10, func(o *pb.Offer) { o.Ask.Cores = 1 })
	n.Drain(w.now, true)
	w.run(n, 300)
	assert.Equal(t, []string{"9 false called off", "10 false draining"}, w.said())
	// What was accepted is not called off where only what waits may be.
	n.Received(w.now, 2, &pb.Frame{Body: &pb.Frame_Stop{Stop: &pb.Stop{Bind: &pb.BindID{Allocator: "a", Incarnation: 5, Workload: 1}, OnlyWaiting: true}}})
	assert.Len(t, n.tasks, 1)
}

// Allocators and their machines die a hundred times at any moment, with what their disks had not synced, while owners insist on
// workloads that must not run twice: none does, and what may have run is said to have.
func TestNothingRunsTwiceWhereAllocatorsDieWithTheirDisks(t *testing.T) {
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
