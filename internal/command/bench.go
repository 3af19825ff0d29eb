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
	measurementHelp = "length of one rate measurement; each rate is the median of five"
	residentsHelp   = "number of placed workloads on each node"
)

type benchOptions struct {
	nodes           []int
	residents       int
	memoryWorkloads int           // placed workloads for the memory measurement, 0 to skip it
	length          time.Duration // length of each measurement
	sockets         bool
	asJSON          bool
}

// benchResult is the JSON output of the benchmark.
type benchResult struct {
	Rates  []benchmark.Rates `json:"rates"`
	Memory *benchmark.Memory `json:"memory,omitempty"`
}

var errBenchFlags = errors.New("--nodes takes 1 to 20000 each, --residents 0 or more, --for a time above 0")

const benchHelp = `
Measures decisions a second of the placement module alone, of the engine, and of a complete allocator over
loopback sockets with nodes that accept every bind immediately. The measurements alternate in one run, so that
their ratios are comparable between machines. A decision is a workload's whole lifecycle: request, bind,
confirmation, end.
`

// benchCommand defines "bench".
func benchCommand() *cobra.Command {
	var options benchOptions
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Measure how fast an allocator decides, and how much memory it needs",
		Long:  helpText(benchHelp),
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	flags := cmd.Flags()
	flags.IntSliceVar(&options.nodes, "nodes", []int{10, 100, 1000}, "numbers of nodes to measure with")
	flags.IntVar(&options.residents, "residents", 10, residentsHelp)
	flags.IntVar(&options.memoryWorkloads, "held", 100000,
		"number of placed workloads whose memory is measured, 0 to skip the measurement")
	flags.DurationVar(&options.length, "for", time.Second, measurementHelp)
	flags.BoolVar(&options.sockets, "sockets", true, "also measure over sockets")
	jsonFlag(cmd, &options.asJSON)
	cmd.AddCommand(benchTraceCommand(), benchStateCommand())
	return cmd
}

// run measures the rates for each number of nodes, then the memory, and prints the result.
func (o *benchOptions) run(cmd *cobra.Command) error {
	var result benchResult
	for _, nodes := range o.nodes {
		if nodes < 1 || nodes > maxBenchNodes || o.residents < 0 || o.length <= 0 {
			return errBenchFlags
		}
		fleet := benchmark.Fleet{Nodes: nodes, Residents: o.residents}
		rates, err := benchmark.MeasureRates(fleet, o.length, o.sockets)
		if err != nil {
			return runError{err}
		}
		result.Rates = append(result.Rates, rates)
	}
	if o.memoryWorkloads > 0 {
		memory, err := benchmark.MeasureMemory(o.memoryWorkloads)
		if err != nil {
			return runError{err}
		}
		result.Memory = &memory
	}
	if o.asJSON {
		return printJSON(cmd, result)
	}
	return o.print(cmd, result)
}

// print prints a row for each number of nodes, and then the memory.
func (o *benchOptions) print(cmd *cobra.Command, result benchResult) error {
	rows := [][]string{
		{"NODES", "MODULE/S", "ENGINE/S", "RATIO", "SOCKETS/S", "RATIO", "ASK TO OFFER, MEDIAN", "P99"},
	}
	for i := range result.Rates {
		rows = append(rows, o.ratesRow(o.nodes[i], &result.Rates[i]))
	}
	if err := printTable(cmd, rows); err != nil {
		return err
	}
	if memory := result.Memory; memory != nil {
		cmd.Printf("%d residents hold %.1f MiB, %.0f bytes each\n",
			o.memoryWorkloads, float64(memory.Bytes)/bytesPerMiB, memory.BytesPerResident)
	}
	return nil
}

// ratesRow returns the table row for a number of nodes. The columns for sockets are absent if they are not measured.
func (o *benchOptions) ratesRow(nodes int, rates *benchmark.Rates) []string {
	row := []string{
		strconv.Itoa(nodes),
		fmt.Sprintf("%.0f", rates.Module),
		fmt.Sprintf("%.0f", rates.Engine),
		fmt.Sprintf("%.2f", rates.EngineRatio),
	}
	if !o.sockets {
		return row
	}
	return append(row,
		fmt.Sprintf("%.0f", rates.Sockets),
		fmt.Sprintf("%.2f", rates.SocketsRatio),
		fmt.Sprintf("%.2f ms", rates.OfferMedianMs),
		fmt.Sprintf("%.2f ms", rates.Offer99Ms))
}
