package allocator

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

// queueingHost is a fakeHost with a queue of received messages.
type queueingHost struct {
	*fakeHost
	queuedUntil placement.Millis // time until which messages of the node are queued
	now         placement.Millis
}

func (h *queueingHost) ReplyQueued(placement.WorkloadID, int) bool { return h.now < h.queuedUntil }

// tickUntil calls Tick each ms, until the engine has stopped a bind or the time has come. It returns the time.
func (h *queueingHost) tickUntil(engine *Engine, at placement.Millis) placement.Millis {
	for ; h.now < at && len(actionsOf[stopped](h.actions)) == 0; h.now++ {
		engine.Tick(h.now)
	}
	return h.now - 1
}

// Guards against a bind that times out although its reply was received and is queued: it waits until the queue is
// handled, for a limited time, and never beyond the final answer.
func TestEngine_BindTimesOutWhileMessagesAreQueued(t *testing.T) {
	const timeout, maxWait, latestAnswer = 3000, 1000, pendingTimeout - answerMargin
	for name, test := range map[string]struct {
		queuedUntil placement.Millis
		group       placement.GroupID
		want        placement.Millis // time at which the bind is stopped
	}{
		"nothing queued":        {want: timeout - answerMargin/2},
		"queued for a while":    {queuedUntil: 3500, want: 3500},
		"queued for too long":   {queuedUntil: 9999, want: timeout - answerMargin/2 + maxWait},
		"queued at last answer": {queuedUntil: 9999, group: atMostOnce, want: latestAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			engine, fake := newTestEngine(2)
			host := &queueingHost{fakeHost: fake, queuedUntil: test.queuedUntil}
			engine.host = host
			engine.Schedule(0, newWorkload(7, test.group))
			fake.take()
			stoppedAt := host.tickUntil(engine, 8000)
			assert.InDelta(t, float64(test.want), float64(stoppedAt), float64(QueuedReplyInterval))
		})
	}
}

func TestEngine_QueuedReplyHandledAfterTheTimeout_Placed(t *testing.T) {
	engine, fake := newTestEngine(2)
	engine.host = &queueingHost{fakeHost: fake, queuedUntil: 9999}
	engine.Schedule(0, newWorkload(7, idempotent))
	fake.take()
	engine.Tick(3100)
	engine.BindConfirmed(3101, 7, 0, nil)
	engine.Tick(7000)
	assert.Equal(t, []any{answered{workload: 7, verdict: Placed}}, fake.take())
}
