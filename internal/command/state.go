package command

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"grebeglade/internal/storage"
)

func stateCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "state", Short: "Inspect and repair an allocator's state directory"}
	cmd.AddCommand(stateCheckCommand(), stateShowCommand(), stateRepairCommand())
	return cmd
}

// openStateDir opens a state directory, which must exist: storage.OpenDir would create it.
func openStateDir(path string) (storage.Disk, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("no state directory: %w; the setting state.dir names the one of an allocator", err)
	}
	if !info.IsDir() {
		return nil, fmt.Errorf("%s is no directory; the setting state.dir names the one of an allocator", path)
	}
	return storage.OpenDir(path)
}

// inspectState reads a state directory without changing it. If the directory is damaged, the error is a runError, since
// the input is good.
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
