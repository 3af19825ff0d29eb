package transport

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
)

// Guards against an unbounded queue: pushMessages to a full queue, called by the event loop that reads the sockets,
// blocks until the worker takes the queued events.
func TestEventQueue_FullQueueBlocksPushMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := newEventQueue(defaultQueuedEvents)
		queue.pushMessages(make([]event, defaultQueuedEvents+1))
		pushed := false
		go func() {
			queue.pushMessages(make([]event, 1))
			pushed = true
		}()
		synctest.Wait()
		assert.False(t, pushed)
		assert.Len(t, queue.queued, defaultQueuedEvents+1)
		assert.Len(t, queue.takeQueued(nil), defaultQueuedEvents+1)
		synctest.Wait()
		assert.True(t, pushed)
		assert.Len(t, queue.queued, 1)
	})
}

func TestEventQueue_CloseUnblocksPushMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newEventQueue(0)
		q.pushMessages(make([]event, 1))
		go q.pushMessages(make([]event, 1))
		synctest.Wait()
		assert.Len(t, q.queued, 1)
		q.close()
		synctest.Wait()
		assert.Len(t, q.takeQueued(nil), 2, "a closed queue does not return its queued events")
	})
}
