package audit

import (
	"compress/gzip"
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

// recorded reads a history that came with the project; testdata/histories/README.md says how each was made.
func recorded(t *testing.T, name string) *observer.History {
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

// suspects are the workloads and nodes that a plain reading of a history finds at fault for a rule, by none of the auditor's
// code.
type suspects struct{ workloads, nodes map[uint64]bool }

func suspectsOf(h *observer.History, rule int) suspects {
	s := suspects{workloads: map[uint64]bool{}, nodes: map[uint64]bool{}}
	switch rule {
	case 1:
		s.addWrongAnswerCounts(h)
	case 2:
		s.addSimultaneousOffers(h)
	case 3:
		s.addDrainingNodes(h)
	case 4:
		s.addRestartedNodes(h)
	case 5:
		s.addCrowdedServices(h)
	}
	return s
}

// requestKeys returns the workload key of each request.
func requestKeys(h *observer.History) map[uint64]uint64 {
	keys := map[uint64]uint64{}
	for _, e := range h.Events() {
		if ask := e.Frame.GetPlaceRequest(); ask != nil && e.Kind == observer.FrameSent {
			keys[ask.RequestId] = ask.Key
		}
	}
	return keys
}

// addWrongAnswerCounts adds the workloads whose requests got no answer, or more than one.
func (s suspects) addWrongAnswerCounts(h *observer.History) {
	answers := map[uint64]int{}
	for _, e := range h.Events() {
		if answer := e.Frame.GetAnswer(); answer != nil && e.Kind == observer.FrameReceived {
			answers[answer.RequestId]++
		}
	}
	for ask, key := range requestKeys(h) {
		if answers[ask] != 1 {
			s.workloads[key] = true
		}
	}
}

// addSimultaneousOffers adds the workloads of requests for which two offers were sent at the same time.
func (s suspects) addSimultaneousOffers(h *observer.History) {
	type offer struct {
		ask uint64
		at  placement.Millis
	}
	keys, offers := requestKeys(h), map[offer]int{}
	for _, e := range h.Events() {
		if o := e.Frame.GetOffer(); o != nil && e.Kind == observer.FrameSent {
			offers[offer{o.Request.RequestId, e.At}]++
		}
	}
	for o, n := range offers {
		if n > 1 {
			s.workloads[keys[o.ask]] = true
		}
	}
}

// addDrainingNodes adds the nodes that drain at some time.
func (s suspects) addDrainingNodes(h *observer.History) {
	for _, e := range h.Events() {
		if e.Frame.GetDrain() != nil || e.Frame.GetRegister().GetState() == pb.NodeEntry_DRAINING {
			s.nodes[uint64(max(e.Frame.GetRegister().GetId(), uint32(e.Process.ID)))] = true
		}
	}
}

// addRestartedNodes adds the nodes that start more than once.
func (s suspects) addRestartedNodes(h *observer.History) {
	starts := map[*observer.Process]int{}
	for _, e := range h.Events() {
		if e.Kind == observer.ProcessStarted && e.Process.Role == pb.Role_NODE {
			if starts[e.Process]++; starts[e.Process] > 1 {
				s.nodes[uint64(e.Process.ID)] = true
			}
		}
	}
}

// addCrowdedServices adds the workloads of services of which more than two were offered to one node.
func (s suspects) addCrowdedServices(h *observer.History) {
	type place struct {
		node    int
		service uint64
	}
	services := map[place]map[uint64]bool{}
	for _, e := range h.Events() {
		o := e.Frame.GetOffer()
		if o == nil || e.Kind != observer.FrameReceived {
			continue
		}
		at := place{e.Process.ID, o.Request.Service}
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

// Each rule's check fails for the workload or node that is at fault, and passes on the same scenario with an unchanged engine.
func TestCheck_RecordedHistories(t *testing.T) {
	for _, honest := range []string{"honest", "cold-honest"} {
		a := Check(recorded(t, honest))
		assert.Empty(t, a.Violations, honest)
		assert.Greater(t, a.Frames, 400)
	}
	for name, rule := range map[string]int{
		"no-answer": 1, "two-answers": 1, "two-binds": 2, "drain-deaf": 3, "cold-blind": 4, "spread-blind": 5,
	} {
		h := recorded(t, name)
		suspects := suspectsOf(h, rule)
		found := 0
		for _, b := range Check(h).Violations {
			if b.Rule != rule {
				continue // a second bind may also be one too many in a place, or reach a node that drains
			}
			found++
			assert.True(t, suspects.workloads[b.Workload] || suspects.nodes[uint64(b.Node)], "%s: workload %d, node %d", name, b.Workload, b.Node)
			assert.NotEmpty(t, b.Frames, name)
		}
		assert.NotZero(t, found, name)
	}
}
