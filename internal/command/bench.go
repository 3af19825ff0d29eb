package command

import (
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/internal/bench"
)

func benchCommand() *cobra.Command {
	var nodes []int
	var residents, held int
	var long time.Duration
	var sockets, asJSON bool
	c := &cobra.Command{
		Use:   "bench",
		Short: "Measure how fast an allocator decides, and what it holds",
		Long: "Measures decisions a second of the module alone, of the engine, and of the whole path over loopback\n" +
			"sockets with nodes that accept at once, in turn and in one run: the ratios hold on any machine. A decision\n" +
			"is a workload's whole way: ask, bind, confirmation, end.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var result struct {
				Rates  []bench.Rates `json:"rates"`
				Memory *bench.Memory `json:"memory,omitempty"`
			}
			rows := [][]string{{"NODES", "MODULE/S", "ENGINE/S", "RATIO", "SOCKETS/S", "RATIO", "ASK TO OFFER, MEDIAN", "P99"}}
			for _, n := range nodes {
				if n < 1 || n > 20000 || residents < 0 || long <= 0 {
					return fmt.Errorf("--nodes takes 1 to 20000 each, --residents 0 or more, --for a time above 0")
				}
				r, err := bench.Measure(bench.Fleet{Nodes: n, Residents: residents}, long, sockets)
				if err != nil {
					return failure{err}
				}
				result.Rates = append(result.Rates, r)
				row := []string{
					strconv.Itoa(n), fmt.Sprintf("%.0f", r.Module), fmt.Sprintf("%.0f", r.Engine), fmt.Sprintf("%.2f", r.EngineRatio),
				}
				if sockets {
					row = append(row, fmt.Sprintf("%.0f", r.Sockets), fmt.Sprintf("%.2f", r.SocketsRatio),
						fmt.Sprintf("%.2f ms", r.OfferMedianMs), fmt.Sprintf("%.2f ms", r.Offer99Ms))
				}
				rows = append(rows, row)
			}
			if held > 0 {
				m, err := bench.Held(held)
				if err != nil {
					return failure{err}
				}
				result.Memory = &m
			}
			if asJSON {
				return printJSON(c, result)
			}
			if err := printTable(c, rows); err != nil {
				return err
			}
			if result.Memory != nil {
				fmt.Fprintf(c.OutOrStdout(), "%d residents hold %.1f MiB, %.0f bytes each\n", held,
					float64(result.Memory.Bytes)/(1<<20), result.Memory.Each)
			}
			return nil
		},
	}
	f := c.Flags()
	f.IntSliceVar(&nodes, "nodes", []int{10, 100, 1000}, "sizes of the fleet")
	f.IntVar(&residents, "residents", 10, "workloads of ours that stand on each node")
	f.IntVar(&held, "held", 100000, "residents whose memory is measured, 0 for none")
	f.DurationVar(&long, "for", time.Second, "length of each measurement; there are five of each")
	f.BoolVar(&sockets, "sockets", true, "measure over sockets too")
	jsonFlag(c, &asJSON)
	return c
}
