package oracle

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"grebeglade/placement"
)

func newMachine(cores float64, up ...Span) Machine {
	return Machine{Zone: "z", Cell: "c", Cores: cores, Memory: 100, AskCores: cores, AskMemory: 100, Up: up}
}

func newWant(from, until placement.Millis, cores float64) Want {
	return Want{From: from, Until: until, Service: 1, Cores: cores, UsesCores: cores, Memory: 1, UsesMemory: 1}
}

func TestPlace_EnoughCapacity_EverythingRuns(t *testing.T) {
	m := []Machine{newMachine(4, Span{0, 1000})}
	w := []Want{newWant(0, 100, 3), newWant(50, 200, 1)}
	assert.InDelta(t, 3*100+1*150.0, Place(m, w, 1000, nil), 0)
	assert.InDelta(t, 3*100+1*150.0, Bound(m, w, 1000), 0)
	assert.InDelta(t, 3*60+1*10.0, Place(m, w, 60, nil), 0, "what is after the end does not count")
}

func TestPlace_NotEnoughCapacity_Waits(t *testing.T) {
	m := []Machine{newMachine(4, Span{0, 1000})}
	w := []Want{newWant(0, 100, 3), newWant(10, 300, 2)}
	assert.InDelta(t, 3*100+2*200.0, Place(m, w, 1000, nil), 0)
	assert.InDelta(t, 3*100+1*90+2*200.0, Bound(m, w, 1000), 0, "half of it might have run meanwhile, if it could be split")
}

func TestPlace_MachineRestarts_WorkloadRunsAgain(t *testing.T) {
	m := []Machine{newMachine(2, Span{0, 100}, Span{150, 1000})}
	w := []Want{newWant(0, 200, 2)}
	assert.InDelta(t, 2*100+2*50.0, Place(m, w, 1000, nil), 0)
	m[0].Drains = []Span{{150, 180}}
	assert.InDelta(t, 2*100+2*20.0, Place(m, w, 1000, nil), 0)
}

// A workload of a lost machine is placed again at once, after its client's retry, or never if there is none.
func TestPlace_MachineLost_WaitsForRetry(t *testing.T) {
	m := []Machine{newMachine(2, Span{0, 100}), newMachine(2, Span{0, 1000})}
	w := []Want{newWant(0, 200, 1)}
	w[0].Again = 30
	m[1].AskCores = 0
	assert.InDelta(t, 100.0, Place(m, w, 1000, nil), 0, "there is no capacity elsewhere")
	m[1].AskCores = 2
	m[1].Cores = 3 // more remains there, so that the other machine is taken first
	assert.InDelta(t, 200.0, Place(m, w, 1000, nil), 0)
	assert.InDelta(t, 170.0, Place(m, w, 1000, &Rules{Asked: true}), 0)
	w[0].Again = -1
	assert.InDelta(t, 100.0, Place(m, w, 1000, &Rules{Asked: true}), 0)
}

func TestPlace_Rules_LimitWarmUpAndSpread(t *testing.T) {
	m := []Machine{newMachine(10, Span{0, 10}, Span{20, 1000})}
	w := []Want{newWant(30, 100, 1), newWant(30, 100, 1), newWant(30, 100, 1)}
	rules := &Rules{Window: 1000, Bears: func(up placement.Millis) float64 {
		if up >= 500 {
			return -1
		}
		return 2
	}}
	assert.InDelta(t, 2*70.0, Place(m, w, 1000, rules), 0)
	for i := range w {
		w[i].Spread, w[i].SpreadMost = placement.ScopeCell, 1
	}
	assert.InDelta(t, 70.0, Place(m, w, 1000, rules), 0)
	assert.InDelta(t, 3*70.0, Place(m, w, 1000, nil), 0)
}

func TestPlace_RandomScenario_WithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		time := rapid.Float64Range(0, 1000)
		var m []Machine
		for range rapid.IntRange(1, 5).Draw(t, "machines") {
			from := placement.Millis(time.Draw(t, "from"))
			m = append(m, newMachine(rapid.Float64Range(1, 10).Draw(t, "cores"), Span{0, from}, Span{from + 50, 2000}))
		}
		var w []Want
		for range rapid.IntRange(0, 30).Draw(t, "wants") {
			from := placement.Millis(time.Draw(t, "from"))
			w = append(w, newWant(from, from+placement.Millis(time.Draw(t, "for")), rapid.Float64Range(0.1, 8).Draw(t, "cores")))
		}
		bound := Bound(m, w, 1000)
		if placed := Place(m, w, 1000, nil); placed > bound*(1+1e-9)+1e-6 {
			t.Fatalf("placed %v, bound %v", placed, bound)
		}
	})
}
