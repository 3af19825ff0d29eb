package command

import (
	"errors"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/internal/benchmark"
)

type benchTraceOptions struct {
	fleet   benchmark.Fleet
	script  string        // name of the scenario whose trace is measured
	fileMiB int64         // size in MiB of the file for the look-up measurement, 0 to skip it
	length  time.Duration // length of each measurement
	asJSON  bool
}

var errBenchTraceFlags = errors.New(
	"--nodes takes 1 or more, --residents and --file-mib 0 or more, --for a time above 0")

// benchTraceCommand defines "bench trace".
func benchTraceCommand() *cobra.Command {
	var options benchTraceOptions
	cmd := &cobra.Command{
		Use:   "trace",
		Short: "Measure what traces cost: bytes, time, and the throughput of the allocator that is recorded",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	flags := cmd.Flags()
	flags.IntVar(&options.fleet.Nodes, "nodes", 100, "number of nodes in the measured fleet")
	flags.IntVar(&options.fleet.Residents, "residents", 10, residentsHelp)
	flags.StringVar(&options.script, "script", "full", "scenario whose trace is measured")
	flags.Int64Var(&options.fileMiB, "file-mib", 64, "size in MiB of the file for the look-up measurement, 0 to skip it")
	flags.DurationVar(&options.length, "for", time.Second, measurementHelp)
	jsonFlag(cmd, &options.asJSON)
	return cmd
}

// run measures the costs of a trace and prints them.
func (o *benchTraceOptions) run(cmd *cobra.Command) error {
	if o.fleet.Nodes < 1 || o.fleet.Residents < 0 || o.length <= 0 || o.fileMiB < 0 {
		return errBenchTraceFlags
	}
	costs, err := benchmark.MeasureTrace(o.script, o.fleet, o.length, o.fileMiB*bytesPerMiB)
	if err != nil {
		return runError{err}
	}
	return printOutput(cmd, o.asJSON, costs, func() { o.print(cmd, costs) })
}

// print prints what a trace costs in bytes, in time, and in throughput.
func (o *benchTraceOptions) print(cmd *cobra.Command, costs *benchmark.TraceCost) {
	cmd.Printf("Scenario %q, one allocator: %d records, %d decisions, %.1f bytes a decision; "+
		"plain JSON lines take %.1f times\n"+
		"as much, uncompressed protobuf %.1f times. Written at %.0f records a second, read at %.0f.\n",
		costs.Script, costs.Records, costs.Decisions, costs.BytesPerDecision,
		costs.JSONRatio, costs.PlainRatio, costs.WritePerSec, costs.ReadPerSec)
	cmd.Printf("Over sockets, %d nodes: %.0f placed a second with a trace, %.0f without; "+
		"ratio %.3f, %d records lost.\n"+
		"Request to offer, 99th percentile at a quarter of that rate: %.2f ms with, %.2f ms without.\n",
		o.fleet.Nodes, costs.RateRecording, costs.RateNotRecording, costs.RecordingRatio, costs.Lost,
		costs.P99Recording, costs.P99NotRecording)
	if costs.FileBytes > 0 {
		cmd.Printf("A minute of %d records in a file of %.0f MiB: %.0f ms by the index, %.0f ms by a scan.\n",
			costs.LookedUp, float64(costs.FileBytes)/bytesPerMiB, costs.LookUpMs, costs.ScanMs)
	}
}
