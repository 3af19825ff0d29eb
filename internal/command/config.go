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

func configCheckCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Report everything that is wrong with an allocator's configuration",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			configuration, err := config.Load(args[0])
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(cmd, configuration)
			}
			cmd.Printf("%s is valid: allocator %s, number %d of %d, listens on %s, discovery service at %s, %d groups, %d node kinds\n",
				args[0], configuration.Name, configuration.Settings.Ordinal, configuration.Settings.Allocators,
				configuration.ListenAddress, configuration.DiscoveryAddress, len(configuration.GroupNames), len(configuration.KindNames))
			return nil
		},
	}
	jsonFlag(cmd, &asJSON)
	return cmd
}
