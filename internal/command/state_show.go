package command

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/internal/storage"
)

// stateShowCommand defines "state show".
func stateShowCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "show DIR",
		Short: "List the workloads that may have run, according to a state directory; changes nothing",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			contents, err := inspectState(args[0])
			if err != nil {
				return err
			}
			return printBinds(cmd, contents, asJSON)
		},
	}
	jsonFlag(cmd, &asJSON)
	return cmd
}

// printBinds prints the live binds of a state directory as JSON or as a table. They include expired binds that the
// allocator has not removed yet.
func printBinds(cmd *cobra.Command, contents *storage.Contents, asJSON bool) error {
	binds := []durableBind{} // never null in JSON
	rows := [][]string{{"KEY", "GROUP", "LAST NODE", "BIND", "KNOWN UNTIL"}}
	for _, entry := range contents.LiveBinds {
		bind := durableBind{
			Key:         entry.Key,
			Group:       entry.Group,
			Node:        entry.Node,
			Incarnation: entry.Incarnation,
			Bind:        entry.Number,
			ExpiresAt:   time.UnixMilli(int64(entry.ExpiresUnixMs)).UTC(),
		}
		binds = append(binds, bind)
		rows = append(rows, bind.row())
	}
	if asJSON {
		return printJSON(cmd, binds)
	}
	return printTable(cmd, rows)
}

// durableBind is the JSON form of a bind in a state directory.
type durableBind struct {
	Key         uint64    `json:"key"`
	Group       string    `json:"group"`
	Node        uint32    `json:"node"`
	Incarnation uint64    `json:"incarnation"`
	Bind        uint32    `json:"bind"`
	ExpiresAt   time.Time `json:"until"` // expiry of the stored bind
}

// row returns the table row for a bind.
func (b *durableBind) row() []string {
	return []string{
		formatUint(b.Key),
		b.Group,
		formatUint(b.Node),
		fmt.Sprintf("%d of life %d", b.Bind, b.Incarnation),
		b.ExpiresAt.Format(time.RFC3339),
	}
}
