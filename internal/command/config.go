package command

import (
	"github.com/spf13/cobra"

	"grebeglade/config"
)

func configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Inspect configuration files"}
	cmd.AddCommand(configCheckCommand())
	return cmd
}

// configCheckCommand defines "config check".
func configCheckCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Report all problems of an allocator's configuration",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			file := args[0]
			configuration, err := config.Load(file)
			if err != nil {
				return err
			}
			return printOutput(cmd, asJSON, configuration, func() { printConfiguration(cmd, file, configuration) })
		},
	}
	jsonFlag(cmd, &asJSON)
	return cmd
}

// printConfiguration prints that a file is valid, and a summary of its content.
func printConfiguration(cmd *cobra.Command, file string, configuration *config.Allocator) {
	cmd.Printf("%s is valid: allocator %s, number %d of %d, listens on %s, discovery service at %s, "+
		"%d groups, %d node kinds\n",
		file,
		configuration.Name,
		configuration.Settings.Ordinal,
		configuration.Settings.Allocators,
		configuration.ListenAddress,
		configuration.DiscoveryAddress,
		len(configuration.GroupNames),
		len(configuration.KindNames))
}
