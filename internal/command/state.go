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

// openStateDir opens a state directory. It first checks that the directory exists, since storage.OpenDir creates it.
func openStateDir(path string) (storage.Disk, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("open the state directory: %w; an allocator's setting state.dir has its path", err)
	}
	if !info.IsDir() {
		return nil, fmt.Errorf("%s is not a directory; an allocator's setting state.dir has the right path", path)
	}
	return storage.OpenDir(path)
}

// inspectState reads a state directory without changing it. If the directory exists but is damaged or cannot be read,
// the error is a runError, whose exit code is exitProblem and not exitBadInput.
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
