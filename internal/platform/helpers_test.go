package platform

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"grebeglade/choice"
	"grebeglade/internal/link"
	"grebeglade/internal/platform/wire"
	"grebeglade/internal/settings"
)

// wires is a link.Wire that only remembers.
type wires struct {
	now    choice.Millis
	late   choice.Millis // by which messages are handled later than they were read
	last   link.ConnID
	dialed map[link.ConnID]string
	sent   map[link.ConnID][]any
	closed map[link.ConnID]bool
	ended  map[link.ConnID]bool // their peers have closed them, and the party is yet to be told
}

func (w *wires) DialAs(addr string, _ link.Form, _ choice.Millis) link.ConnID {
	w.last++
	w.dialed[w.last] = addr
	return w.last
}
func (w *wires) Send(c link.ConnID, m any) { w.sent[c] = append(w.sent[c], m) }
func (w *wires) Close(c link.ConnID)       { w.closed[c] = true }
func (w *wires) Came() choice.Millis       { return w.now - w.late }
func (w *wires) Ended(c link.ConnID) bool  { return w.closed[c] || w.ended[c] }
func (w *wires) WakeAt(choice.Millis)      {}
func (w *wires) Now() choice.Millis        { return w.now }
func (w *wires) to(addr string) (c link.ConnID) { // the last connection dialled there
	for id, a := range w.dialed {
		if a == addr {
			c = max(c, id)
		}
	}
	return c
}

// rig is a platform with one node, a journal service and one owner, all connected.
type rig struct {
	*Platform
	w     *wires
	owner link.ConnID
	node  link.ConnID
	at    choice.Millis
}

const nodeAddr, journalAddr = "127.0.0.9:5080", "127.0.0.8:7070"

func newRig(t *testing.T) *rig {
	t.Helper()
	c := &Config{
		Name: "one", Listen: "127.0.0.1:5080", Journal: journalAddr, Seed: 5, Pos: 1,
		Limits: Limits{Cores: 1, MemoryMB: 64, Sockets: 64},
		Told: &settings.Told{
			Settings: choice.Settings{
				Allocators: 1, MaxBinds: 4, MayProbe: true, ConfirmsRunning: true, ReportsUse: true, RoomInList: true,
				Kinds: []choice.Kind{{Cores: 20, Memory: 40}},
				Groups: []choice.Group{
					{Target: 350, Utility: 1, Calm: 0.8, Fade: 0.1, Kind: -1},
					{Target: 2000, Utility: 5, Effect: choice.RunOnce, Calm: 0.8, Fade: 0.1, Kind: -1},
				},
			},
			Groups: []string{"tiles", "trace"}, Kinds: []string{"small"}, Zones: []string{"z"}, Reports: []string{"x0"},
		},
		Known: []json.RawMessage{listOf(1, "Ready", 0)},
	}
	w := &wires{dialed: map[link.ConnID]string{}, sent: map[link.ConnID][]any{}, closed: map[link.ConnID]bool{},
		ended: map[link.ConnID]bool{}}
	r := &rig{Platform: New(c, nil), w: w, owner: 1000}
	r.wall = func() choice.Millis { return 1e9 + r.at }
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

func (r *rig) pass(ms choice.Millis) {
	for end := r.at + ms; r.at < end; {
		r.at = min(end, r.at+10)
		r.w.now = r.at
		r.Wake(r.at)
	}
}

func ask(tag wire.Tag, more ...string) *wire.Message {
	text := "of " + tag.String()
	m := &wire.Message{Verb: wire.Start, Tag: tag, Description: &text, Fields: map[wire.Field]string{
		wire.Group: "tiles", wire.Left: "2000", wire.Key: "00000000000000aa",
		wire.Extras: "cores:1;memory:2;service:0000000000000007",
	}}
	for i := 0; i+1 < len(more); i += 2 {
		m.Fields[map[string]wire.Field{"class": wire.Group, "left": wire.Left, "extras": wire.Extras}[more[i]]] = more[i+1]
	}
	return m
}

func (r *rig) says(c link.ConnID, m *wire.Message) { r.Received(r.at, c, m) }

func started(tag wire.Tag) *wire.Message {
	text := "at " + tag.String()
	return &wire.Message{Verb: wire.Started, Tag: tag, Description: &text}
}

func finish(tag wire.Tag, c wire.Cause) *wire.Message {
	return wire.Message{Verb: wire.Finish, Tag: tag}.With(c)
}

// heard is what was sent on a connection about a workload, in short.
func (r *rig) heard(c link.ConnID, tag wire.Tag) (all []string) {
	for _, m := range r.w.sent[c] {
		if m, ok := m.(*wire.Message); ok && m.Tag == tag && m.Verb != wire.Echo {
			s := m.Verb.String()
			if m.HasCause {
				s += fmt.Sprint(" ", m.Cause)
			}
			all = append(all, s)
		}
	}
	return all
}
