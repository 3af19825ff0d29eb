package simulation

import (
	"bytes"
	"compress/gzip"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// recorded reads a history that came with the project; testdata/histories/README.md says how each was made.
func recorded(t *testing.T, name string) *History {
	t.Helper()
	f, err := os.Open(filepath.Join("testdata", "histories", name+".jsonl.gz"))
	require.NoError(t, err)
	defer f.Close()
	text, err := gzip.NewReader(f)
	require.NoError(t, err)
	h, err := ReadHistory(name, text)
	require.NoError(t, err)
	return h
}

// readBack reads the history of a day that was just played.
func readBack(t *testing.T, file string) *History {
	t.Helper()
	f, err := os.Open(file)
	require.NoError(t, err)
	defer f.Close()
	h, err := ReadHistory(file, f)
	require.NoError(t, err)
	return h
}

// guilty are the workloads and nodes that a plain reading of a history finds at fault for a rule, by none of the auditor's
// code.
func guilty(h *History, rule int) (workloads, nodes map[uint64]bool) {
	workloads, nodes = map[uint64]bool{}, map[uint64]bool{}
	keys, answers := map[uint64]uint64{}, map[uint64]int{}
	type offer struct {
		ask uint64
		at  placement.Millis
	}
	offers, lives, services := map[offer]int{}, map[*Gate]int{}, map[[2]uint64]map[uint64]bool{}
	for _, s := range h.sights {
		ask, answer, o := s.frame.GetAsk(), s.frame.GetAnswer(), s.frame.GetOffer()
		switch {
		case ask != nil && s.what == sends:
			keys[ask.Ask] = ask.Key
		case answer != nil && s.what == gets:
			answers[answer.Ask]++
		case o != nil && s.what == sends:
			offers[offer{o.Ask.Ask, s.at}]++
		case o != nil && s.what == gets:
			place := [2]uint64{uint64(s.gate.ID), o.Ask.Service}
			if services[place] == nil {
				services[place] = map[uint64]bool{}
			}
			services[place][o.Ask.Key] = true
		case s.frame.GetDrain() != nil || s.frame.GetRegister().GetState() == pb.NodeEntry_DRAINING:
			if rule == 3 {
				nodes[uint64(max(s.frame.GetRegister().GetId(), uint32(s.gate.ID)))] = true
			}
		case s.what == starts && s.gate.Role == pb.Role_NODE:
			if lives[s.gate]++; rule == 4 && lives[s.gate] > 1 {
				nodes[uint64(s.gate.ID)] = true
			}
		}
	}
	for ask, key := range keys {
		if rule == 1 && answers[ask] != 1 {
			workloads[key] = true
		}
	}
	for o, n := range offers {
		if rule == 2 && n > 1 {
			workloads[keys[o.ask]] = true
		}
	}
	for _, there := range services {
		if rule == 5 && len(there) > 2 {
			for key := range there {
				workloads[key] = true
			}
		}
	}
	return workloads, nodes
}

// Each rule's check is shown able to fail, for the workload or node that is at fault, and to pass on the same day where
// nothing was tampered with.
func TestRecordedHistoriesAreRejectedForTheRuleThatBreaks(t *testing.T) {
	for _, honest := range []string{"honest", "cold-honest"} {
		a := recorded(t, honest).Audit()
		assert.Empty(t, a.Broken, honest)
		assert.Greater(t, a.Frames, 400)
	}
	for name, rule := range map[string]int{
		"no-answer": 1, "two-answers": 1, "two-binds": 2, "drain-deaf": 3, "cold-blind": 4, "spread-blind": 5,
	} {
		h := recorded(t, name)
		workloads, nodes := guilty(h, rule)
		found := 0
		for _, b := range h.Audit().Broken {
			if b.Rule != rule {
				continue // a second bind may also be one too many in a place, or reach a node that drains
			}
			found++
			assert.True(t, workloads[b.Workload] || nodes[uint64(b.Node)], "%s: workload %d, node %d", name, b.Workload, b.Node)
			assert.NotEmpty(t, b.Frames, name)
		}
		assert.NotZero(t, found, name)
	}
}

func TestAHistoryThatIsCutOffOutOfOrderOrGarbledIsNamedWithItsLine(t *testing.T) {
	var text bytes.Buffer
	require.NoError(t, recorded(t, "honest").Write(&text))
	lines := strings.SplitAfter(strings.TrimSpace(text.String()), "\n")
	last := len(lines) - 1
	for want, change := range map[string]func(l []string) []string{
		"x:1: the history is cut off":           func(l []string) []string { return nil },
		"the history is cut off":                func(l []string) []string { return l[:last] },
		"x:2: invalid character":                func(l []string) []string { l[1] = "{]\n"; return l },
		"x:1: json: unknown field \"at\"":       func(l []string) []string { return l[1:] },
		"before the line above":                 func(l []string) []string { l[9], l[last-9] = l[last-9], l[9]; return l },
		"lines stand before the end":            func(l []string) []string { return append(l[:20:20], l[21:]...) },
		"something stands behind the end":       func(l []string) []string { return append(l, "\n{}\n") },
		"something stands behind the document":  func(l []string) []string { l[2] = strings.TrimSpace(l[2]) + "{}\n"; return l },
		"it is not its start in a known role":   func(l []string) []string { return append(l[:1:1], l[2:]...) },
		"is nothing that is seen":               func(l []string) []string { l[3] = `{"at":0,"who":"list","what":"hums"}` + "\n"; return l },
		"a frame is missing, or one too many":   func(l []string) []string { l[3] = `{"at":0,"who":"list","what":"sends"}` + "\n"; return l },
		"\"list\" starts, and did so before":    func(l []string) []string { l[3] = `{"at":0,"who":"list","what":"starts"}` + "\n"; return l },
		"x:4: json: unknown field \"sometime\"": func(l []string) []string { l[3] = `{"sometime":0}` + "\n"; return l },
		"unknown field \"asks\"": func(l []string) []string {
			l[3] = `{"at":0,"who":"list","what":"sends","frame":{"asks":{}}}` + "\n"
			return l
		},
	} {
		_, err := ReadHistory("x", strings.NewReader(strings.Join(change(append([]string{}, lines...)), "")))
		assert.ErrorContains(t, err, want)
	}
	h, err := ReadHistory("x", strings.NewReader(strings.Join(lines, "")))
	require.NoError(t, err)
	var again bytes.Buffer
	require.NoError(t, h.Write(&again))
	assert.Equal(t, strings.TrimSpace(text.String()), strings.TrimSpace(again.String()), "what is read is what was written")
}

// The share is a sum of floating-point numbers, so its last digit shows any change of the order in which they are added.
func TestAuditor_WastedShareIsTheSameEachTime(t *testing.T) {
	file := filepath.Join(t.TempDir(), "history")
	r := play(t, open(t, "gang-node-failure"), Options{Seed: 2, History: file})
	h := readBack(t, file)
	require.NotZero(t, r.GangWasted)
	for range 200 {
		assert.Equal(t, math.Float64bits(r.GangWasted), math.Float64bits(h.Audit().wastedShare()))
	}
}
