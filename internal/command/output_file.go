package command

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// outputFlag adds the flag that names the file to write.
func outputFlag(cmd *cobra.Command, out *string) {
	cmd.Flags().StringVarP(out, "output", "o", "", "file to write; it must not exist yet")
	requireFlag(cmd, "output")
}

// writeOutput creates the file that a command writes, which must not exist yet. If writing fails, the file is removed.
func writeOutput(name string, write func(*os.File) error) error {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
	if errors.Is(err, os.ErrExist) {
		return fmt.Errorf("%s is there already; name another file with -o, or remove it", name)
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
