package simulation

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
)

// A fault that is there before the first node is known, and owners that ask at once.
func TestFaults_BeforeAnyNodeIsKnown(t *testing.T) {
	for kind, known := range scenario.FaultSpecs {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				s := open(t, "quiet")
				s.SettleTime = 0
				s.Length = 6000
				s.Faults = []scenario.Fault{{
					Kind:      kind,
					Duration:  2000,
					Interval:  max(known.DefaultInterval, 500),
					Share:     0.5,
					Size:      known.DefaultSize,
					Group:     "serve",
					Zone:      "hall-b",
					DrainTime: 500,
				}}
				kept(t, play(t, s, Options{Seed: seed + 1}))
			}
		})
	}
}

// What owners, lists and single allocators suffer shows at them, or at the nodes.
func TestFaults_OfClientsAndAllocatorsChangeResult(t *testing.T) {
	cut := open(t, "quiet")
	cut.Client.Rate = 60
	for at := placement.Millis(500); at < 3500; at += 1000 {
		cut.Faults = append(cut.Faults, scenario.Fault{
			Kind:  scenario.ClientDisconnect,
			At:    at,
			Share: 1,
		})
	}
	assert.NotZero(t, play(t, cut, Options{Seed: 1}).Disconnected, "what was pending is cut off")

	hot := open(t, "quiet")
	hot.Length = 6000
	hot.Faults = []scenario.Fault{{
		Kind:     scenario.HotAllocator,
		Duration: 6000,
		Size:     1,
	}}
	assert.NotEqual(t, play(t, hot, Options{Seed: 1}).Digest, func() string { hot.Faults = nil; return play(t, hot, Options{Seed: 1}).Digest }())
}
