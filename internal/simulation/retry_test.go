package simulation

import (
	"fmt"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// decodeScript reads a script from its text.
func decodeScript(t *testing.T, text string) *scenario.Script {
	t.Helper()
	s, err := scenario.DecodeText("scenario.hcl", []byte(text))
	require.NoError(t, err)
	return s
}

// Run 779 of a search (seed 71), reduced: a request that the network delayed by 58 ms, more than the margin of the
// placement module, was answered after its client's timeout. Nearly every seed of it broke the rule.
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
		r := playVirtual(t, decodeScript(t, text), Options{Seed: 114914427 + seed})
		assert.Empty(t, r.Violations, "seed %d", seed)
	}
}

// restartFaults is the part of restartScript that is always the same. Nodes drain for a deploy, others come back cold
// just as the allocators do, and most clients restart their services.
const restartFaults = `
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

// restartScript returns a script in which a share of four allocators crashes at 6 s and is back at 6.3 s, with or
// without durable state, while the discovery service suffers a fault, "" for none.
func restartScript(share float64, durable bool, discoveryFault scenario.FaultKind) string {
	discovery := "push"
	if discoveryFault == scenario.DiscoveryOverload {
		discovery = "ask"
	}
	text := fmt.Sprintf(restartFaults, discovery)
	if share > 0 {
		text += fmt.Sprintf("fault \"allocator-death\" {\n at = \"6s\"\n for = \"300ms\"\n part = %v\n}\n", share)
	}
	if durable {
		text += "state {\n disk = \"8ms\"\n}\n"
	}
	if discoveryFault != "" {
		text += fmt.Sprintf("fault %q {\n at = \"5900ms\"\n for = \"1500ms\"\n}\n", discoveryFault)
	}
	return text
}

func TestRestart_WithoutStateKeepsRules(t *testing.T) {
	discoveryFaults := []scenario.FaultKind{
		"", scenario.DiscoveryLate, scenario.DiscoveryEmpty, scenario.DiscoveryOverload,
	}
	for _, share := range []float64{0.25, 0.5, 1} {
		for _, durable := range []bool{false, true} {
			for _, discoveryFault := range discoveryFaults {
				text := restartScript(share, durable, discoveryFault)
				for seed := range uint64(4) {
					r := playVirtual(t, decodeScript(t, text), Options{Seed: seed + 1})
					assert.InDelta(t, 4+4*share, r.AllocatorIncarnations, 0)
					assertRulesHold(t, r)
				}
			}
		}
	}
}

// The shares of placed requests are measured in slots of half a second.
const (
	slotCount    = 28
	slotDuration = placement.Millis(500)
	settledAt    = placement.Millis(1500) // when clients begin to send requests
)

// placedShares returns the mean share, over seeds, of the requests sent in each slot that were placed.
func placedShares(t *testing.T, text string, seeds uint64) []float64 {
	t.Helper()
	sums := make([]float64, slotCount)
	runs := make([]float64, slotCount)
	for seed := range seeds {
		file := filepath.Join(t.TempDir(), "history")
		playVirtual(t, decodeScript(t, text), Options{Seed: seed + 1, HistoryFile: file})
		requested, placed := countPlaced(readHistory(t, file))
		for slot := range sums {
			if requested[slot] > 0 {
				sums[slot] += placed[slot] / requested[slot]
				runs[slot]++
			}
		}
	}
	for slot := range sums {
		sums[slot] /= max(1, runs[slot])
	}
	return sums
}

// countPlaced returns the number of requests sent in each slot, and how many of them were placed.
func countPlaced(history *observer.History) (requested, placed []float64) {
	requested = make([]float64, slotCount)
	placed = make([]float64, slotCount)
	slots := map[retryKey]int{} // by client and request
	for _, event := range history.Events() {
		request := event.Frame.GetPlaceRequest()
		if request != nil && event.Kind == observer.FrameSent {
			slot := min(slotCount-1, int((event.At-settledAt)/slotDuration))
			slots[retryKey{event.Process.Name, request.RequestId}] = slot
			requested[slot]++
		}
		answer := event.Frame.GetAnswer()
		if answer != nil && event.Kind == observer.FrameReceived && answer.Verdict == pb.Verdict_PLACED {
			placed[slots[retryKey{event.Process.Name, answer.RequestId}]]++
		}
	}
	return requested, placed
}

// Allocators that restarted without state soon place as many requests as those that never stopped. For a moment they
// place fewer, as workloads that clients withdrew while all allocators were away still run.
func TestRestart_WithoutStatePlacesAsOthers(t *testing.T) {
	const (
		from  = 13 // slot of 6.5 s, just after the restart
		until = 17 // slot of 8.5 s
	)
	uninterrupted := placedShares(t, restartScript(0, false, ""), 10)
	for _, share := range []float64{0.25, 1} {
		restarted := placedShares(t, restartScript(share, false, ""), 10)
		t.Logf("share %v restarted: %.3f, uninterrupted: %.3f", share, restarted[from:until], uninterrupted[from:until])
		for slot := from; slot < until; slot++ {
			assert.Greater(t, restarted[slot], uninterrupted[slot]-0.15)
		}
	}
}

// allLayersRetry has every layer retry at once: nodes that accept and start nothing, a zone cut off, one-way cuts, an
// overloaded discovery service, allocators that crash, and clients that retry after a disconnect and restart services.
const allLayersRetry = `
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

// retryKey identifies what is counted: a process or client, and a number of its own, or 0.
type retryKey struct {
	name   string
	number uint64
}

// retryCounts counts the frames of a run by what they repeat.
type retryCounts map[string]map[retryKey]int

// add counts one more frame that repeats what the name and number identify.
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

// countRetries counts what the clients and allocators of a run repeated.
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

// The worst product over all layers, counted from traffic: a request has at most four binds here, a client requests a
// workload at most six times, a gang is started at most three times. No layer multiplies what another has counted.
func TestRetries_AllLayersWithinBounds(t *testing.T) {
	const (
		binds        = 4 // of a request
		attempts     = 6 // of a workload
		gangAttempts = 3 // of a gang
	)
	worst := map[string]int{}
	for seed := range uint64(20) {
		file := filepath.Join(t.TempDir(), "history")
		s := decodeScript(t, allLayersRetry)
		require.Equal(t, binds, s.Settings.MaxBinds)
		require.Equal(t, attempts, s.Client.MaxAttempts)
		assertRulesHold(t, playVirtual(t, s, Options{Seed: seed + 1, HistoryFile: file}))
		for what, counts := range countRetries(readHistory(t, file)) {
			for _, n := range counts {
				worst[what] = max(worst[what], n)
			}
		}
	}
	t.Log(worst)
	for what, most := range map[string]int{
		"requests of a workload": attempts,
		"answers to a request":   1,
		"offers of a bind":       1,
		"binds of a request":     binds,
		"binds of a workload":    attempts * binds,
		"binds of a part":        gangAttempts * binds,
		// One when it times out or is withdrawn, and one at each connection at which the node still names it; a part's
		// every 2 s.
		"stops of a bind": 8,
		// A poll every 1.5 s at first, later ones further apart, and one at each connection to the discovery service.
		"polls of an allocator":         16,
		"health checks of an allocator": 9 + 14*14,
	} {
		assert.LessOrEqual(t, worst[what], most, what)
		assert.NotZero(t, worst[what], "%s: never counted, so nothing is proved", what)
	}
	assert.Greater(t, worst["binds of a request"], 1)
}

// Runs in which a rule breaks and no allocator could keep it, by the numbers of docs/review-findings.md. Each is
// played: while the rule still breaks, the case is skipped with its finding; once it holds, the case fails and must go.
func TestKnownViolations_StillOccur(t *testing.T) {
	for _, known := range []struct {
		name string
		seed uint64
		rule int
		why  string
	}{
		{
			name: "answer-held-up",
			seed: 3783727273,
			rule: 1,
			why:  "finding 10: the answer leaves in time, and the network holds it up by more than the margin",
		},
		{
			name: "node-clock-stepped",
			seed: 2918813409,
			rule: 4,
			why:  "finding 11: the node itself says that it has been up for long",
		},
	} {
		t.Run(known.name, func(t *testing.T) {
			script := openScript(t, filepath.Join("testdata", "known", known.name+".hcl"))
			r := playVirtual(t, script, Options{Seed: known.seed})
			for _, b := range r.Violations {
				if b.Rule == known.rule {
					t.Skip(known.why)
				}
			}
			t.Fatalf("rule %d holds now: remove the case, and say so in docs/review-findings.md (%s)",
				known.rule, known.why)
		})
	}
}
