package command

import (
	"github.com/spf13/cobra"

	"grebeglade/internal/simulation/scenario"
)

// labCommand defines "lab".
func labCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "lab",
		Short: "Run scenarios with faults against emulated nodes, discovery service and clients",
	}
	cmd.AddCommand(
		labListCommand(),
		labPlayCommand(),
		labCheckCommand(),
		labHuntCommand(),
		labFleetCommand(),
		labLoadCommand(),
		labRunCommand(),
		labCompareCommand(),
		labReportCommand(),
	)
	return cmd
}

// labListCommand defines "lab list".
func labListCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List the built-in scenarios",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if asJSON {
				return printJSON(cmd, scenario.Names())
			}
			return printScenarios(cmd)
		},
	}
	jsonFlag(cmd, &asJSON)
	return cmd
}

// printScenarios prints the name and description of each built-in scenario.
func printScenarios(cmd *cobra.Command) error {
	rows := [][]string{{"SCRIPT", "WHAT HAPPENS"}}
	for _, name := range scenario.Names() {
		script, err := scenario.Open(name)
		if err != nil {
			return err
		}
		rows = append(rows, []string{name, script.About})
	}
	return printTable(cmd, rows)
}
