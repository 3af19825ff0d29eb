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
