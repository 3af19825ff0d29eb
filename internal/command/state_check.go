package command

import (
	"github.com/spf13/cobra"
)

// stateCheckCommand defines "state check".
func stateCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check DIR",
		Short: "Read a state directory and report whether it is intact; changes nothing",
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return checkState(cmd, args[0]) },
	}
}

func checkState(cmd *cobra.Command, path string) error {
	contents, err := inspectState(path)
	if err != nil {
		return err
	}
	cmd.Printf("%s is good: %d files, %d keys known, %d bytes at the end that a crash cut off.\n",
		path, len(contents.Files), len(contents.LiveBinds), contents.TruncatedBytes)
	return nil
}
