package command

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
)

// scenarioOverrides are the properties of a scenario that flags can replace. Zero keeps what the scenario says.
type scenarioOverrides struct {
	allocators int
	nodes      int
	rate       float64 // new workloads a second
	load       float64 // share of the fleet's cores
	length     time.Duration
	gangs      string // a scenario.GangPolicy; there is always one
}

func (o *scenarioOverrides) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.IntVar(&o.allocators, "allocators", 0, "so many allocators instead of the scenario's")
	flags.IntVar(&o.nodes, "nodes", 0, "so many nodes instead of the scenario's; the load follows")
	flags.Float64Var(&o.rate, "rate", 0, "so many new workloads a second instead of the scenario's")
	flags.DurationVar(&o.length, "for", 0, "another length of the scenario; the faults follow")
	flags.Float64Var(&o.load, "load", 0, "request that share of the fleet's cores, in the mean: 0.8 for 80%")
	flags.StringVar(&o.gangs, "gangs", string(scenario.Together),
		"how clients request gangs: together, or to compare independent or for-ever")
}

// apply changes a scenario. The load comes after nodes and rate: it scales the rate by the cores of all nodes.
func (o *scenarioOverrides) apply(script *scenario.Script) error {
	if o.allocators < 0 || o.nodes < 0 || o.rate < 0 || o.length < 0 {
		return errors.New("--allocators, --nodes, --rate and --for must not be below 0")
	}
	script.Resize(o.allocators, o.nodes)
	if o.length > 0 {
		script.SetLength(placement.Millis(milliseconds(o.length)))
	}
	if o.rate > 0 {
		script.Client.Rate = o.rate
	}
	if o.load > 0 {
		script.SetLoad(o.load)
	}
	switch policy := scenario.GangPolicy(o.gangs); policy {
	case scenario.Together, scenario.Independent, scenario.UntilPlaced:
		script.Client.GangPolicy = policy
	default:
		return fmt.Errorf("--gangs %q is not known; known are together, independent, for-ever", o.gangs)
	}
	return nil
}
