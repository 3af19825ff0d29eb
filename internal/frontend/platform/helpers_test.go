package platform

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/settings"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// fakeNetwork is a transport.Network that only records.
type fakeNetwork struct {
	now     placement.Millis
	waited  placement.Millis // between reading a message and handling it
	lastID  transport.ConnID
	dialed  map[transport.ConnID]string
	sent    map[transport.ConnID][]any
	closed  map[transport.ConnID]bool
	hungUp  map[transport.ConnID]bool // closed by their peers, which the frontend is yet to be told
	wakeups []placement.Millis
}

func (f *fakeNetwork) DialCodec(addr string, _ transport.Codec, _ placement.Millis) transport.ConnID {
	f.lastID++
	f.dialed[f.lastID] = addr
	return f.lastID
}
func (f *fakeNetwork) Send(c transport.ConnID, m any)   { f.sent[c] = append(f.sent[c], m) }
func (f *fakeNetwork) Close(c transport.ConnID)         { f.closed[c] = true }
func (f *fakeNetwork) ReceivedAt() placement.Millis     { return f.now - f.waited }
func (f *fakeNetwork) IsClosed(c transport.ConnID) bool { return f.closed[c] || f.hungUp[c] }
func (f *fakeNetwork) WakeAt(at placement.Millis)       { f.wakeups = append(f.wakeups[:0], at) }
func (f *fakeNetwork) Now() placement.Millis            { return f.now }

// lastTo returns the last connection dialed to an address, or 0.
func (f *fakeNetwork) lastTo(addr string) (c transport.ConnID) {
	for id, dialed := range f.dialed {
		if dialed == addr {
			c = max(c, id)
		}
	}
	return c
}

// dialedAndOpen counts the connections that were dialed and not closed, but for one.
func (f *fakeNetwork) dialedAndOpen(except transport.ConnID) (n int) {
	for id := range f.dialed {
		if id != except && !f.closed[id] && !f.hungUp[id] {
			n++
		}
	}
	return n
}

// rig is a frontend with one node, the discovery service and one client, all connected.
type rig struct {
	*Frontend
	fake   *fakeNetwork
	client transport.ConnID
	node   transport.ConnID
	at     placement.Millis
}

const nodeAddr, discoveryAddr = "127.0.0.9:5080", "127.0.0.8:7070"

// unused is a connWaiter that only has a node dialed.
type unused struct{}

func (unused) connected(*nodeConn) {}
func (unused) unreachable()        {}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{
		Frontend: New(rigConfig(), nil),
		client:   1000,
		fake: &fakeNetwork{
			dialed: map[transport.ConnID]string{},
			sent:   map[transport.ConnID][]any{},
			closed: map[transport.ConnID]bool{},
			hungUp: map[transport.ConnID]bool{},
		},
	}
	r.endpoints.unixTime = func() placement.Millis { return 1e9 + r.at }
	r.Start(0, r.fake)
	r.nodeConns.await(r.nodes.byName["s-01"], unused{})
	r.node = r.fake.lastTo(nodeAddr)
	require.NotZero(t, r.node)
	r.Opened(1, r.node)
	r.Opened(1, r.fake.lastTo(discoveryAddr))
	r.Opened(1, r.client)
	r.at = 1
	return r
}

func rigConfig() *Config {
	return &Config{
		Name:             "one",
		Listen:           "127.0.0.1:5080",
		DiscoveryAddress: discoveryAddr,
		Seed:             5,
		Revision:         1,
		Limits: Limits{
			Cores:    1,
			MemoryMB: 64,
			Sockets:  64,
		},
		Settings: &settings.Received{
			Settings: placement.Settings{
				Allocators:           1,
				MaxBinds:             4,
				HealthChecksAllowed:  true,
				ConfirmsRunning:      true,
				ReportsUsage:         true,
				EntriesCarryCapacity: true,
				NodeKinds:            []placement.NodeKind{{Cores: 20, Memory: 40}},
				Groups: []placement.Group{
					{
						LatencyObjective:       350,
						PriorityWeight:         1,
						FullServiceUtilization: 0.8,
						DegradationRange:       0.1,
						RequiredKind:           -1,
					},
					{
						LatencyObjective:       2000,
						PriorityWeight:         5,
						Idempotency:            placement.AtMostOnce,
						FullServiceUtilization: 0.8,
						DegradationRange:       0.1,
						RequiredKind:           -1,
					},
				},
			},
			GroupNames:   []string{"tiles", "trace"},
			KindNames:    []string{"small"},
			ZoneNames:    []string{"z"},
			ReportFields: []string{"x0"},
		},
		KnownEvents: []json.RawMessage{nodeEvent(1, "Ready", 0)},
	}
}

// nodeEvent is an event with the rig's node in a state; startedAt is Unix time in ms, or 0.
func nodeEvent(revision int, status string, startedAt float64) []byte {
	return fmt.Appendf(nil, `{"pos":%d,"hosts":{"index":%d,"snapshot":%t,"endpoints":[{"name":"s-01","address":%q,"zone":"z",`+
		`"type":"small","group":0,"status":%q,"weight":1,"since_ms":%f,"room":[20,40]}]}}`,
		revision, revision, revision == 1, nodeAddr, status, startedAt)
}

// batchOf is a batch of one event.
func batchOf(revision uint64, data []byte) *codec.EventBatch {
	return &codec.EventBatch{Events: []codec.Event{{Revision: revision, Data: data}}}
}

// publish has the discovery service send an event.
func (r *rig) publish(revision uint64, data []byte) {
	r.Received(r.at, r.fake.lastTo(discoveryAddr), batchOf(revision, data))
}

// publishNode has the discovery service send an event with the rig's node in a state.
func (r *rig) publishNode(revision int, status string) {
	r.publish(uint64(revision), nodeEvent(revision, status, 0))
}

// Reasons for which connections end.
var (
	errReset   = fmt.Errorf("%w: reset", transport.ErrConnectionLost)
	errClosed  = transport.ErrClosedByPeer
	errRefused = transport.ErrConnectionRefused
)

// close has a connection end, or a dialed one fail.
func (r *rig) close(c transport.ConnID, reason error) { r.Closed(r.at, c, reason) }

// pass lets time pass, with a wake-up every 10 ms.
func (r *rig) pass(ms placement.Millis) {
	for end := r.at + ms; r.at < end; {
		r.at = min(end, r.at+10)
		r.fake.now = r.at
		r.Wake(r.at)
	}
}

// receive has a message come on a connection.
func (r *rig) receive(c transport.ConnID, m codec.Message) { r.Received(r.at, c, m) }

// start has the workload of a tag requested by the rig's client, and confirmed by the rig's node.
func (r *rig) start(tag codec.Tag) {
	r.receive(r.client, request(tag))
	r.receive(r.node, confirmation(tag))
}

// request is a request for a small workload of the class tiles, changed by the functions.
func request(tag codec.Tag, changes ...func(*codec.PlaceRequest)) *codec.PlaceRequest {
	r := &codec.PlaceRequest{
		Header: codec.Header{Tag: tag},
		Task: codec.Task{
			Class:       "tiles",
			Key:         "00000000000000aa",
			Description: "of " + tag.String(),
			Cores:       1,
			Memory:      2,
			Service:     7,
		},
		Timeout: 2000,
	}
	for _, change := range changes {
		change(r)
	}
	return r
}

// atMostOnce requests the class whose workloads must not start twice.
func atMostOnce(r *codec.PlaceRequest) { r.Class = "trace" }

// runningOn states that a node runs the workload of the tag.
func runningOn(tag codec.Tag, node string) *codec.AdoptRequest {
	r := request(tag)
	return &codec.AdoptRequest{
		Header: r.Header,
		Task:   r.Task,
		Node:   node,
	}
}

func confirmation(tag codec.Tag) *codec.Confirmation {
	return codec.NewConfirmation(tag, "at "+tag.String())
}

// sentAbout returns what was sent on a connection about a workload, in short.
func (r *rig) sentAbout(c transport.ConnID, tag codec.Tag) (all []string) {
	for _, m := range r.fake.sent[c] {
		m, ok := m.(codec.Message)
		if !ok || m.Envelope().Tag != tag {
			continue
		}
		switch m := m.(type) {
		case *codec.HealthCheck:
		case *codec.Termination:
			all = append(all, fmt.Sprint("termination ", m.Cause))
		case *codec.Offer:
			all = append(all, "offer")
		case *codec.Confirmation:
			all = append(all, "confirmation")
		default:
			all = append(all, fmt.Sprintf("%T", m))
		}
	}
	return all
}

// openNodeConns brings up all connections that are being dialed to nodes, and returns how many there are to nodes.
func (r *rig) openNodeConns() int {
	for _, c := range frontend.SortedValues(r.nodeConns.conns) {
		if c.state == connDialing {
			r.Opened(r.at, c.id)
		}
	}
	return len(r.nodeConns.conns)
}

// receiveLine has a line come on a client's connection, as its bytes.
func (r *rig) receiveLine(t *testing.T, c transport.ConnID, line string) {
	t.Helper()
	m, _, err := codec.ClientCodec{}.Decode([]byte(line + "\n"))
	require.NoError(t, err)
	r.Received(r.at, c, m)
}

// publishNodes has the discovery service name n more nodes, all with capacity.
func (r *rig) publishNodes(n int) {
	var endpoints []string
	for i := range n {
		endpoints = append(endpoints, fmt.Sprintf(
			`{"name":%q,"address":%q,"zone":"z","type":"small","group":0,"status":"Ready","room":[20,40]}`,
			extraNode(i), fmt.Sprintf("127.0.1.%d:5080", i)))
	}
	r.publish(2, fmt.Appendf(nil, `{"hosts":{"endpoints":[%s]}}`, strings.Join(endpoints, ",")))
}

// extraNode is the name of a node of publishNodes.
func extraNode(i int) string { return fmt.Sprintf("m-%02d", i) }
