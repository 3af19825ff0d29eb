package command

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/internal/simulation"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
)

const (
	demoScenario  = "rough"
	minDemoLength = time.Second
)

type demoOptions struct {
	run    simulation.Options
	length time.Duration // how long clients request workloads
	asJSON bool
}

const demoHelp = `
Starts a discovery service, nodes, clients and two allocators on loopback sockets and runs a scenario with
faults: stalls, a crash, another program on the nodes, a burst, slow nodes, a late endpoint list, a rolling
deploy. Then audits the frames that were sent. Exit status 0 only if every rule held.
`

// demoCommand defines "demo".
func demoCommand() *cobra.Command {
	var options demoOptions
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a scenario with faults on loopback sockets, without any file or other program",
		Long:  helpText(demoHelp),
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return options.play(cmd) },
	}
	flags := cmd.Flags()
	flags.DurationVar(&options.length, "for", 20*time.Second, "how long clients request workloads")
	flags.StringVar(&options.run.TraceDirectory, "trace", "",
		"directory for traces; each allocator records into a subdirectory")
	flags.Uint64Var(&options.run.Seed, "seed", 1, "seed of the faults and of the requests")
	jsonFlag(cmd, &options.asJSON)
	return cmd
}

// play runs the scenario on loopback sockets, audits it and prints the result.
func (o *demoOptions) play(cmd *cobra.Command) error {
	if o.length < minDemoLength {
		return fmt.Errorf("--for %s is too short for a scenario; give %s or more", o.length, minDemoLength)
	}
	script, err := scenario.Open(demoScenario)
	if err != nil {
		return err
	}
	script.SetLength(placement.Millis(milliseconds(o.length)))
	result, err := playSockets(cmd, script, o.run)
	if err != nil {
		return err
	}
	return printResult(cmd, result, o.asJSON)
}
