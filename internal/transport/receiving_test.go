package transport

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// queueObserver is an echoHandler that records in each call of Received whether further messages are queued. The first
// call reports that it is busy, and waits until resume is closed.
type queueObserver struct {
	*echoHandler
	busy   chan struct{}
	resume chan struct{}
	queued chan bool
}

// newQueueObserver returns an observer of at most the given number of messages.
func newQueueObserver(messages int) queueObserver {
	return queueObserver{
		echoHandler: &echoHandler{},
		busy:        make(chan struct{}, 1),
		resume:      make(chan struct{}),
		queued:      make(chan bool, messages),
	}
}

func (q queueObserver) Received(now placement.Millis, c ConnID, f *pb.Frame) {
	select {
	case q.busy <- struct{}{}:
	default:
	}
	<-q.resume
	q.queued <- Queued(q.network, c)
	q.echoHandler.Received(now, c, f)
}

// Guards the sign by which deadlines of replies recognise that this process has delayed them.
func TestLoop_Queued_WhileReceivedMessagesWait(t *testing.T) {
	observer := newQueueObserver(3)
	loop, addr := start(t, observer, DefaultLimits)
	peer := dial(t, addr)
	write(t, peer, sampleRequest())
	<-observer.busy
	write(t, peer, sampleRequest())
	write(t, peer, sampleRequest())
	waitForQueued(t, loop, observer, 2)
	close(observer.resume)
	assert.True(t, <-observer.queued)
	assert.True(t, <-observer.queued)
	assert.False(t, <-observer.queued)
}

// Guards the same sign for bytes that the event loop has not read, since it is blocked by a full event queue.
func TestLoop_Queued_WhileItsEventLoopIsBlocked(t *testing.T) {
	limits := DefaultLimits
	limits.MaxQueuedEvents = 2
	observer := newQueueObserver(10)
	loop, addr := start(t, observer, limits)
	flooding, other := dial(t, addr), dial(t, addr)
	write(t, other, sampleRequest())
	<-observer.busy
	for range 3 {
		write(t, flooding, sampleRequest())
		time.Sleep(5 * time.Millisecond) // time to read each by itself
	}
	waitForQueued(t, loop, observer, limits.MaxQueuedEvents+1)
	write(t, flooding, sampleRequest()) // blocks the event loop
	time.Sleep(5 * time.Millisecond)
	write(t, other, sampleRequest())
	close(observer.resume)
	assert.True(t, <-observer.queued, "its second request is not read yet")
	observer.waitUntil(t, func() bool { return observer.requests == 6 })
	require.Eventually(t, func() (queued bool) {
		loop.Call(observer, func(placement.Millis) { queued = Queued(observer.network, 1) })
		return !queued
	}, eventTimeout, time.Millisecond)
}
