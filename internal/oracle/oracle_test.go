package oracle

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"grebeglade/placement"
)

func machineOf(cores float64, up ...Span) Machine {
	return Machine{Zone: "z", Cell: "c", Cores: cores, Memory: 100, AskCores: cores, AskMemory: 100, Up: up}
}

func want(from, until placement.Millis, cores float64) Want {
	return Want{From: from, Until: until, Service: 1, Cores: cores, UsesCores: cores, Memory: 1, UsesMemory: 1}
}

func TestWhatFitsRunsFromItsFirstToItsLastMoment(t *testing.T) {
	m := []Machine{machineOf(4, Span{0, 1000})}
	w := []Want{want(0, 100, 3), want(50, 200, 1)}
	assert.Equal(t, 3*100+1*150.0, Place(m, w, 1000, nil))
	assert.Equal(t, 3*100+1*150.0, Bound(m, w, 1000))
	assert.Equal(t, 3*60+1*10.0, Place(m, w, 60, nil), "what is after the end counts for nothing")
}

func TestWhatDoesNotFitWaitsForRoom(t *testing.T) {
	m := []Machine{machineOf(4, Span{0, 1000})}
	w := []Want{want(0, 100, 3), want(10, 300, 2)}
	assert.Equal(t, 3*100+2*200.0, Place(m, w, 1000, nil))
	assert.Equal(t, 3*100+1*90+2*200.0, Bound(m, w, 1000), "half of it might have run meanwhile, if it could be split")
}

func TestAMachineThatDiesLosesWhatItHeldUntilAnotherHasRoom(t *testing.T) {
	m := []Machine{machineOf(2, Span{0, 100}, Span{150, 1000})}
	w := []Want{want(0, 200, 2)}
	assert.Equal(t, 2*100+2*50.0, Place(m, w, 1000, nil))
	m[0].Drains = []Span{{150, 180}}
	assert.Equal(t, 2*100+2*20.0, Place(m, w, 1000, nil))
}

// What a machine loses is placed anew at once, once its owner asks again, or never, where it must not run twice.
func TestWhatAMachineLosesWaitsUntilItsOwnerAsks(t *testing.T) {
	m := []Machine{machineOf(2, Span{0, 100}), machineOf(2, Span{0, 1000})}
	w := []Want{want(0, 200, 1)}
	w[0].Again = 30
	m[1].AskCores = 0
	assert.Equal(t, 100.0, Place(m, w, 1000, nil), "there is no room elsewhere")
	m[1].AskCores = 2
	m[1].Cores = 3 // more is left over there, so that the other is taken first
	assert.Equal(t, 200.0, Place(m, w, 1000, nil))
	assert.Equal(t, 170.0, Place(m, w, 1000, &Rules{Asked: true}))
	w[0].Again = -1
	assert.Equal(t, 100.0, Place(m, w, 1000, &Rules{Asked: true}))
}

func TestRulesKeepWorkloadsApartAndColdMachinesStanding(t *testing.T) {
	m := []Machine{machineOf(10, Span{0, 10}, Span{20, 1000})}
	w := []Want{want(30, 100, 1), want(30, 100, 1), want(30, 100, 1)}
	bears := &Rules{Window: 1000, Bears: func(up placement.Millis) float64 {
		if up >= 500 {
			return -1
		}
		return 2
	}}
	assert.Equal(t, 2*70.0, Place(m, w, 1000, bears))
	for i := range w {
		w[i].Spread, w[i].SpreadMost = placement.ScopeCell, 1
	}
	assert.Equal(t, 70.0, Place(m, w, 1000, bears))
	assert.Equal(t, 3*70.0, Place(m, w, 1000, nil))
}

// A placing that could have been done is never above the bound, and rules never make more of it possible at one
// instant than the machines hold.
func TestNoPlacingExceedsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		time := rapid.Float64Range(0, 1000)
		var m []Machine
		for range rapid.IntRange(1, 5).Draw(t, "machines") {
			from := placement.Millis(time.Draw(t, "from"))
			m = append(m, machineOf(rapid.Float64Range(1, 10).Draw(t, "cores"), Span{0, from}, Span{from + 50, 2000}))
		}
		var w []Want
		for range rapid.IntRange(0, 30).Draw(t, "wants") {
			from := placement.Millis(time.Draw(t, "from"))
			w = append(w, want(from, from+placement.Millis(time.Draw(t, "for")), rapid.Float64Range(0.1, 8).Draw(t, "cores")))
		}
		bound := Bound(m, w, 1000)
		if placed := Place(m, w, 1000, nil); placed > bound*(1+1e-9)+1e-6 {
			t.Fatalf("placed %v, bound %v", placed, bound)
		}
	})
}
