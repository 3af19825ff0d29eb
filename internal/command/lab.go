package command

import (
	"github.com/spf13/cobra"

	"grebeglade/internal/simulation/scenario"
)

func labCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "lab", Short: "Run scenarios with faults against emulated nodes, discovery service and clients"}
	cmd.AddCommand(
		labListCommand(), labPlayCommand(), labCheckCommand(), labHuntCommand(), labFleetCommand(), labLoadCommand(),
		labRunCommand(), labCompareCommand(), labReportCommand(),
	)
	return cmd
}

func labListCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List the scenarios that come with the program",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if asJSON {
				return printJSON(cmd, scenario.Names())
			}
			rows := [][]string{{"SCRIPT", "WHAT HAPPENS"}}
			for _, name := range scenario.Names() {
				s, err := scenario.Open(name)
				if err != nil {
					return err
				}
				rows = append(rows, []string{name, s.About})
			}
			return printTable(cmd, rows)
		},
	}
	jsonFlag(cmd, &asJSON)
	return cmd
}
