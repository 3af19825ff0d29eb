package simulation

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
)

// Without settle time, faults begin and clients send requests before the first node has registered. The rules must hold
// for each kind of fault.
func TestFaults_BeforeAnyNodeIsRegistered(t *testing.T) {
	for kind, spec := range scenario.FaultSpecs {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				script := openScript(t, "quiet")
				script.SettleTime = 0
				script.Length = 6000
				script.Faults = []scenario.Fault{{
					Kind:      kind,
					Duration:  2000,
					Interval:  max(spec.DefaultInterval, 500),
					Share:     0.5,
					Size:      spec.DefaultSize,
					Group:     "serve",
					Zone:      "hall-b",
					DrainTime: 500,
				}}
				assertRulesHold(t, playVirtual(t, script, Options{Seed: seed + 1}))
			}
		})
	}
}

func TestFaults_EveryKindHasAPlanner(t *testing.T) {
	for _, kind := range scenario.FaultKinds() {
		assert.Contains(t, faultPlanners, kind)
	}
	assert.Len(t, faultPlanners, len(scenario.FaultSpecs))
}

func TestFaults_ClientDisconnect_PendingRequestsDisconnected(t *testing.T) {
	script := openScript(t, "quiet")
	script.Client.Rate = 60
	for at := placement.Millis(500); at < 3500; at += 1000 {
		script.Faults = append(script.Faults, scenario.Fault{
			Kind:  scenario.ClientDisconnect,
			At:    at,
			Share: 1,
		})
	}
	assert.NotZero(t, playVirtual(t, script, Options{Seed: 1}).Disconnected)
}

func TestFaults_HotAllocator_ChangesRun(t *testing.T) {
	script := openScript(t, "quiet")
	script.Length = 6000
	script.Faults = []scenario.Fault{{
		Kind:     scenario.HotAllocator,
		Duration: 6000,
		Size:     1,
	}}
	with := playVirtual(t, script, Options{Seed: 1})
	script.Faults = nil
	without := playVirtual(t, script, Options{Seed: 1})
	assert.NotEqual(t, with.Digest, without.Digest)
}
