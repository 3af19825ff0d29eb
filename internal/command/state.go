package command

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/internal/storage"
)

func stateCommand() *cobra.Command {
	c := &cobra.Command{Use: "state", Short: "Inspect and repair an allocator's state directory"}
	c.AddCommand(stateCheckCommand(), stateShowCommand(), stateRepairCommand())
	return c
}

// openStateDir opens a directory that must exist.
func openStateDir(path string) (storage.Disk, error) {
	if info, err := os.Stat(path); err != nil || !info.IsDir() {
		return nil, fmt.Errorf("%s is no directory; the setting state.dir names the one of an allocator", path)
	}
	return storage.OpenDir(path)
}

// inspectState reads a directory without changing it. A damaged one is something wrong, not bad input.
func inspectState(path string) (*storage.Contents, error) {
	disk, err := openStateDir(path)
	if err != nil {
		return nil, err
	}
	contents, err := storage.Inspect(disk)
	if err != nil {
		return nil, runError{err}
	}
	return contents, nil
}

func stateCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check DIR",
		Short: "Read a state directory and report whether it is intact; changes nothing",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			contents, err := inspectState(args[0])
			if err != nil {
				return err
			}
			c.Printf("%s is good: %d files, %d keys known, %d bytes at the end that a crash cut off.\n",
				args[0], len(contents.Files), len(contents.LiveBinds), contents.TruncatedBytes)
			return nil
		},
	}
}

// durableBind is a bind as JSON shows it.
type durableBind struct {
	Key         uint64    `json:"key"`
	Group       string    `json:"group"`
	Node        uint32    `json:"node"`
	Incarnation uint64    `json:"incarnation"`
	Bind        uint32    `json:"bind"`
	ExpiresAt   time.Time `json:"until"`
}

func (b *durableBind) row() []string {
	return []string{
		fmt.Sprint(b.Key), b.Group, fmt.Sprint(b.Node), fmt.Sprintf("%d of life %d", b.Bind, b.Incarnation),
		b.ExpiresAt.Format(time.RFC3339),
	}
}

func stateShowCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "show DIR",
		Short: "List the workloads that may have run according to a state directory; changes nothing",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			contents, err := inspectState(args[0])
			if err != nil {
				return err
			}
			return printBinds(c, contents, asJSON)
		},
	}
	jsonFlag(c, &asJSON)
	return c
}

func printBinds(c *cobra.Command, contents *storage.Contents, asJSON bool) error {
	binds := []durableBind{}
	rows := [][]string{{"KEY", "GROUP", "LAST NODE", "BIND", "KNOWN UNTIL"}}
	for _, entry := range contents.LiveBinds {
		b := durableBind{
			Key: entry.Key, Group: entry.Group, Node: entry.Node, Incarnation: entry.Incarnation, Bind: entry.Number,
			ExpiresAt: time.UnixMilli(int64(entry.ExpiresUnixMs)).UTC(),
		}
		binds = append(binds, b)
		rows = append(rows, b.row())
	}
	if asJSON {
		return printJSON(c, binds)
	}
	return printTable(c, rows)
}

func stateRepairCommand() *cobra.Command {
	var drop bool
	c := &cobra.Command{
		Use:   "repair DIR",
		Short: "Report what a repair of a damaged state directory would drop, or drop it",
		Long: "Names the place of the damage and what follows it. With --drop, truncates the file there and sets later ones aside;\n" +
			"the original of each stays beside it under a name that ends in .damaged. A run-once workload whose bind is dropped may\n" +
			"be started a second time if its client retries. No allocator may run in the directory meanwhile.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return repairState(c, args[0], drop) },
	}
	c.Flags().BoolVar(&drop, "drop", false, "set aside what cannot be read and everything after it")
	return c
}

func repairState(c *cobra.Command, path string, drop bool) error {
	disk, err := openStateDir(path)
	if err != nil {
		return err
	}
	repair, err := storage.PlanRepair(disk)
	if err != nil {
		return runError{err}
	}
	if repair == nil {
		c.Printf("%s is intact; there is nothing to repair.\n", path)
		return nil
	}
	c.Printf("%s is damaged at byte %d; %d good records follow, and these files: %v.\n",
		repair.File, repair.Offset, repair.LostEntries, repair.DroppedFiles)
	if !drop {
		c.Println("Nothing is changed. Give --drop to have all of that set aside.")
		return errProblemFound
	}
	if err := repair.Apply(disk); err != nil {
		return runError{errors.Join(errors.New("the repair stopped half way"), err)}
	}
	c.Println("It is set aside, under names that end in .damaged.")
	return nil
}
