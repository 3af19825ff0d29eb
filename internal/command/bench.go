package command

import (
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/internal/benchmark"
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
				Rates  []benchmark.Rates `json:"rates"`
				Memory *benchmark.Memory `json:"memory,omitempty"`
			}
			rows := [][]string{{"NODES", "MODULE/S", "ENGINE/S", "RATIO", "SOCKETS/S", "RATIO", "ASK TO OFFER, MEDIAN", "P99"}}
			for _, n := range nodes {
				if n < 1 || n > 20000 || residents < 0 || long <= 0 {
					return fmt.Errorf("--nodes takes 1 to 20000 each, --residents 0 or more, --for a time above 0")
				}
				r, err := benchmark.Measure(benchmark.Fleet{Nodes: n, Residents: residents}, long, sockets)
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
				m, err := benchmark.Held(held)
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
	c.AddCommand(benchTraceCommand(), benchStateCommand())
	return c
}

func benchTraceCommand() *cobra.Command {
	var fleet benchmark.Fleet
	var script string
	var size int64
	var long time.Duration
	var asJSON bool
	c := &cobra.Command{
		Use:   "trace",
		Short: "Measure what traces cost: bytes, time, and the allocator that is recorded",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if fleet.Nodes < 1 || fleet.Residents < 0 || long <= 0 || size < 0 {
				return fmt.Errorf("--nodes takes 1 or more, --residents and --file-mib 0 or more, --for a time above 0")
			}
			t, err := benchmark.Trace(script, fleet, long, size<<20)
			if err != nil {
				return failure{err}
			}
			if asJSON {
				return printJSON(c, t)
			}
			out := c.OutOrStdout()
			fmt.Fprintf(out, "Day %q, one allocator: %d records, %d decisions, %.1f bytes a decision; plain JSON lines take %.1f times\n"+
				"as much, uncompressed protobuf %.1f times. Written at %.0f records a second, read at %.0f.\n", t.Script, t.Records,
				t.Decisions, t.Each, t.JSONRatio, t.PlainRatio, t.WritePerSec, t.ReadPerSec)
			fmt.Fprintf(out, "Over sockets, %d nodes: %.0f placed a second with a trace, %.0f without; ratio %.3f, %d records lost.\n"+
				"Ask to offer, 99th percentile at a quarter of that rate: %.2f ms with, %.2f ms without.\n", fleet.Nodes, t.On, t.Off, t.OnOff, t.Lost,
				t.P99On, t.P99Off)
			if t.FileBytes > 0 {
				fmt.Fprintf(out, "A minute of %d records in a file of %.0f MiB: %.0f ms by the index, %.0f ms by a scan.\n", t.LookedUp,
					float64(t.FileBytes)/(1<<20), t.LookUpMs, t.ScanMs)
			}
			return nil
		},
	}
	f := c.Flags()
	f.IntVar(&fleet.Nodes, "nodes", 100, "nodes to record on")
	f.IntVar(&fleet.Residents, "residents", 10, "workloads of ours that stand on each node")
	f.StringVar(&script, "script", "full", "day whose trace is measured")
	f.Int64Var(&size, "file-mib", 64, "size of the file for the look-up, 0 for none")
	f.DurationVar(&long, "for", time.Second, "length of each measurement; there are five of each")
	jsonFlag(c, &asJSON)
	return c
}

func benchStateCommand() *cobra.Command {
	var fleet benchmark.Fleet
	var dir string
	var long time.Duration
	var asJSON bool
	c := &cobra.Command{
		Use:   "state",
		Short: "Measure what a state directory costs, where every workload is run-once",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if fleet.Nodes < 1 || long <= 0 {
				return fmt.Errorf("--nodes takes 1 or more, --for a time above 0")
			}
			r, err := benchmark.State(dir, fleet, long)
			if err != nil {
				return failure{err}
			}
			if asJSON {
				return printJSON(c, r)
			}
			rows := [][]string{{"SYNC", "PLACED/S", "RATIO", "ASK TO OFFER 50%", "99%"}}
			for _, s := range r.Costs {
				rows = append(rows, []string{
					s.Sync, fmt.Sprintf("%.0f", s.Placed), fmt.Sprintf("%.3f", s.Ratio), fmt.Sprintf("%.2f ms", s.Median), fmt.Sprintf("%.2f ms", s.P99),
				})
			}
			if err := printTable(c, rows); err != nil {
				return err
			}
			for _, s := range r.Reads {
				fmt.Fprintf(c.OutOrStdout(), "%d keys known, %.1f MiB: read in %.1f ms\n", s.Keys, s.MiB, s.Ms)
			}
			return nil
		},
	}
	f := c.Flags()
	f.IntVar(&fleet.Nodes, "nodes", 100, "nodes to place on")
	f.IntVar(&fleet.Residents, "residents", 10, "workloads of ours that stand on each node")
	f.StringVar(&dir, "dir", "", "on the disk that is meant; by default where the system keeps temporary files")
	f.DurationVar(&long, "for", time.Second, "length of each measurement; there are five of each")
	jsonFlag(c, &asJSON)
	return c
}
