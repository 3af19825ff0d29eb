package platform

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/settings"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// wires is a transport.Wire that only remembers.
type wires struct {
	now    placement.Millis
	late   placement.Millis // by which messages are handled later than they were read
	last   transport.ConnID
	dialed map[transport.ConnID]string
	sent   map[transport.ConnID][]any
	closed map[transport.ConnID]bool
	ended  map[transport.ConnID]bool // their peers have closed them, and the party is yet to be told
}

func (w *wires) DialCodec(addr string, _ transport.Codec, _ placement.Millis) transport.ConnID {
	w.last++
	w.dialed[w.last] = addr
	return w.last
}
func (w *wires) Send(c transport.ConnID, m any)   { w.sent[c] = append(w.sent[c], m) }
func (w *wires) Close(c transport.ConnID)         { w.closed[c] = true }
func (w *wires) ReceivedAt() placement.Millis     { return w.now - w.late }
func (w *wires) IsClosed(c transport.ConnID) bool { return w.closed[c] || w.ended[c] }
func (w *wires) WakeAt(placement.Millis)          {}
func (w *wires) Now() placement.Millis            { return w.now }
func (w *wires) to(addr string) (c transport.ConnID) { // the last connection dialled there
	for id, a := range w.dialed {
		if a == addr {
			c = max(c, id)
		}
	}
	return c
}

// rig is a platform with one node, a journal service and one owner, all connected.
type rig struct {
	*Frontend
	w     *wires
	owner transport.ConnID
	node  transport.ConnID
	at    placement.Millis
}

const nodeAddr, journalAddr = "127.0.0.9:5080", "127.0.0.8:7070"

func newRig(t *testing.T) *rig {
	t.Helper()
	c := &Config{
		Name: "one", Listen: "127.0.0.1:5080", DiscoveryAddress: journalAddr, Seed: 5, Pos: 1,
		Limits: Limits{Cores: 1, MemoryMB: 64, Sockets: 64},
		Told: &settings.Received{
			Settings: placement.Settings{
				Allocators: 1, MaxBinds: 4, HealthChecksAllowed: true, ConfirmsRunning: true, ReportsUsage: true, EntriesCarryCapacity: true,
				NodeKinds: []placement.NodeKind{{Cores: 20, Memory: 40}},
				Groups: []placement.Group{
					{LatencyObjective: 350, PriorityWeight: 1, FullServiceUtilization: 0.8, DegradationRange: 0.1, RequiredKind: -1},
					{LatencyObjective: 2000, PriorityWeight: 5, Idempotency: placement.AtMostOnce, FullServiceUtilization: 0.8, DegradationRange: 0.1, RequiredKind: -1},
				},
			},
			GroupNames: []string{"tiles", "trace"}, KindNames: []string{"small"}, ZoneNames: []string{"z"}, ReportFields: []string{"x0"},
		},
		Known: []json.RawMessage{listOf(1, "Ready", 0)},
	}
	w := &wires{dialed: map[transport.ConnID]string{}, sent: map[transport.ConnID][]any{}, closed: map[transport.ConnID]bool{},
		ended: map[transport.ConnID]bool{}}
	r := &rig{Frontend: New(c, nil), w: w, owner: 1000}
	r.wall = func() placement.Millis { return 1e9 + r.at }
	r.Start(0, w)
	r.through(r.byName["s-01"], func(*conn) {}) // a node is dialled on need
	r.node = w.to(nodeAddr)
	require.NotZero(t, r.node)
	r.Opened(1, r.node)
	r.Opened(1, w.to(journalAddr))
	r.Opened(1, r.owner)
	r.at = 1
	return r
}

// listOf is an event with the rig's node in a state; born is Unix time or 0.
func listOf(pos int, state string, born float64) []byte {
	return fmt.Appendf(nil, `{"pos":%d,"hosts":{"index":%d,"snapshot":%t,"endpoints":[{"name":"s-01","address":%q,"zone":"z",`+
		`"type":"small","group":0,"status":%q,"weight":1,"since_ms":%f,"room":[20,40]}]}}`, pos, pos, pos == 1, nodeAddr, state, born)
}

func (r *rig) pass(ms placement.Millis) {
	for end := r.at + ms; r.at < end; {
		r.at = min(end, r.at+10)
		r.w.now = r.at
		r.Wake(r.at)
	}
}

func ask(tag codec.Tag, more ...string) *codec.Message {
	text := "of " + tag.String()
	m := &codec.Message{Verb: codec.Start, Tag: tag, Description: &text, Fields: map[codec.Field]string{
		codec.Group: "tiles", codec.Left: "2000", codec.Key: "00000000000000aa",
		codec.Extras: "cores:1;memory:2;service:0000000000000007",
	}}
	for i := 0; i+1 < len(more); i += 2 {
		m.Fields[map[string]codec.Field{"class": codec.Group, "left": codec.Left, "extras": codec.Extras}[more[i]]] = more[i+1]
	}
	return m
}

func (r *rig) says(c transport.ConnID, m *codec.Message) { r.Received(r.at, c, m) }

func started(tag codec.Tag) *codec.Message {
	text := "at " + tag.String()
	return &codec.Message{Verb: codec.Started, Tag: tag, Description: &text}
}

func finish(tag codec.Tag, c codec.Cause) *codec.Message {
	return codec.Message{Verb: codec.Finish, Tag: tag}.With(c)
}

// heard is what was sent on a connection about a workload, in short.
func (r *rig) heard(c transport.ConnID, tag codec.Tag) (all []string) {
	for _, m := range r.w.sent[c] {
		if m, ok := m.(*codec.Message); ok && m.Tag == tag && m.Verb != codec.Echo {
			s := m.Verb.String()
			if m.HasCause {
				s += fmt.Sprint(" ", m.Cause)
			}
			all = append(all, s)
		}
	}
	return all
}
