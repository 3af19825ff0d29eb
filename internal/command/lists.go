package command

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	pb "grebeglade/proto/grebeglade/v1"
)

// listing is a command that prints a table of what an allocator holds.
type listing struct {
	use    string
	short  string
	query  pb.Query_Kind
	header []string
	rows   func(*pb.State) [][]string
}

func workloadsCommand() *cobra.Command {
	return listing{
		use:    "workloads",
		short:  "List the workloads that an allocator holds",
		query:  pb.Query_WORKLOADS,
		header: []string{"WORKLOAD", "STATE", "NODE", "GROUP", "SERVICE", "CORES", "MEMORY", "BINDS", "SINCE", "OWNER"},
		rows:   workloadRows,
	}.command()
}

func nodesCommand() *cobra.Command {
	return listing{
		use:   "nodes",
		short: "List the nodes that an allocator knows",
		query: pb.Query_NODES,
		header: []string{
			"NODE", "STATE", "CONNECTION", "KIND", "ZONE", "FREE CORES", "FREE MEMORY", "OURS", "OUT", "LISTED", "LAST REFUSAL",
		},
		rows: nodeRows,
	}.command()
}

func gangsCommand() *cobra.Command {
	return listing{
		use:    "gangs",
		short:  "List the gangs that an allocator holds, and their progress",
		query:  pb.Query_GANGS,
		header: []string{"GANG", "STATE", "RUNNING", "NEEDED", "PARTS", "TRIES", "SINCE", "OWNER", "WORKLOADS"},
		rows:   gangRows,
	}.command()
}

func (l listing) command() *cobra.Command {
	var to string
	var most uint32
	var asJSON bool
	c := &cobra.Command{
		Use:   l.use,
		Short: l.short,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := queryState(to, l.query, most)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(c, newStateDocument(s))
			}
			return printList(c, append([][]string{l.header}, l.rows(s)...), s.LeftOut)
		},
	}
	toFlag(c, &to)
	c.Flags().Uint32Var(&most, "most", 1000, "list so many at most")
	jsonFlag(c, &asJSON)
	return c
}

// queryState returns the state of an allocator, with at most so many entries.
func queryState(to string, what pb.Query_Kind, most uint32) (*pb.State, error) {
	c, err := dial(to, pb.Role_OPERATOR, "")
	if err != nil {
		return nil, err
	}
	defer c.close()
	if err := c.send(&pb.Frame{Body: &pb.Frame_Query{Query: &pb.Query{Kind: what, Limit: most}}}); err != nil {
		return nil, err
	}
	f, err := c.receive(replyTimeout)
	if err != nil {
		return nil, err
	}
	if f.GetState() == nil {
		return nil, runError{fmt.Errorf("the allocator answered with %s", pb.FrameKind(f))}
	}
	return f.GetState(), nil
}

func workloadRows(s *pb.State) [][]string {
	var rows [][]string
	for _, w := range s.Workloads {
		rows = append(rows, []string{
			strconv.FormatUint(w.Workload, 10), w.State, formatUint(w.Node), w.Group, strconv.FormatUint(w.Service, 10),
			formatAmount(w.Cores), formatAmount(w.Memory), formatUint(w.Binds), formatAge(w.SinceMs), w.Client,
		})
	}
	return rows
}

func nodeRows(s *pb.State) [][]string {
	var rows [][]string
	for _, n := range s.Nodes {
		rows = append(rows, []string{
			formatUint(n.Id), n.State, n.Connection, n.Kind, n.Zone, formatAmount(n.FreeCores), formatAmount(n.FreeMemory),
			formatUint(n.Residents), formatUint(n.BindsInFlight), formatAge(n.ListedMs), n.LastRejection,
		})
	}
	return rows
}

func gangRows(s *pb.State) [][]string {
	var rows [][]string
	for _, g := range s.Gangs {
		workloads := make([]string, len(g.Workloads))
		for i, id := range g.Workloads {
			workloads[i] = strconv.FormatUint(id, 10)
		}
		rows = append(rows, []string{
			strconv.FormatUint(g.RequestId, 10), g.State, formatUint(g.Running), formatUint(g.MinParts), formatUint(g.Parts),
			formatUint(g.Attempts), formatAge(g.SinceMs), g.Client, strings.Join(workloads, " "),
		})
	}
	return rows
}
