package transport

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// urgentFrameCodec is a frameCodec that implements Urgent.
type urgentFrameCodec struct{ frameCodec }

func (urgentFrameCodec) Urgent() {}

// orderHandler dials urgentAddr with an urgent codec, and records the keys of requests in the order in which they are
// handled.
type orderHandler struct {
	*blockingHandler
	urgentAddr string
	keys       []uint64
}

func (o *orderHandler) Start(now placement.Millis, n FrameNetwork) {
	o.blockingHandler.Start(now, n)
	n.(frameNetwork).DialCodec(o.urgentAddr, urgentFrameCodec{frameCodec{1000}}, 20000)
}

func (o *orderHandler) Received(_ placement.Millis, _ ConnID, f *pb.Frame) {
	o.mu.Lock()
	o.keys = append(o.keys, f.GetPlaceRequest().Key)
	o.mu.Unlock()
	o.block()
}

// requestWithKey returns a sampleRequest with the given key.
func requestWithKey(key uint64) *pb.Frame {
	f := sampleRequest()
	f.GetPlaceRequest().Key = key
	return f
}

// Guards against discovery events that arrive in time and are handled a second late, after other queued events.
func TestLoop_UrgentMessagesAreHandledBeforeAFullQueue(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, ln.Close()) })
	handler := &orderHandler{urgentAddr: ln.Addr().String(), blockingHandler: newBlockingHandler()}
	limits := smallLimits
	limits.MaxQueuedEvents = 2
	loop, addr := start(t, handler, limits)
	urgent := acceptOne(t, ln)
	handler.waitUntil(t, func() bool { return handler.opened == 1 })
	client := dial(t, addr)
	write(t, client, requestWithKey(1))
	<-handler.busy
	for key := range uint64(5) {
		write(t, client, requestWithKey(2+key))
	}
	waitForQueued(t, loop, handler, 3)
	write(t, urgent, requestWithKey(100))
	require.Eventually(t, loop.worker(handler).queue.hasUrgent.Load, eventTimeout, time.Millisecond)
	close(handler.resume)
	handler.waitUntil(t, func() bool { return len(handler.keys) == 7 })
	assert.Equal(t, []uint64{1, 100, 2, 3, 4, 5, 6}, handler.keys)
}

// stepHandler answers each request, signals seen, and then blocks until it receives from step.
type stepHandler struct {
	echoHandler
	seen chan struct{} // one value is sent for each request
	step chan struct{} // receiving a value unblocks the handler
}

func (s *stepHandler) Received(now placement.Millis, c ConnID, f *pb.Frame) {
	s.echoHandler.Received(now, c, f)
	s.seen <- struct{}{}
	<-s.step
}

// Answers are flushed during a batch that takes longer than maxFlushDelay. Guards against answers that are delayed
// until all requests read together with theirs are handled.
func TestLoop_AnswerIsWrittenBeforeALongBatchEnds(t *testing.T) {
	handler := &stepHandler{seen: make(chan struct{}), step: make(chan struct{})}
	loop, addr := start(t, handler, DefaultLimits)
	client := dial(t, addr)
	request := requestWithKey(1) // gets one answer
	write(t, client, request)
	<-handler.seen
	write(t, client, request)
	write(t, client, request)
	waitForQueued(t, loop, handler, 2)
	handler.step <- struct{}{}
	_, err := read(client)
	require.NoError(t, err)
	<-handler.seen
	time.Sleep(2 * duration(maxFlushDelay))
	handler.step <- struct{}{}
	<-handler.seen // the third request is handled in the batch of the second
	require.NoError(t, client.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = read(client)
	assert.NoError(t, err, "the second answer is not written before the third request is handled")
	handler.step <- struct{}{}
}
