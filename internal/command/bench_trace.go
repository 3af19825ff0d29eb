package command

import (
	"errors"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/internal/benchmark"
)

type benchTraceOptions struct {
	fleet   benchmark.Fleet
	script  string
	fileMiB int64
	length  time.Duration
	asJSON  bool
}

func benchTraceCommand() *cobra.Command {
	var o benchTraceOptions
	cmd := &cobra.Command{
		Use:   "trace",
		Short: "Measure what traces cost: bytes, time, and the throughput of the allocator that is recorded",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return o.run(cmd) },
	}
	f := cmd.Flags()
	f.IntVar(&o.fleet.Nodes, "nodes", 100, "nodes to record on")
	f.IntVar(&o.fleet.Residents, "residents", 10, residentsHelp)
	f.StringVar(&o.script, "script", "full", "scenario whose trace is measured")
	f.Int64Var(&o.fileMiB, "file-mib", 64, "size of the file for the look-up, 0 for none")
	f.DurationVar(&o.length, "for", time.Second, measurementHelp)
	jsonFlag(cmd, &o.asJSON)
	return cmd
}

func (o *benchTraceOptions) run(cmd *cobra.Command) error {
	if o.fleet.Nodes < 1 || o.fleet.Residents < 0 || o.length <= 0 || o.fileMiB < 0 {
		return errors.New("--nodes takes 1 or more, --residents and --file-mib 0 or more, --for a time above 0")
	}
	t, err := benchmark.MeasureTrace(o.script, o.fleet, o.length, o.fileMiB*bytesPerMiB)
	if err != nil {
		return runError{err}
	}
	if o.asJSON {
		return printJSON(cmd, t)
	}
	cmd.Printf("Scenario %q, one allocator: %d records, %d decisions, %.1f bytes a decision; plain JSON lines take %.1f times\n"+
		"as much, uncompressed protobuf %.1f times. Written at %.0f records a second, read at %.0f.\n", t.Script, t.Records,
		t.Decisions, t.BytesPerDecision, t.JSONRatio, t.PlainRatio, t.WritePerSec, t.ReadPerSec)
	cmd.Printf("Over sockets, %d nodes: %.0f placed a second with a trace, %.0f without; ratio %.3f, %d records lost.\n"+
		"Request to offer, 99th percentile at a quarter of that rate: %.2f ms with, %.2f ms without.\n", o.fleet.Nodes, t.RateRecording, t.RateNotRecording,
		t.RecordingRatio, t.Lost, t.P99Recording, t.P99NotRecording)
	if t.FileBytes > 0 {
		cmd.Printf("A minute of %d records in a file of %.0f MiB: %.0f ms by the index, %.0f ms by a scan.\n", t.LookedUp,
			float64(t.FileBytes)/bytesPerMiB, t.LookUpMs, t.ScanMs)
	}
	return nil
}
