package command

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/internal/benchmark"
)

const (
	maxBenchNodes   = 20_000
	bytesPerMiB     = 1 << 20
	measurementHelp = "length of each measurement; there are five of each"
	residentsHelp   = "placed workloads on each node"
)

func benchCommand() *cobra.Command {
	var o benchOptions
	c := &cobra.Command{
		Use:   "bench",
		Short: "Measure how fast an allocator decides, and how much memory it needs",
		Long: "Measures decisions a second of the placement module alone, of the engine, and of the whole path over loopback\n" +
			"sockets with nodes that accept at once, alternating in one run: the ratios hold on any machine. A decision is a\n" +
			"workload's whole lifecycle: request, bind, confirmation, end.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return o.run(c) },
	}
	f := c.Flags()
	f.IntSliceVar(&o.nodes, "nodes", []int{10, 100, 1000}, "sizes of the fleet")
	f.IntVar(&o.residents, "residents", 10, residentsHelp)
	f.IntVar(&o.held, "held", 100000, "placed workloads whose memory is measured, 0 for none")
	f.DurationVar(&o.length, "for", time.Second, measurementHelp)
	f.BoolVar(&o.sockets, "sockets", true, "measure over sockets too")
	jsonFlag(c, &o.asJSON)
	c.AddCommand(benchTraceCommand(), benchStateCommand())
	return c
}

type benchOptions struct {
	nodes     []int
	residents int
	held      int
	length    time.Duration
	sockets   bool
	asJSON    bool
}

// benchResult is what JSON shows of a benchmark.
type benchResult struct {
	Rates  []benchmark.Rates `json:"rates"`
	Memory *benchmark.Memory `json:"memory,omitempty"`
}

var errBenchFlags = errors.New("--nodes takes 1 to 20000 each, --residents 0 or more, --for a time above 0")

func (o *benchOptions) run(c *cobra.Command) error {
	var result benchResult
	for _, n := range o.nodes {
		if n < 1 || n > maxBenchNodes || o.residents < 0 || o.length <= 0 {
			return errBenchFlags
		}
		rates, err := benchmark.MeasureRates(benchmark.Fleet{Nodes: n, Residents: o.residents}, o.length, o.sockets)
		if err != nil {
			return runError{err}
		}
		result.Rates = append(result.Rates, rates)
	}
	if o.held > 0 {
		memory, err := benchmark.MeasureMemory(o.held)
		if err != nil {
			return runError{err}
		}
		result.Memory = &memory
	}
	if o.asJSON {
		return printJSON(c, result)
	}
	return o.print(c, result)
}

func (o *benchOptions) print(c *cobra.Command, result benchResult) error {
	rows := [][]string{{"NODES", "MODULE/S", "ENGINE/S", "RATIO", "SOCKETS/S", "RATIO", "ASK TO OFFER, MEDIAN", "P99"}}
	for i, r := range result.Rates {
		row := []string{
			strconv.Itoa(o.nodes[i]), fmt.Sprintf("%.0f", r.Module), fmt.Sprintf("%.0f", r.Engine), fmt.Sprintf("%.2f", r.EngineRatio),
		}
		if o.sockets {
			row = append(row, fmt.Sprintf("%.0f", r.Sockets), fmt.Sprintf("%.2f", r.SocketsRatio),
				fmt.Sprintf("%.2f ms", r.OfferMedianMs), fmt.Sprintf("%.2f ms", r.Offer99Ms))
		}
		rows = append(rows, row)
	}
	if err := printTable(c, rows); err != nil {
		return err
	}
	if m := result.Memory; m != nil {
		c.Printf("%d residents hold %.1f MiB, %.0f bytes each\n", o.held, float64(m.Bytes)/bytesPerMiB, m.BytesPerResident)
	}
	return nil
}

type benchTraceOptions struct {
	fleet   benchmark.Fleet
	script  string
	fileMiB int64
	length  time.Duration
	asJSON  bool
}

func benchTraceCommand() *cobra.Command {
	var o benchTraceOptions
	c := &cobra.Command{
		Use:   "trace",
		Short: "Measure what traces cost: bytes, time, and the throughput of the allocator that is recorded",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return o.run(c) },
	}
	f := c.Flags()
	f.IntVar(&o.fleet.Nodes, "nodes", 100, "nodes to record on")
	f.IntVar(&o.fleet.Residents, "residents", 10, residentsHelp)
	f.StringVar(&o.script, "script", "full", "scenario whose trace is measured")
	f.Int64Var(&o.fileMiB, "file-mib", 64, "size of the file for the look-up, 0 for none")
	f.DurationVar(&o.length, "for", time.Second, measurementHelp)
	jsonFlag(c, &o.asJSON)
	return c
}

func (o *benchTraceOptions) run(c *cobra.Command) error {
	if o.fleet.Nodes < 1 || o.fleet.Residents < 0 || o.length <= 0 || o.fileMiB < 0 {
		return errors.New("--nodes takes 1 or more, --residents and --file-mib 0 or more, --for a time above 0")
	}
	t, err := benchmark.MeasureTrace(o.script, o.fleet, o.length, o.fileMiB*bytesPerMiB)
	if err != nil {
		return runError{err}
	}
	if o.asJSON {
		return printJSON(c, t)
	}
	c.Printf("Scenario %q, one allocator: %d records, %d decisions, %.1f bytes a decision; plain JSON lines take %.1f times\n"+
		"as much, uncompressed protobuf %.1f times. Written at %.0f records a second, read at %.0f.\n", t.Script, t.Records,
		t.Decisions, t.BytesPerDecision, t.JSONRatio, t.PlainRatio, t.WritePerSec, t.ReadPerSec)
	c.Printf("Over sockets, %d nodes: %.0f placed a second with a trace, %.0f without; ratio %.3f, %d records lost.\n"+
		"Request to offer, 99th percentile at a quarter of that rate: %.2f ms with, %.2f ms without.\n", o.fleet.Nodes, t.RateRecording, t.RateNotRecording,
		t.RecordingRatio, t.Lost, t.P99Recording, t.P99NotRecording)
	if t.FileBytes > 0 {
		c.Printf("A minute of %d records in a file of %.0f MiB: %.0f ms by the index, %.0f ms by a scan.\n", t.LookedUp,
			float64(t.FileBytes)/bytesPerMiB, t.LookUpMs, t.ScanMs)
	}
	return nil
}

type benchStateOptions struct {
	fleet  benchmark.Fleet
	dir    string
	length time.Duration
	asJSON bool
}

func benchStateCommand() *cobra.Command {
	var o benchStateOptions
	c := &cobra.Command{
		Use:   "state",
		Short: "Measure what a state directory costs if every workload is run-once",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return o.run(c) },
	}
	f := c.Flags()
	f.IntVar(&o.fleet.Nodes, "nodes", 100, "nodes to place on")
	f.IntVar(&o.fleet.Residents, "residents", 10, residentsHelp)
	f.StringVar(&o.dir, "dir", "", "directory on the disk to measure; by default where the system keeps temporary files")
	f.DurationVar(&o.length, "for", time.Second, measurementHelp)
	jsonFlag(c, &o.asJSON)
	return c
}

func (o *benchStateOptions) run(c *cobra.Command) error {
	if o.fleet.Nodes < 1 || o.length <= 0 {
		return errors.New("--nodes takes 1 or more, --for a time above 0")
	}
	costs, err := benchmark.MeasureState(o.dir, o.fleet, o.length)
	if err != nil {
		return runError{err}
	}
	if o.asJSON {
		return printJSON(c, costs)
	}
	rows := [][]string{{"SYNC", "PLACED/S", "RATIO", "ASK TO OFFER 50%", "99%"}}
	for _, s := range costs.Costs {
		rows = append(rows, []string{
			s.Sync, fmt.Sprintf("%.0f", s.Placed), fmt.Sprintf("%.3f", s.Ratio), fmt.Sprintf("%.2f ms", s.Median), fmt.Sprintf("%.2f ms", s.P99),
		})
	}
	if err := printTable(c, rows); err != nil {
		return err
	}
	for _, s := range costs.Reads {
		c.Printf("%d keys known, %.1f MiB: read in %.1f ms\n", s.Keys, s.MiB, s.Ms)
	}
	return nil
}
