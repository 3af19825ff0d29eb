package command

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"grebeglade/internal/simulation/audit"
	"grebeglade/internal/simulation/observer"
)

const labCheckHelp = `
Audits the rules from the events in a history alone: frames with their times and directions, connections, starts
and ends of processes. Exit status 0 if all rules held, 1 if one was broken, 2 if a file is truncated, out of
order or malformed.
`

// labCheckCommand defines "lab check".
func labCheckCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "check FILE...",
		Short: "Audit runs that were recorded with 'lab play --history'",
		Long:  helpText(labCheckHelp),
		Args:  cobra.MinimumNArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return checkHistories(cmd, args, asJSON) },
	}
	jsonFlag(cmd, &asJSON)
	return cmd
}

// checkHistories audits history files and prints the violations in each. The error is errProblemFound if there are any.
func checkHistories(cmd *cobra.Command, names []string, asJSON bool) error {
	violations := map[string][]audit.Violation{} // key: file
	anyBroken := false
	for _, name := range names {
		history, err := readHistory(name)
		if err != nil {
			return err
		}
		result := audit.Check(history)
		violations[name] = append([]audit.Violation{}, result.Violations...) // never null in JSON
		anyBroken = anyBroken || len(result.Violations) > 0
		if !asJSON {
			cmd.Printf("%s: ", name)
			printAudit(cmd, result.Frames, result.Violations, result.MoreViolations)
		}
	}
	if asJSON {
		if err := printJSON(cmd, violations); err != nil {
			return err
		}
	}
	return problemIf(anyBroken)
}

func readHistory(name string) (*observer.History, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("read the history: %w", err)
	}
	defer func() { _ = file.Close() }() // opened only for reading
	return observer.ReadHistory(name, file)
}
