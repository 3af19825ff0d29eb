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

// decodeScript returns the script with the given text.
func decodeScript(t *testing.T, text string) *scenario.Script {
	t.Helper()
	s, err := scenario.DecodeText("scenario.hcl", []byte(text))
	require.NoError(t, err)
	return s
}

// A request that the network delays by more than the margin of the placement module may be answered after its client's
// timeout, which violates rule 1. The script is the reduced run 779 of a search with seed 71, in which the delay was
// 58 ms; nearly every seed of it fails if the delay is not accounted for.
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

// restartFaults is the common part of the scripts of restartScript, as a format for the mode of discovery updates.
// Nodes drain for a deploy, others restart just after the allocators and are warming up, and clients restart most of
// their services.
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

// restartScript returns a script in which a share of four allocators crashes at 6 s and restarts at 6.3 s, with or
// without durable state, during a fault of the discovery service ("" for none).
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

// Restarted allocators start with an empty view of the fleet. The rules must hold whatever share of them restarts, with
// or without durable state, also while the discovery service is late, empty or overloaded.
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

// The shares of placed requests are measured in time slots of half a second.
const (
	slotCount     = 28
	slotDuration  = placement.Millis(500)
	requestsStart = placement.Millis(1500) // time at which clients begin to send requests
)

// placedShares returns, for each slot, the share of the requests sent in it that were placed, as a mean over seeds.
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

// countPlaced returns the number of requests sent in each slot, and the number of them that were placed.
func countPlaced(history *observer.History) (requested, placed []float64) {
	requested = make([]float64, slotCount)
	placed = make([]float64, slotCount)
	slots := map[retryKey]int{} // key: client and request
	for _, event := range history.Events() {
		request := event.Frame.GetPlaceRequest()
		if request != nil && event.Kind == observer.FrameSent {
			slot := min(slotCount-1, int((event.At-requestsStart)/slotDuration))
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

// Allocators that restart without state must place about as many requests as allocators that never stop. Their share
// may be lower by less than 0.15, since workloads that clients withdrew while all allocators were down still occupy
// nodes.
func TestRestart_WithoutStatePlacesAsOthers(t *testing.T) {
	const (
		from  = 13 // slot that starts at 6.5 s, just after the restart
		until = 17 // slot that starts at 8.5 s, the first one not compared
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

// allLayersRetry makes all layers retry at the same time: nodes accept offers and start nothing, a zone and single
// directions are cut off, the discovery service is overloaded, allocators crash, and clients retry after disconnects
// and restart services.
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

// retryKey identifies a repeated item: the name of a process or a bind, and a number of that process's own, or 0.
type retryKey struct {
	name   string
	number uint64
}

// retryCounts counts frames, by the kind of repetition and the repeated item.
type retryCounts map[string]map[retryKey]int

// add counts one frame for the item that the name and number identify.
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

// countRetries counts the frames that clients and allocators of a run repeated.
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

// Retries in several layers may multiply. The counts from the traffic must stay within the product of the layers' own
// limits: a request has at most four binds, a client requests a workload at most six times, and a gang is attempted at
// most three times.
func TestRetries_AllLayersWithinBounds(t *testing.T) {
	const (
		binds        = 4 // limit per request
		attempts     = 6 // limit per workload
		gangAttempts = 3 // limit per gang
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
		// One after a timeout or a withdrawal, and one for each new connection on which the node still lists the
		// bind; for parts of gangs, one every 2 s.
		"stops of a bind": 8,
		// One poll every 1.5 s at first, at longer intervals later, and one for each new connection to the discovery
		// service.
		"polls of an allocator":         16,
		"health checks of an allocator": 9 + 14*14,
	} {
		assert.LessOrEqual(t, worst[what], most, what)
		assert.NotZero(t, worst[what], "%s: no frame counted, so the limit was not tested", what)
	}
	assert.Greater(t, worst["binds of a request"], 1)
}

// Each case is a run in which no allocator can prevent a violation, with its number in docs/review-findings.md. While
// the rule is violated, the case is skipped with the finding; if the rule holds, the case fails and must be removed.
func TestKnownViolations_StillOccur(t *testing.T) {
	for _, known := range []struct {
		name   string
		seed   uint64
		rule   int
		reason string
	}{
		{
			name:   "answer-held-up",
			seed:   3783727273,
			rule:   1,
			reason: "finding 10: the answer is sent in time, and the network delays it by more than the margin",
		},
		{
			name:   "node-clock-stepped",
			seed:   2918813409,
			rule:   4,
			reason: "finding 11: the node itself reports a long uptime after a step of its clock",
		},
	} {
		t.Run(known.name, func(t *testing.T) {
			script := openScript(t, filepath.Join("testdata", "known", known.name+".hcl"))
			r := playVirtual(t, script, Options{Seed: known.seed})
			for _, b := range r.Violations {
				if b.Rule == known.rule {
					t.Skip(known.reason)
				}
			}
			t.Fatalf("rule %d holds now: remove the case, and update docs/review-findings.md (%s)",
				known.rule, known.reason)
		})
	}
}
