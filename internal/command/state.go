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
	c := &cobra.Command{Use: "state", Short: "Look at what an allocator keeps for after a crash"}
	c.AddCommand(stateCheckCommand(), stateShowCommand(), stateRepairCommand())
	return c
}

// stateDir opens a directory that must be there.
func stateDir(path string) (storage.Disk, error) {
	if info, err := os.Stat(path); err != nil || !info.IsDir() {
		return nil, fmt.Errorf("%s is no directory; the setting state.dir names the one of an allocator", path)
	}
	return storage.OpenDir(path)
}

// readState reads a directory; a damaged one is something wrong, not bad input.
func readState(path string) (*storage.Contents, error) {
	d, err := stateDir(path)
	if err != nil {
		return nil, err
	}
	f, err := storage.Inspect(d)
	if err != nil {
		return nil, failure{err}
	}
	return f, nil
}

func stateCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check DIR",
		Short: "Read a state directory and say whether it is whole; changes nothing",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			f, err := readState(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s is good: %d files, %d keys known, %d bytes at the end that a crash cut off.\n",
				args[0], len(f.Files), len(f.LiveBinds), f.TruncatedBytes)
			return nil
		},
	}
}

// keptKey is a key as JSON shows it.
type keptKey struct {
	Key         uint64    `json:"key"`
	Group       string    `json:"group"`
	Node        uint32    `json:"node"`
	Incarnation uint64    `json:"incarnation"`
	Bind        uint32    `json:"bind"`
	Until       time.Time `json:"until"`
}

func stateShowCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "show DIR",
		Short: "List the workloads that may have run, by a state directory; changes nothing",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			f, err := readState(args[0])
			if err != nil {
				return err
			}
			keys, rows := []keptKey{}, [][]string{{"KEY", "GROUP", "LAST NODE", "BIND", "KNOWN UNTIL"}}
			for _, k := range f.LiveBinds {
				key := keptKey{
					k.Key, k.Group, k.Node, k.Incarnation, k.Number,
					time.UnixMilli(int64(k.UntilMs)).UTC(),
				}
				keys = append(keys, key)
				rows = append(rows, []string{
					fmt.Sprint(key.Key), key.Group, fmt.Sprint(key.Node), fmt.Sprintf("%d of life %d", key.Bind, key.Incarnation),
					key.Until.Format(time.RFC3339),
				})
			}
			if asJSON {
				return printJSON(c, keys)
			}
			return printTable(c, rows)
		},
	}
	jsonFlag(c, &asJSON)
	return c
}

func stateRepairCommand() *cobra.Command {
	var really bool
	c := &cobra.Command{
		Use:   "repair DIR",
		Short: "Say what a repair of a damaged state directory would drop, or drop it",
		Long: "Names the place of the damage and what stands behind it. With --drop, cuts the file there and puts later ones aside;\n" +
			"the whole text of each stays beside it under a name that ends in .damaged. A run-once workload whose bind is dropped may\n" +
			"be started a second time if its owner asks again. No allocator may run in the directory meanwhile.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			d, err := stateDir(args[0])
			if err != nil {
				return err
			}
			r, err := storage.PlanRepair(d)
			if err != nil {
				return failure{err}
			}
			if r == nil {
				fmt.Fprintf(c.OutOrStdout(), "%s is whole; there is nothing to repair.\n", args[0])
				return nil
			}
			fmt.Fprintf(c.OutOrStdout(), "%s is damaged at byte %d; %d good records stand behind, and these files: %v.\n", r.File, r.Offset, r.LostEntries, r.DroppedFiles)
			if !really {
				fmt.Fprintln(c.OutOrStdout(), "Nothing is changed. Give --drop to have all of that put aside.")
				return errWrong
			}
			if err := r.Apply(d); err != nil {
				return failure{errors.Join(errors.New("the repair stopped half way"), err)}
			}
			fmt.Fprintln(c.OutOrStdout(), "It is put aside, under names that end in .damaged.")
			return nil
		},
	}
	c.Flags().BoolVar(&really, "drop", false, "put aside what cannot be read and all behind it")
	return c
}
