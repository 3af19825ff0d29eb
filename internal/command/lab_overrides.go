package command

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
)

// scenarioOverrides are flags that replace properties of a scenario. A number of 0 keeps the scenario's value.
type scenarioOverrides struct {
	allocators int
	nodes      int
	rate       float64       // new workloads per second
	load       float64       // mean demand as a share of the fleet's cores
	length     time.Duration // length of the scenario
	gangs      string        // a scenario.GangPolicy, never empty; always replaces the scenario's
}

func (o *scenarioOverrides) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.IntVar(&o.allocators, "allocators", 0, "number of allocators, instead of the scenario's")
	flags.IntVar(&o.nodes, "nodes", 0, "number of nodes, instead of the scenario's; request rates scale with it")
	flags.Float64Var(&o.rate, "rate", 0, "new workloads a second, instead of the scenario's")
	flags.DurationVar(&o.length, "for", 0, "length of the run, instead of the scenario's; the faults scale with it")
	flags.Float64Var(&o.load, "load", 0, "mean demand as a share of the fleet's cores, such as 0.8")
	flags.StringVar(&o.gangs, "gangs", string(scenario.Together),
		"how clients request gangs: together, or, for comparison, independent or for-ever")
}

// apply changes a scenario. The load is set after nodes and rate, since it scales the rate to the cores of all nodes.
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
		return fmt.Errorf("unknown value %q for --gangs; expected together, independent or for-ever", o.gangs)
	}
	return nil
}
