package command

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	pb "grebeglade/proto/grebeglade/v1"
)

// verdict is what came of a workload that was submitted.
type verdict struct {
	Ask     uint64   `json:"ask"`
	Key     uint64   `json:"key"`
	Verdict string   `json:"verdict"`
	Node    uint32   `json:"node,omitempty"`
	Nodes   []uint32 `json:"nodes,omitempty"` // of a gang's parts
	Reason  string   `json:"reason,omitempty"`
	TookMs  float64  `json:"took_ms"`
	Ended   string   `json:"ended,omitempty"`
}

var verdictWords = map[pb.Verdict]string{
	pb.Verdict_PLACED: "placed", pb.Verdict_REJECTED: "rejected", pb.Verdict_UNSCHEDULABLE: "unschedulable",
}

func submitCommand() *cobra.Command {
	var to, group, owner, gangFile string
	var cores, memory float64
	var service, key uint64
	var runsFor, pending time.Duration
	var wait, asJSON bool
	c := &cobra.Command{
		Use:   "submit --group NAME --cores N --memory N | submit --gang FILE",
		Short: "Ask an allocator to place a workload, or a group that starts together, and print the answer",
		Long: "Asks an allocator to place one workload and prints its one answer: placed, rejected (asking again does\n" +
			"no harm) or unschedulable (it may have run). Exit status 0 only if it was placed.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if gangFile != "" {
				return submitGang(c, to, owner, gangFile, wait, asJSON)
			}
			for _, name := range []string{"group", "cores", "memory"} {
				if !c.Flags().Changed(name) {
					return fmt.Errorf("--%s is missing; give --group, --cores and --memory, or --gang FILE", name)
				}
			}
			if key == 0 {
				key = rand.Uint64()
			}
			cl, err := dial(to, pb.Role_OWNER, owner)
			if err != nil {
				return err
			}
			defer cl.Close()
			began := time.Now()
			ask := &pb.Ask{
				Ask: rand.Uint64(), Key: key, Service: service, Group: group, Cores: cores, Memory: memory,
				LeftMs: float64(pending) / 1e6, RunsForMs: float64(runsFor) / 1e6, SentMs: cl.clock(),
			}
			if err := cl.send(&pb.Frame{Body: &pb.Frame_Ask{Ask: ask}}); err != nil {
				return err
			}
			v := verdict{Ask: ask.Ask, Key: key}
			for v.Verdict == "" {
				f, err := cl.receive(pending + talkWithin)
				if err != nil {
					return err
				}
				if a := f.GetAnswer(); a != nil && a.Ask == ask.Ask {
					v.Verdict, v.Node, v.Reason = verdictWords[a.Verdict], a.Node, a.Reason
					v.TookMs = float64(time.Since(began)) / 1e6
				}
			}
			for wait && v.Verdict == "placed" && v.Ended == "" {
				f, err := cl.receive(runsFor + time.Hour)
				if err != nil {
					return err
				}
				if o := f.GetOver(); o != nil && o.Ask == ask.Ask {
					v.Ended = o.Why.String()
				}
			}
			return showVerdict(c, v, asJSON)
		},
	}
	f := c.Flags()
	toFlag(c, &to)
	f.StringVar(&group, "group", "", "priority group")
	f.Float64Var(&cores, "cores", 0, "cores that it asks for")
	f.Float64Var(&memory, "memory", 0, "memory that it asks for, in the unit of the node kinds")
	f.Uint64Var(&service, "service", 1, "service that it belongs to")
	f.Uint64Var(&key, "key", 0, "names the workload; give the same when asking again (default: drawn)")
	f.DurationVar(&runsFor, "runs-for", 10*time.Second, "how long it is expected to run")
	f.DurationVar(&pending, "pending", 6*time.Second, "pending timeout: how long to wait for the answer")
	f.StringVar(&owner, "owner", fmt.Sprintf("submit-%d", os.Getpid()), "name of the owner")
	f.BoolVar(&wait, "wait", false, "wait until a placed workload has ended")
	jsonFlag(c, &asJSON)
	f.StringVar(&gangFile, "gang", "", "file in HCL with a group that starts together or not at all")
	return c
}

func showVerdict(c *cobra.Command, v verdict, asJSON bool) error {
	if asJSON {
		if err := printJSON(c, v); err != nil {
			return err
		}
	} else {
		out := c.OutOrStdout()
		switch v.Verdict {
		case "placed":
			if len(v.Nodes) > 0 {
				fmt.Fprintf(out, "standing after %.0f ms, on nodes %s\n", v.TookMs, nodesText(v.Nodes))
				break
			}
			fmt.Fprintf(out, "placed on node %d after %.0f ms\n", v.Node, v.TookMs)
		default:
			fmt.Fprintf(out, "%s after %.0f ms: %s\n", v.Verdict, v.TookMs, v.Reason)
		}
		if v.Ended != "" {
			fmt.Fprintf(out, "ended: %s\n", v.Ended)
		}
	}
	if v.Verdict != "placed" {
		return errWrong
	}
	return nil
}

func workloadsCommand() *cobra.Command {
	var to string
	var most uint32
	var asJSON bool
	c := &cobra.Command{
		Use:   "workloads",
		Short: "List the workloads that an allocator holds",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := query(to, pb.Query_WORKLOADS, most)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(c, s)
			}
			rows := [][]string{{"WORKLOAD", "STATE", "NODE", "GROUP", "SERVICE", "CORES", "MEMORY", "BINDS", "SINCE", "OWNER"}}
			for _, w := range s.Workloads {
				rows = append(rows, []string{
					strconv.FormatUint(w.Workload, 10), w.State, number(w.Node), w.Group, strconv.FormatUint(w.Service, 10),
					amount(w.Cores), amount(w.Memory), strconv.Itoa(int(w.Binds)), ago(w.SinceMs), w.Owner,
				})
			}
			return table(c, rows, s.LeftOut)
		},
	}
	toFlag(c, &to)
	c.Flags().Uint32Var(&most, "most", 1000, "list so many at most")
	jsonFlag(c, &asJSON)
	return c
}

func nodesCommand() *cobra.Command {
	var to string
	var most uint32
	var asJSON bool
	c := &cobra.Command{
		Use:   "nodes",
		Short: "List the nodes that an allocator knows",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := query(to, pb.Query_NODES, most)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(c, s)
			}
			rows := [][]string{{"NODE", "STATE", "CONNECTION", "KIND", "ZONE", "FREE CORES", "FREE MEMORY", "OURS", "OUT", "LISTED", "LAST REFUSAL"}}
			for _, n := range s.Nodes {
				rows = append(rows, []string{
					number(n.Id), n.State, n.Connection, n.Kind, n.Zone, amount(n.FreeCores), amount(n.FreeMemory),
					number(n.Residents), number(n.BindsOut), ago(n.ListedMs), n.LastRefusal,
				})
			}
			return table(c, rows, s.LeftOut)
		},
	}
	toFlag(c, &to)
	c.Flags().Uint32Var(&most, "most", 1000, "list so many at most")
	jsonFlag(c, &asJSON)
	return c
}

func table(c *cobra.Command, rows [][]string, leftOut uint32) error {
	if err := printTable(c, rows); err != nil {
		return err
	}
	if leftOut > 0 {
		fmt.Fprintf(c.ErrOrStderr(), "%d more are left out; --most lists more\n", leftOut)
	}
	return nil
}

func number(n uint32) string { return strconv.FormatUint(uint64(n), 10) }

func amount(v float64) string { return strconv.FormatFloat(v, 'f', -1, 32) }

func ago(ms float64) string {
	return (time.Duration(ms*1e6) / time.Millisecond * time.Millisecond).Round(100 * time.Millisecond).String()
}
