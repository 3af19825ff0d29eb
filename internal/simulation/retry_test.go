package simulation

import "grebeglade/internal/simulation/scenario"

import (
	"fmt"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/simulation/observer"
	pb "grebeglade/proto/grebeglade/v1"
)

// decode reads a day from its text.
func decode(t *testing.T, text string) *scenario.Script {
	t.Helper()
	s, err := scenario.DecodeText("day.hcl", []byte(text))
	require.NoError(t, err)
	return s
}

// Day 779 of a hunt (seed 71), shrunk: an ask that the network held up for 58 ms, more than the module's margin, was answered
// after its owner had given up. Nearly every seed of it broke the rule.
func TestRequests_DelayedByNetworkAnsweredInTime(t *testing.T) {
	text := `
like       = "quiet"
allocators = 6
length     = "12991ms"
kind "small" {
  cores  = 24
  memory = 48
  count  = 1
}
rules {
  list       = "ask"
  confirms   = "running"
  cold_bears = 16
}
load {
  rate = 2
}
fault "slow" {
  at   = "6367ms"
  for  = "8040ms"
  part = 1
  size = 9.414
}
fault "reordered" {
  at   = "6169ms"
  for  = "4983ms"
  part = 0.709
  size = 144.5
}
`
	for seed := range uint64(20) {
		assert.Empty(t, play(t, decode(t, text), Options{Seed: 114914427 + seed}).Violations, "seed %d", seed)
	}
}

// emptyStart is a rough day on which a part of four allocators dies at 6 s and is back, knowing nothing, at 6.3 s: nodes drain
// for a deploy, others come back cold just then, residents stand everywhere, and most owners restart their services.
func emptyStart(part float64, state bool, list string) string {
	day := `
like       = "quiet"
allocators = 4
length     = "14s"
rules {
  list       = %q
  cold_bears = 16
}
load {
  rate    = 22
  insists = true
}
fault "deploy" {
  at    = "5s"
  for   = "6s"
  part  = 0.25
  size  = 0.25
  drain = "3s"
}
fault "crash" {
  at   = "5500ms"
  for  = "900ms"
  part = 0.3
}
fault "reconnect" {
  at   = "6300ms"
  for  = "1s"
  size = 0.6
}
`
	reads := "push"
	if list == "list-overrun" {
		reads = "ask"
	}
	day = fmt.Sprintf(day, reads)
	if part > 0 {
		day += fmt.Sprintf("fault \"allocator-death\" {\n at = \"6s\"\n for = \"300ms\"\n part = %v\n}\n", part)
	}
	if state {
		day += "state {\n disk = \"8ms\"\n}\n"
	}
	if list != "" {
		day += fmt.Sprintf("fault %q {\n at = \"5900ms\"\n for = \"1500ms\"\n}\n", list)
	}
	return day
}

func TestRestart_WithoutStateKeepsRules(t *testing.T) {
	for _, part := range []float64{0.25, 0.5, 1} {
		for _, state := range []bool{false, true} {
			for _, list := range []string{"", "list-late", "list-empty", "list-overrun"} {
				for seed := range uint64(4) {
					r := play(t, decode(t, emptyStart(part, state, list)), Options{Seed: seed + 1})
					assert.InDelta(t, 4+4*part, r.AllocatorIncarnations, 0)
					kept(t, r)
				}
			}
		}
	}
}

// placedBy is the share of asks sent in each half second that was answered with a place.
func placedBy(t *testing.T, day string, seeds uint64) []float64 {
	t.Helper()
	const half, begins = 500, 1500 // ms; owners begin once all know each other
	sums := make([]float64, 28)
	days := make([]float64, 28)
	for seed := range seeds {
		file := filepath.Join(t.TempDir(), "history")
		play(t, decode(t, day), Options{Seed: seed + 1, HistoryFile: file})
		h := readBack(t, file)
		type ref struct {
			owner string
			ask   uint64
		}
		sent := map[ref]int{}
		asked := make([]float64, 28)
		placed := make([]float64, 28)
		for _, s := range h.Events() {
			if a := s.Frame.GetPlaceRequest(); a != nil && s.Kind == observer.FrameSent {
				slot := min(27, int((s.At-begins)/half))
				sent[ref{s.Process.Name, a.RequestId}] = slot
				asked[slot]++
			}
			if a := s.Frame.GetAnswer(); a != nil && s.Kind == observer.FrameReceived && a.Verdict == pb.Verdict_PLACED {
				placed[sent[ref{s.Process.Name, a.RequestId}]]++
			}
		}
		for i := range sums {
			if asked[i] > 0 {
				sums[i] += placed[i] / asked[i]
				days[i]++
			}
		}
	}
	for i := range sums {
		sums[i] /= max(1, days[i])
	}
	return sums
}

// Decisions are soon those of instances that never stopped, measured by the asks that find a place: what owners withdrew while
// all allocators were away stands for a moment longer.
func TestRestart_WithoutStatePlacesAsOthers(t *testing.T) {
	const from, until = 13, 17 // half seconds: 6.5 s, just after they are back, to 8.5 s
	never := placedBy(t, emptyStart(0, false, ""), 10)
	for _, part := range []float64{0.25, 1} {
		anew := placedBy(t, emptyStart(part, false, ""), 10)
		t.Logf("part %v anew: %.3f, never stopped: %.3f", part, anew[from:until], never[from:until])
		for i := from; i < until; i++ {
			assert.Greater(t, anew[i], never[i]-0.15)
		}
	}
}

// allRetry has every layer retry at once: nodes that accept and start nothing, a hall cut off, one-way cuts, frames that are
// late, a list that is overrun, allocators that die, owners that insist and restart.
const allRetry = `
like       = "quiet"
allocators = 6
length     = "14s"
rules {
  list     = "ask"
  confirms = "running"
}
load {
  rate    = 14
  insists = true
}
state {
  disk = "8ms"
}
gang "parts" {
  group  = "serve"
  rate   = 0.4
  parts  = 3
  cores  = 4
  memory = 6
  life   = "30s"
}
fault "never-starts" {
  at   = "2s"
  for  = "5s"
  part = 0.5
}
fault "hall-cut" {
  at   = "3s"
  for  = "5s"
  zone = "hall-b"
}
fault "one-way" {
  at   = "4s"
  for  = "2s"
  part = 0.3
}
fault "list-overrun" {
  at   = "2s"
  for  = "8s"
  size = 40
}
fault "allocator-death" {
  at   = "6s"
  for  = "400ms"
  part = 0.5
}
fault "reconnect" {
  at   = "8s"
  for  = "1s"
  size = 0.5
}
`

// retryKey names what is counted: a process or client, and a number of its own, or 0.
type retryKey struct {
	name   string
	number uint64
}

// retryCounts counts the frames of a run by what they repeat.
type retryCounts map[string]map[retryKey]int

func (c retryCounts) add(what, name string, number uint64) {
	if c[what] == nil {
		c[what] = map[retryKey]int{}
	}
	c[what][retryKey{name, number}]++
}

// frameSent counts a frame that a client or an allocator sent.
func (c retryCounts) frameSent(sender string, f *pb.Frame) {
	switch b := f.Body.(type) {
	case *pb.Frame_PlaceRequest:
		c.add("requests of a workload", sender, b.PlaceRequest.Key)
	case *pb.Frame_Offer:
		o := b.Offer
		c.add("offers of a bind", observer.KeyOf(o.Bind).String(), 0)
		if o.Gang != nil {
			c.add("binds of a part", o.Client, o.Request.Key)
		} else {
			c.add("binds of a request", o.Client, o.Request.RequestId)
			c.add("binds of a workload", o.Client, o.Request.Key)
		}
	case *pb.Frame_Stop:
		c.add("stops of a bind", observer.KeyOf(b.Stop.Bind).String(), 0)
	case *pb.Frame_NodeListRequest:
		c.add("polls of an allocator", sender, 0)
	case *pb.Frame_HealthCheck:
		c.add("health checks of an allocator", sender, 0)
	}
}

func countRetries(h *observer.History) retryCounts {
	counts := retryCounts{}
	for _, event := range h.Events() {
		if answer := event.Frame.GetAnswer(); answer != nil && event.Kind == observer.FrameReceived {
			counts.add("answers to a request", event.Process.Name, answer.RequestId)
		}
		if event.Kind == observer.FrameSent && event.Process.Role != pb.Role_NODE {
			counts.frameSent(event.Process.Name, event.Frame)
		}
	}
	return counts
}

// The worst product over all layers, counted from traffic: a request has four binds here, a client requests a workload six
// times, a gang is begun three times. No layer multiplies what another has counted.
func TestRetries_AllLayersWithinBounds(t *testing.T) {
	const binds, attempts, begun = 4, 6, 3
	worst := map[string]int{}
	for seed := range uint64(20) {
		file := filepath.Join(t.TempDir(), "history")
		s := decode(t, allRetry)
		require.Equal(t, binds, s.Settings.MaxBinds)
		require.Equal(t, attempts, s.Client.MaxAttempts)
		kept(t, play(t, s, Options{Seed: seed + 1, HistoryFile: file}))
		for what, counts := range countRetries(readBack(t, file)) {
			for _, n := range counts {
				worst[what] = max(worst[what], n)
			}
		}
	}
	t.Log(worst)
	for what, most := range map[string]int{
		"requests of a workload": attempts, "answers to a request": 1, "offers of a bind": 1, "binds of a request": binds,
		"binds of a workload": attempts * binds, "binds of a part": begun * binds,
		// One when it times out or is withdrawn, and one at each connection at which the node still names it; a part's every 2 s.
		"stops of a bind": 8,
		// A poll every 1.5 s at first, later ones further apart, and one at each connection to the discovery service.
		"polls of an allocator":         16,
		"health checks of an allocator": 9 + 14*14,
	} {
		assert.LessOrEqual(t, worst[what], most, what)
		assert.NotZero(t, worst[what], "%s: nothing is shown", what)
	}
	assert.Greater(t, worst["binds of a request"], 1)
}

// Scenario runs in which a rule breaks and no allocator could keep it, by the numbers of docs/review-findings.md. Each is played;
// as long as the rule breaks it is skipped with its number, and once it does not the mark must go.
func TestKnownViolations_StillOccur(t *testing.T) {
	for _, known := range []struct {
		name string
		seed uint64
		rule int
		why  string
	}{
		{"answer-held-up", 3783727273, 1, "finding 10: the answer leaves in time, and the network holds it up by more than the margin"},
		{"node-clock-stepped", 2918813409, 4, "finding 11: the node itself says that it has been up for long"},
	} {
		t.Run(known.name, func(t *testing.T) {
			r := play(t, open(t, filepath.Join("testdata", "known", known.name+".hcl")), Options{Seed: known.seed})
			for _, b := range r.Violations {
				if b.Rule == known.rule {
					t.Skip(known.why)
				}
			}
			t.Fatalf("rule %d holds now: remove the mark, and say so in docs/review-findings.md (%s)", known.rule, known.why)
		})
	}
}
