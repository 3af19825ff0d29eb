package frontend

import (
	"testing"

	"grebeglade/internal/allocator"
	"grebeglade/placement"

	"github.com/stretchr/testify/assert"
)

// checkResult is the result of a health check, as passed to the engine.
type checkResult struct {
	node   placement.NodeID
	passed bool
}

// fakeModule is a placement module that records the results of health checks.
type fakeModule struct {
	allocator.Module
	results []checkResult
}

func (m *fakeModule) HealthChecked(_ placement.Millis, node placement.NodeID, passed bool, _ *placement.LoadReport) {
	m.results = append(m.results, checkResult{node, passed})
}

// checkTimeout is the timeout of the tests' health checks, in ms.
const checkTimeout = placement.Millis(250)

func newTestChecks(t *testing.T) (*HealthChecks, *Host, *fakeModule) {
	t.Helper()
	module := &fakeModule{}
	host, _, _ := newTestHost(t, func(c *Config) { c.Engine.Module = module })
	return NewHealthChecks(host, checkTimeout), host, module
}

func TestHealthChecks_ReplyInTime_OnlyResult(t *testing.T) {
	checks, host, module := newTestChecks(t)
	check := checks.Begin(5)
	assert.True(t, checks.Pending(check))
	assert.True(t, checks.Complete(150, check, 5, nil))
	assert.False(t, checks.Pending(check))
	assert.False(t, checks.Complete(160, check, 5, nil), "a second reply is ignored")
	checks.Fail(check)
	host.Wake(400)
	assert.Equal(t, []checkResult{{5, true}}, module.results)
}

func TestHealthChecks_ReplyFromOtherNodeOrWithOtherNumber_Ignored(t *testing.T) {
	checks, _, module := newTestChecks(t)
	check := checks.Begin(5)
	assert.False(t, checks.Complete(150, check, 6, nil))
	assert.False(t, checks.Complete(150, check+1, 5, nil))
	assert.False(t, checks.Complete(150, check+1, 0, nil))
	assert.True(t, checks.Pending(check))
	assert.Empty(t, module.results)
}

func TestHealthChecks_NoReply_FailsOnceAtTimeout(t *testing.T) {
	checks, host, module := newTestChecks(t)
	check := checks.Begin(5)
	host.Wake(attachedAt + checkTimeout - 1)
	assert.Empty(t, module.results)
	host.Wake(attachedAt + checkTimeout)
	assert.Equal(t, []checkResult{{5, false}}, module.results)
	assert.False(t, checks.Complete(351, check, 5, nil))
	host.Wake(2000)
	assert.Len(t, module.results, 1)
}

func TestHealthChecks_NotSent_FailsInDeferredCall(t *testing.T) {
	checks, host, module := newTestChecks(t)
	first := checks.Begin(5)
	second := checks.Begin(6)
	assert.NotEqual(t, first, second)
	assert.Equal(t, 2, checks.Len())
	assert.Equal(t, 2, host.PendingTimers())
	checks.Fail(second)
	checks.FailUnsent(7)
	assert.Empty(t, module.results)
	assert.Equal(t, 2, host.DeferredCalls())
	host.Handle(attachedAt, noEvent)
	assert.Zero(t, host.DeferredCalls())
	assert.Equal(t, 1, checks.Len())
	assert.Equal(t, []checkResult{{6, false}, {7, false}}, module.results)
	assert.True(t, checks.Pending(first))
}

// Guards against a check that fails although its reply was received and is queued. The wait for the queue is limited.
func TestHealthChecks_MessagesQueued_FailsOnceTheyAreHandled(t *testing.T) {
	const timeoutAt = attachedAt + checkTimeout
	for name, test := range map[string]struct {
		queuedUntil placement.Millis
		want        placement.Millis // time of the failure
	}{
		"nothing queued":      {queuedUntil: 0, want: timeoutAt},
		"queued for a while":  {queuedUntil: timeoutAt + 100, want: timeoutAt + 100},
		"queued for too long": {queuedUntil: timeoutAt + 9999, want: timeoutAt + placement.MaxQueuedReplyTime},
	} {
		t.Run(name, func(t *testing.T) {
			checks, host, module := newTestChecks(t)
			checks.SetReplyQueue(func(placement.NodeID) bool { return host.Now() < test.queuedUntil })
			checks.Begin(5)
			for now := placement.Millis(attachedAt); now < test.want; now++ {
				host.Wake(now)
			}
			assert.Empty(t, module.results)
			host.Wake(test.want)
			host.Wake(test.want + allocator.QueuedReplyInterval)
			assert.Equal(t, []checkResult{{5, false}}, module.results)
		})
	}
}

func TestHealthChecks_QueuedReplyHandledAfterTheTimeout_Passes(t *testing.T) {
	checks, host, module := newTestChecks(t)
	checks.SetReplyQueue(func(placement.NodeID) bool { return true })
	check := checks.Begin(5)
	host.Wake(attachedAt + checkTimeout)
	assert.True(t, checks.Complete(attachedAt+checkTimeout+1, check, 5, nil))
	host.Wake(attachedAt + checkTimeout + 2*placement.MaxQueuedReplyTime)
	assert.Equal(t, []checkResult{{5, true}}, module.results)
}
