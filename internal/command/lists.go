package command

import (
	"strings"

	"github.com/spf13/cobra"

	pb "grebeglade/proto/grebeglade/v1"
)

// listing describes a command that prints one kind of an allocator's state as a table.
type listing struct {
	use    string
	short  string
	query  pb.Query_Kind
	header []string                   // column names
	rows   func(*pb.State) [][]string // table rows, without the header
}

func workloadsCommand() *cobra.Command {
	return listing{
		use:    "workloads",
		short:  "List an allocator's workloads",
		query:  pb.Query_WORKLOADS,
		header: []string{"WORKLOAD", "STATE", "NODE", "GROUP", "SERVICE", "CORES", "MEMORY", "BINDS", "SINCE", "OWNER"},
		rows:   workloadRows,
	}.command()
}

// nodesCommand defines "nodes".
func nodesCommand() *cobra.Command {
	return listing{
		use:   "nodes",
		short: "List the nodes in an allocator's node table",
		query: pb.Query_NODES,
		header: []string{
			"NODE", "STATE", "CONNECTION", "KIND", "ZONE", "FREE CORES", "FREE MEMORY", "OURS", "OUT", "LISTED",
			"LAST REFUSAL",
		},
		rows: nodeRows,
	}.command()
}

func gangsCommand() *cobra.Command {
	return listing{
		use:    "gangs",
		short:  "List an allocator's gangs and their progress",
		query:  pb.Query_GANGS,
		header: []string{"GANG", "STATE", "RUNNING", "NEEDED", "PARTS", "TRIES", "SINCE", "OWNER", "WORKLOADS"},
		rows:   gangRows,
	}.command()
}

// listOptions are the flags of a listing.
type listOptions struct {
	to     string // address of the allocator
	limit  uint32 // maximum number of entries
	asJSON bool
}

// command defines the command of a listing.
func (l listing) command() *cobra.Command {
	var options listOptions
	cmd := &cobra.Command{
		Use:   l.use,
		Short: l.short,
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return l.run(cmd, &options) },
	}
	toFlag(cmd, &options.to)
	cmd.Flags().Uint32Var(&options.limit, "most", 1000, "maximum number of entries to list")
	jsonFlag(cmd, &options.asJSON)
	return cmd
}

// run queries the allocator and prints the list.
func (l listing) run(cmd *cobra.Command, options *listOptions) error {
	state, err := queryState(options.to, l.query, options.limit)
	if err != nil {
		return err
	}
	if options.asJSON {
		return printJSON(cmd, newStateDocument(state))
	}
	rows := append([][]string{l.header}, l.rows(state)...)
	return printList(cmd, rows, state.LeftOut)
}

// queryState connects to an allocator and returns its state of one kind, with at most limit entries.
func queryState(to string, kind pb.Query_Kind, limit uint32) (*pb.State, error) {
	connection, err := dial(to, pb.Role_OPERATOR, "")
	if err != nil {
		return nil, err
	}
	defer connection.close()
	query := &pb.Query{Kind: kind, Limit: limit}
	if err := connection.send(&pb.Frame{Body: &pb.Frame_Query{Query: query}}); err != nil {
		return nil, err
	}
	reply, err := connection.receive(replyTimeout)
	if err != nil {
		return nil, err
	}
	state := reply.GetState()
	if state == nil {
		return nil, runErrorf("query the allocator: received a frame of kind %s, expected a state", pb.FrameKind(reply))
	}
	return state, nil
}

// workloadRows returns a row for each workload, in the columns of workloadsCommand.
func workloadRows(state *pb.State) [][]string {
	var rows [][]string
	for _, workload := range state.Workloads {
		rows = append(rows, []string{
			formatUint(workload.Workload),
			workload.State,
			formatUint(workload.Node),
			workload.Group,
			formatUint(workload.Service),
			formatAmount(workload.Cores),
			formatAmount(workload.Memory),
			formatUint(workload.Binds),
			formatAge(workload.SinceMs),
			workload.Client,
		})
	}
	return rows
}

// nodeRows returns a row for each node, in the columns of nodesCommand.
func nodeRows(state *pb.State) [][]string {
	var rows [][]string
	for _, node := range state.Nodes {
		rows = append(rows, []string{
			formatUint(node.Id),
			node.State,
			node.Connection,
			node.Kind,
			node.Zone,
			formatAmount(node.FreeCores),
			formatAmount(node.FreeMemory),
			formatUint(node.Residents),
			formatUint(node.BindsInFlight),
			formatAge(node.ListedMs),
			node.LastRejection,
		})
	}
	return rows
}

// gangRows returns a row for each gang, in the columns of gangsCommand.
func gangRows(state *pb.State) [][]string {
	var rows [][]string
	for _, gang := range state.Gangs {
		workloads := make([]string, len(gang.Workloads))
		for i, id := range gang.Workloads {
			workloads[i] = formatUint(id)
		}
		rows = append(rows, []string{
			formatUint(gang.RequestId),
			gang.State,
			formatUint(gang.Running),
			formatUint(gang.MinParts),
			formatUint(gang.Parts),
			formatUint(gang.Attempts),
			formatAge(gang.SinceMs),
			gang.Client,
			strings.Join(workloads, " "),
		})
	}
	return rows
}
