package audit

import (
	"compress/gzip"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/simulation/observer"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// readRecorded reads a history from testdata/histories; the README.md there describes how each was recorded.
func readRecorded(t *testing.T, name string) *observer.History {
	t.Helper()
	f, err := os.Open(filepath.Join("..", "testdata", "histories", name+".jsonl.gz"))
	require.NoError(t, err)
	defer func() { require.NoError(t, f.Close()) }()
	text, err := gzip.NewReader(f)
	require.NoError(t, err)
	h, err := observer.ReadHistory(name, text)
	require.NoError(t, err)
	return h
}

// ruleSuspects are the workloads and nodes that may have violated a rule, computed without the auditor's code.
type ruleSuspects struct {
	workloads map[uint64]bool // key: workload key
	nodes     map[uint64]bool // key: node ID
}

// suspectsOf returns the workloads and nodes of a history that may have violated a rule.
func suspectsOf(t *testing.T, history *observer.History, rule int) ruleSuspects {
	t.Helper()
	suspects := ruleSuspects{workloads: map[uint64]bool{}, nodes: map[uint64]bool{}}
	switch rule {
	case ruleAnswer:
		suspects.addWrongAnswerCounts(history)
	case ruleIdempotency:
		suspects.addSimultaneousOffers(history)
	case ruleDrain:
		suspects.addDrainingNodes(history)
	case ruleWarmUp:
		suspects.addRestartedNodes(history)
	case ruleSpread:
		suspects.addCrowdedServices(history)
	default:
		require.Failf(t, "no search for suspects", "rule %d", rule)
	}
	return suspects
}

// requestKeys returns the workload key of each request.
func requestKeys(h *observer.History) map[uint64]uint64 {
	keys := map[uint64]uint64{}
	for _, e := range h.Events() {
		if request := e.Frame.GetPlaceRequest(); request != nil && e.Kind == observer.FrameSent {
			keys[request.RequestId] = request.Key
		}
	}
	return keys
}

// addWrongAnswerCounts adds the workloads whose requests received no answer, or more than one.
func (s ruleSuspects) addWrongAnswerCounts(h *observer.History) {
	answers := map[uint64]int{}
	for _, e := range h.Events() {
		if answer := e.Frame.GetAnswer(); answer != nil && e.Kind == observer.FrameReceived {
			answers[answer.RequestId]++
		}
	}
	for requestID, key := range requestKeys(h) {
		if answers[requestID] != 1 {
			s.workloads[key] = true
		}
	}
}

// addSimultaneousOffers adds the workloads of requests for which two offers were sent at the same time.
func (s ruleSuspects) addSimultaneousOffers(h *observer.History) {
	type offer struct {
		requestID uint64
		at        placement.Millis
	}
	keys := requestKeys(h)
	offers := map[offer]int{}
	for _, e := range h.Events() {
		if o := e.Frame.GetOffer(); o != nil && e.Kind == observer.FrameSent {
			offers[offer{o.Request.RequestId, e.At}]++
		}
	}
	for o, count := range offers {
		if count > 1 {
			s.workloads[keys[o.requestID]] = true
		}
	}
}

// addDrainingNodes adds the nodes that drain at some time in the run.
func (s ruleSuspects) addDrainingNodes(h *observer.History) {
	for _, e := range h.Events() {
		if e.Frame.GetDrain() != nil || e.Frame.GetRegister().GetState() == pb.NodeEntry_DRAINING {
			s.nodes[uint64(max(e.Frame.GetRegister().GetId(), uint32(e.Process.ID)))] = true
		}
	}
}

// addRestartedNodes adds the nodes that start more than once.
func (s ruleSuspects) addRestartedNodes(h *observer.History) {
	starts := map[*observer.Process]int{}
	for _, e := range h.Events() {
		if e.Kind == observer.ProcessStarted && e.Process.Role == pb.Role_NODE {
			starts[e.Process]++
			if starts[e.Process] > 1 {
				s.nodes[uint64(e.Process.ID)] = true
			}
		}
	}
}

// addCrowdedServices adds the workloads of services with more than two workloads offered to the same node.
func (s ruleSuspects) addCrowdedServices(h *observer.History) {
	type nodeService struct {
		node    int
		service uint64
	}
	services := map[nodeService]map[uint64]bool{}
	for _, e := range h.Events() {
		o := e.Frame.GetOffer()
		if o == nil || e.Kind != observer.FrameReceived {
			continue
		}
		at := nodeService{e.Process.ID, o.Request.Service}
		if services[at] == nil {
			services[at] = map[uint64]bool{}
		}
		services[at][o.Request.Key] = true
	}
	for _, keys := range services {
		if len(keys) > 2 {
			maps.Copy(s.workloads, keys)
		}
	}
}

// An auditor that misses violations passes every run. Histories of mutants must be reported, with violations at a
// workload or node that an independent search also finds; histories of unchanged allocators must not.
func TestCheck_RecordedHistories(t *testing.T) {
	for _, name := range []string{"honest", "cold-honest"} {
		t.Run(name+" keeps the rules", func(t *testing.T) {
			audited := Check(readRecorded(t, name))
			assert.Empty(t, audited.Violations)
			assert.Greater(t, audited.Frames, 400)
		})
	}
	for name, rule := range map[string]int{
		"no-answer":    ruleAnswer,
		"two-answers":  ruleAnswer,
		"two-binds":    ruleIdempotency,
		"drain-deaf":   ruleDrain,
		"cold-blind":   ruleWarmUp,
		"spread-blind": ruleSpread,
	} {
		t.Run(fmt.Sprintf("%s breaks rule %d", name, rule), func(t *testing.T) {
			history := readRecorded(t, name)
			suspects := suspectsOf(t, history, rule)
			found := 0
			for _, violation := range Check(history).Violations {
				if violation.Rule != rule {
					continue // a mutant's second bind may also exceed the spread limit, or be offered to a draining node
				}
				found++
				suspected := suspects.workloads[violation.Workload] || suspects.nodes[uint64(violation.Node)]
				assert.True(t, suspected, "workload %d, node %d", violation.Workload, violation.Node)
				assert.NotEmpty(t, violation.Frames)
			}
			assert.NotZero(t, found)
		})
	}
}
