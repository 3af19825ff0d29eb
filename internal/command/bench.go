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

const benchHelp = `
Measures decisions a second of the placement module alone, of the engine, and of the whole path over loopback
sockets with nodes that accept at once, alternating in one run: the ratios hold on any machine. A decision is a
workload's whole lifecycle: request, bind, confirmation, end.
`

func benchCommand() *cobra.Command {
	var o benchOptions
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Measure how fast an allocator decides, and how much memory it needs",
		Long:  helpText(benchHelp),
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return o.run(cmd) },
	}
	f := cmd.Flags()
	f.IntSliceVar(&o.nodes, "nodes", []int{10, 100, 1000}, "sizes of the fleet")
	f.IntVar(&o.residents, "residents", 10, residentsHelp)
	f.IntVar(&o.held, "held", 100000, "placed workloads whose memory is measured, 0 for none")
	f.DurationVar(&o.length, "for", time.Second, measurementHelp)
	f.BoolVar(&o.sockets, "sockets", true, "measure over sockets too")
	jsonFlag(cmd, &o.asJSON)
	cmd.AddCommand(benchTraceCommand(), benchStateCommand())
	return cmd
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

func (o *benchOptions) run(cmd *cobra.Command) error {
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
		return printJSON(cmd, result)
	}
	return o.print(cmd, result)
}

func (o *benchOptions) print(cmd *cobra.Command, result benchResult) error {
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
	if err := printTable(cmd, rows); err != nil {
		return err
	}
	if m := result.Memory; m != nil {
		cmd.Printf("%d residents hold %.1f MiB, %.0f bytes each\n", o.held, float64(m.Bytes)/bytesPerMiB, m.BytesPerResident)
	}
	return nil
}
