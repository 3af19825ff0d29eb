package command

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// outputFlag adds the required flag --output, the file to write.
func outputFlag(cmd *cobra.Command, out *string) {
	cmd.Flags().StringVarP(out, "output", "o", "", "file to write; it must not exist yet")
	requireFlag(cmd, "output")
}

// writeOutput creates a command's output file, which must not exist, and fills it with write. It removes the file if
// writing fails.
func writeOutput(name string, write func(*os.File) error) error {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
	if errors.Is(err, os.ErrExist) {
		return fmt.Errorf("%s already exists; remove it, or give another file with -o", name)
	}
	if err != nil {
		return fmt.Errorf("create the output file: %w", err)
	}
	err = write(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return runErrorf("write %s: %w", name, errors.Join(err, os.Remove(name)))
	}
	return nil
}
