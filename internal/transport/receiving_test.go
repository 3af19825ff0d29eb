package transport

import (
	"testing"

	"github.com/stretchr/testify/assert"

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
	observer := queueObserver{
		echoHandler: &echoHandler{},
		busy:        make(chan struct{}, 1),
		resume:      make(chan struct{}),
		queued:      make(chan bool, 3),
	}
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
