package command

import (
	"github.com/spf13/cobra"

	"grebeglade/internal/storage"
)

const stateRepairHelp = `
Reports the position of the damage, the number of valid records after it in the file, and the later logs. With
--drop, drops all of these: a damaged log keeps only what precedes the damage, a damaged snapshot nothing. The
original files are kept under names that end in .damaged. A run-once workload whose bind is dropped may be started a
second time if its client retries. No allocator may use the directory during the repair.
`

// stateRepairCommand defines "state repair".
func stateRepairCommand() *cobra.Command {
	var drop bool
	cmd := &cobra.Command{
		Use:   "repair DIR",
		Short: "Report what a repair of a damaged state directory would drop, or drop it",
		Long:  helpText(stateRepairHelp),
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return repairState(cmd, args[0], drop) },
	}
	cmd.Flags().BoolVar(&drop, "drop", false, "drop the damaged records and all that follow, and keep the original files")
	return cmd
}

// repairState prints the plan of a repair, and applies it if drop is set. The error is errProblemFound if the directory
// is damaged and drop is not set.
func repairState(cmd *cobra.Command, path string, drop bool) error {
	disk, err := openStateDir(path)
	if err != nil {
		return err
	}
	repair, err := storage.PlanRepair(disk)
	if err != nil {
		return runError{err}
	}
	if repair == nil {
		cmd.Printf("%s is intact; there is nothing to repair.\n", path)
		return nil
	}
	cmd.Printf("%s is damaged at byte %d; %d good records follow, and these files: %v.\n",
		repair.File, repair.Offset, repair.LostEntries, repair.DroppedFiles)
	if !drop {
		cmd.Println("Nothing is changed. Give --drop to have all of that set aside.")
		return errProblemFound
	}
	if err := repair.Apply(disk); err != nil {
		return runErrorf("the repair is incomplete: %w", err)
	}
	cmd.Println("It is set aside, under names that end in .damaged.")
	return nil
}
