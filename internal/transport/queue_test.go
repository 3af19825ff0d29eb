package transport

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
)

// A full queue blocks its reader, and with it the peers, until the worker takes the queued events.
func TestEventQueue_FullQueueBlocksItsReader(t *testing.T) {
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

func TestEventQueue_CloseReleasesABlockedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newEventQueue(0)
		q.pushMessages(make([]event, 1))
		go q.pushMessages(make([]event, 1))
		synctest.Wait()
		assert.Len(t, q.queued, 1)
		q.close()
		synctest.Wait()
		assert.Len(t, q.takeQueued(nil), 2, "a closed queue still returns its events")
	})
}
