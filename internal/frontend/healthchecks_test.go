package frontend

import (
	"testing"

	"grebeglade/internal/allocator"
	"grebeglade/placement"

	"github.com/stretchr/testify/assert"
)

// result is what the engine heard of a check.
type result struct {
	node     placement.NodeID
	answered bool
}

// fakeModule is a placement module that keeps the results of checks.
type fakeModule struct {
	allocator.Module
	results []result
}

func (m *fakeModule) HealthChecked(_ placement.Millis, node placement.NodeID, answered bool, _ *placement.LoadReport) {
	m.results = append(m.results, result{node, answered})
}

func newTestChecks(t *testing.T) (*HealthChecks, *Host, *fakeModule) {
	t.Helper()
	module := &fakeModule{}
	h, _, _ := newTestHost(t, func(c *Config) { c.Engine.Module = module })
	return NewHealthChecks(h, 250), h, module
}

func TestHealthChecks_ReplyInTimeIsTheOneResult(t *testing.T) {
	checks, h, module := newTestChecks(t)
	check := checks.Begin(5)
	assert.True(t, checks.Pending(check))
	assert.True(t, checks.Complete(150, check, 5, nil))
	assert.False(t, checks.Pending(check))
	assert.False(t, checks.Complete(160, check, 5, nil), "a second reply is none")
	checks.Fail(check)
	h.Wake(400)
	assert.Equal(t, []result{{5, true}}, module.results)
}

func TestHealthChecks_ReplyOfAnotherNodeOrToNoCheckIsIgnored(t *testing.T) {
	checks, _, module := newTestChecks(t)
	check := checks.Begin(5)
	assert.False(t, checks.Complete(150, check, 6, nil))
	assert.False(t, checks.Complete(150, check+1, 5, nil))
	assert.False(t, checks.Complete(150, check+1, 0, nil))
	assert.True(t, checks.Pending(check))
	assert.Empty(t, module.results)
}

func TestHealthChecks_FailAtTheTimeoutOnce(t *testing.T) {
	checks, h, module := newTestChecks(t)
	check := checks.Begin(5)
	h.Wake(349)
	assert.Empty(t, module.results)
	h.Wake(350)
	assert.Equal(t, []result{{5, false}}, module.results)
	assert.False(t, checks.Complete(351, check, 5, nil))
	h.Wake(2000)
	assert.Len(t, module.results, 1)
}

func TestHealthChecks_FailReachesTheEngineAsADeferredCall(t *testing.T) {
	checks, h, module := newTestChecks(t)
	first, second := checks.Begin(5), checks.Begin(6)
	assert.NotEqual(t, first, second)
	assert.Equal(t, 2, checks.Len())
	assert.Equal(t, 2, h.PendingTimers())
	checks.Fail(second)
	checks.FailUnsent(7)
	assert.Empty(t, module.results)
	assert.Equal(t, 2, h.DeferredCalls())
	h.Handle(100, noEvent)
	assert.Zero(t, h.DeferredCalls())
	assert.Equal(t, 1, checks.Len())
	assert.Equal(t, []result{{6, false}, {7, false}}, module.results)
	assert.True(t, checks.Pending(first))
}
