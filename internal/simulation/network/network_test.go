package network

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// recordingNetwork records the frames that are sent.
type recordingNetwork struct{ sent []*pb.Frame }

func (n *recordingNetwork) Dial(string) transport.ConnID             { return 1 }
func (n *recordingNetwork) Send(_ transport.ConnID, frame *pb.Frame) { n.sent = append(n.sent, frame) }
func (n *recordingNetwork) Close(transport.ConnID)                   {}
func (n *recordingNetwork) WakeAt(placement.Millis)                  {}
func (n *recordingNetwork) Now() placement.Millis                    { return 0 }

// recordingHandler records the health checks that it receives, and the times of health checks and wake-ups.
type recordingHandler struct {
	transport.FrameHandler
	received []uint64           // IDs of health checks
	at       []placement.Millis // times of health checks and wake-ups
}

func (h *recordingHandler) Start(placement.Millis, transport.FrameNetwork)   {}
func (h *recordingHandler) Opened(placement.Millis, transport.ConnID)        {}
func (h *recordingHandler) Closed(placement.Millis, transport.ConnID, error) {}
func (h *recordingHandler) Wake(now placement.Millis)                        { h.at = append(h.at, now) }

func (h *recordingHandler) Received(now placement.Millis, _ transport.ConnID, frame *pb.Frame) {
	h.received = append(h.received, frame.GetHealthCheck().GetId())
	h.at = append(h.at, now)
}

// testProcess is a recordingHandler behind an interceptor, with connection 1 open. Delays run in virtual time.
type testProcess struct {
	*Interceptor
	handler *recordingHandler
	network *recordingNetwork
	virtual *Virtual
}

// newTestProcess returns a started process with the given faults, nil for none.
func newTestProcess(faults *FrameFaults) testProcess {
	process := testProcess{
		handler: &recordingHandler{},
		network: &recordingNetwork{},
		virtual: NewVirtual(1),
	}
	newHandler := func(uint64) transport.FrameHandler { return process.handler }
	process.Interceptor = NewInterceptor("x", pb.Role_NODE, 1, observer.Discard{}, newHandler)
	process.Start(0, process.network)
	process.Opened(0, 1)
	if faults != nil {
		faults.Random = rand.New(rand.NewPCG(1, 1))
	}
	process.SetFrameFaults(faults, process.schedule)
	return process
}

// schedule calls do at a virtual time.
func (p testProcess) schedule(at placement.Millis, do func(now placement.Millis)) {
	p.virtual.RunAt(nil, at, do)
}

// receiveTen receives ten frames with the IDs 0 to 9, 1 ms apart, and runs until all of them are delivered.
func (p testProcess) receiveTen() {
	for id := range uint64(10) {
		p.schedule(placement.Millis(id), func(now placement.Millis) { p.Received(now, 1, healthCheck(id)) })
	}
	p.virtual.Run(1000, func() bool { return false })
}

func healthCheck(id uint64) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_HealthCheck{HealthCheck: &pb.HealthCheck{Id: id}}}
}

func TestInterceptor_FrameFaults(t *testing.T) {
	inOrder := []uint64{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}
	t.Run("duplicated frames are delivered twice", func(t *testing.T) {
		process := newTestProcess(&FrameFaults{Share: 1, Duplicate: true})
		process.receiveTen()
		assert.Len(t, process.handler.received, 20)
	})
	t.Run("delayed frames keep the order of their connection", func(t *testing.T) {
		process := newTestProcess(&FrameFaults{Share: 0.5, Delay: 50})
		process.receiveTen()
		assert.Equal(t, inOrder, process.handler.received)
		assert.Greater(t, process.handler.at[9], placement.Millis(9))
	})
	t.Run("reordered frames are delivered in another order", func(t *testing.T) {
		process := newTestProcess(&FrameFaults{
			Share:   0.5,
			Delay:   50,
			Reorder: true,
		})
		process.receiveTen()
		assert.ElementsMatch(t, inOrder, process.handler.received)
		assert.NotEqual(t, inOrder, process.handler.received)
	})
	t.Run("frames delayed when the faults end are delivered first", func(t *testing.T) {
		process := newTestProcess(&FrameFaults{Share: 1, Delay: 50})
		process.schedule(4.5, func(placement.Millis) { process.SetFrameFaults(nil, process.schedule) })
		process.receiveTen()
		assert.Equal(t, inOrder, process.handler.received)
	})
}

func TestInterceptor_CutDirection(t *testing.T) {
	process := newTestProcess(nil)
	process.CutDirection(false)
	process.Received(1, 1, healthCheck(1))
	assert.Empty(t, process.handler.received)
	process.Send(1, healthCheck(2))
	assert.Len(t, process.network.sent, 1)
	process.Heal(2)
	assert.Equal(t, []uint64{1}, process.handler.received, "a queued frame is delivered when the cut ends")

	process.CutDirection(true)
	process.Received(3, 1, healthCheck(3))
	process.Send(1, healthCheck(4))
	assert.Equal(t, []uint64{1, 3}, process.handler.received)
	assert.Len(t, process.network.sent, 1)
	process.BreakConnections(4)
	process.Heal(5)
	assert.Len(t, process.network.sent, 1, "a frame that is queued when the connection breaks is lost")
}

// Guards against wake-ups before their local time, caused by rounding in the conversion to host time: the process would
// set the same wake-up again at the same instant, and virtual time would stop.
func TestClock_ToHost_NeverEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := clock{
			rate: rapid.Float64Range(0.5, 2).Draw(t, "rate"),
			host: placement.Millis(rapid.Float64Range(0, 1e7).Draw(t, "host")),
		}
		k.local = k.host + placement.Millis(rapid.Float64Range(0, 1e7).Draw(t, "ahead"))
		at := k.local + placement.Millis(rapid.Float64Range(0, 1e5).Draw(t, "due"))
		if k.toLocal(k.toHost(at)) < at {
			t.Fatalf("the wake-up for local time %v is early", at)
		}
	})
}

func TestInterceptor_SetClock(t *testing.T) {
	p := newTestProcess(nil)
	p.SetClock(100, 2, 50)
	p.Wake(110)
	p.SetClock(110, 1, -1000)
	p.Wake(120)
	assert.Equal(t, []placement.Millis{150, 170, 170, 180}, p.handler.at)
}

func TestVirtual_DialUnknownAddress_Closed(t *testing.T) {
	for _, addr := range []string{"virtual:7", "virtual:-1", "127.0.0.1:80"} {
		t.Run(addr, func(t *testing.T) {
			v := NewVirtual(1)
			dialer := &dialingHandler{addr: addr}
			_, err := v.AddHandler(dialer, "zone")
			require.NoError(t, err)
			v.Run(1, func() bool { return false })
			require.ErrorContains(t, dialer.closed, addr)
		})
	}
}

// dialingHandler dials an address when it starts, and records the reason for which the connection closed.
type dialingHandler struct {
	recordingHandler
	addr   string
	closed error
}

func (h *dialingHandler) Start(_ placement.Millis, net transport.FrameNetwork) { net.Dial(h.addr) }

func (h *dialingHandler) Closed(_ placement.Millis, _ transport.ConnID, reason error) {
	h.closed = reason
}
