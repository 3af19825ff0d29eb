package oracle

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"grebeglade/placement"
)

const (
	machineMemory  = 100 // more than the sum of all workloads in a test
	workloadMemory = 1
	testEnd        = placement.Millis(1000)
)

func newMachine(cores float64, up ...Span) Machine {
	return Machine{
		Zone:               "z",
		Cell:               "c",
		Cores:              cores,
		Memory:             machineMemory,
		MaxRequestedCores:  cores,
		MaxRequestedMemory: machineMemory,
		Up:                 up,
	}
}

// newWorkload returns a workload of service 1 that uses what it requests.
func newWorkload(from, until placement.Millis, cores float64) Workload {
	return Workload{
		From:       from,
		Until:      until,
		Service:    1,
		Cores:      cores,
		UsedCores:  cores,
		Memory:     workloadMemory,
		UsedMemory: workloadMemory,
	}
}

func TestPlace_EnoughCapacity_RunsAllWorkloads(t *testing.T) {
	machines := []Machine{newMachine(4, Span{0, testEnd})}
	workloads := []Workload{newWorkload(0, 100, 3), newWorkload(50, 200, 1)}
	assert.InDelta(t, 3*100+1*150.0, Place(machines, workloads, testEnd, nil), 0)
	assert.InDelta(t, 3*100+1*150.0, Bound(machines, workloads, testEnd), 0)
	assert.InDelta(t, 3*60+1*10.0, Place(machines, workloads, 60, nil), 0, "core time after the end must not count")
}

func TestPlace_NotEnoughCapacity_Waits(t *testing.T) {
	machines := []Machine{newMachine(4, Span{0, testEnd})}
	workloads := []Workload{newWorkload(0, 100, 3), newWorkload(10, 300, 2)}
	assert.InDelta(t, 3*100+2*200.0, Place(machines, workloads, testEnd, nil), 0)
	assert.InDelta(t, 3*100+1*90+2*200.0, Bound(machines, workloads, testEnd), 0,
		"the bound splits the second workload, of which half fits beside the first")
}

func TestPlace_MachineRestarts_WorkloadRunsAgain(t *testing.T) {
	machines := []Machine{newMachine(2, Span{0, 100}, Span{150, testEnd})}
	workloads := []Workload{newWorkload(0, 200, 2)}
	assert.InDelta(t, 2*100+2*50.0, Place(machines, workloads, testEnd, nil), 0)
	machines[0].Drains = []Span{{150, 180}}
	assert.InDelta(t, 2*100+2*20.0, Place(machines, workloads, testEnd, nil), 0)
}

// A workload of a lost machine is placed again immediately, with AwaitRetry after its client's retry, or never if the
// client does not retry.
func TestPlace_MachineLost_PlacesAgainAfterRetry(t *testing.T) {
	machines := []Machine{newMachine(2, Span{0, 100}), newMachine(2, Span{0, testEnd})}
	other := &machines[1]
	workloads := []Workload{newWorkload(0, 200, 1)}
	workloads[0].RetryDelay = 30
	other.MaxRequestedCores = 0
	assert.InDelta(t, 100.0, Place(machines, workloads, testEnd, nil), 0, "the other machine must have no capacity")
	other.MaxRequestedCores = 2
	other.Cores = 3 // more unused cores, so that the first machine is the better fit
	assert.InDelta(t, 200.0, Place(machines, workloads, testEnd, nil), 0)
	assert.InDelta(t, 170.0, Place(machines, workloads, testEnd, &Constraints{AwaitRetry: true}), 0)
	workloads[0].RetryDelay = -1
	assert.InDelta(t, 100.0, Place(machines, workloads, testEnd, &Constraints{AwaitRetry: true}), 0)
}

func TestPlace_Constraints_LimitWarmUpAndSpread(t *testing.T) {
	machines := []Machine{newMachine(10, Span{0, 10}, Span{20, testEnd})}
	workloads := []Workload{newWorkload(30, 100, 1), newWorkload(30, 100, 1), newWorkload(30, 100, 1)}
	warmUpLimit := &Constraints{
		Window: 1000,
		BindLimit: func(uptime placement.Millis) float64 {
			if uptime >= 500 {
				return -1
			}
			return 2
		},
	}
	assert.InDelta(t, 2*70.0, Place(machines, workloads, testEnd, warmUpLimit), 0)
	for i := range workloads {
		workloads[i].SpreadScope = placement.ScopeCell
		workloads[i].MaxPerScope = 1
	}
	assert.InDelta(t, 70.0, Place(machines, workloads, testEnd, warmUpLimit), 0)
	assert.InDelta(t, 3*70.0, Place(machines, workloads, testEnd, nil), 0)
}

// Guards against a bound that a feasible schedule exceeds, and against a schedule that uses more than the capacity.
func TestPlace_RandomScenario_WithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines := drawMachines(t)
		workloads := drawWorkloads(t)
		bound := Bound(machines, workloads, testEnd)
		placed := Place(machines, workloads, testEnd, nil)
		if placed > bound*(1+1e-9)+1e-6 {
			t.Fatalf("placed %v, bound %v", placed, bound)
		}
	})
}

// drawTime draws a time or a duration up to testEnd.
func drawTime(t *rapid.T, label string) placement.Millis {
	return placement.Millis(rapid.Float64Range(0, float64(testEnd)).Draw(t, label))
}

// drawMachines draws machines that are down once, for 50 ms.
func drawMachines(t *rapid.T) (machines []Machine) {
	for range rapid.IntRange(1, 5).Draw(t, "machines") {
		restart := drawTime(t, "restart")
		cores := rapid.Float64Range(1, 10).Draw(t, "cores")
		machines = append(machines, newMachine(cores, Span{0, restart}, Span{restart + 50, 2 * testEnd}))
	}
	return machines
}

func drawWorkloads(t *rapid.T) (workloads []Workload) {
	for range rapid.IntRange(0, 30).Draw(t, "workloads") {
		from := drawTime(t, "from")
		duration := drawTime(t, "duration")
		cores := rapid.Float64Range(0.1, 8).Draw(t, "cores")
		workloads = append(workloads, newWorkload(from, from+duration, cores))
	}
	return workloads
}
