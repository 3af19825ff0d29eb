package command

import (
	"os"

	"github.com/spf13/cobra"

	"grebeglade/internal/simulation/audit"
	"grebeglade/internal/simulation/observer"
)

const labCheckHelp = `
Audits the rules from nothing but what a history holds: frames with their times and directions, connections,
starts and ends of processes. Exit status 0 if they held, 1 if one broke, 2 if a file is truncated, out of order
or malformed.
`

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

func checkHistories(cmd *cobra.Command, names []string, asJSON bool) error {
	found := map[string][]audit.Violation{}
	anyBroken := false
	for _, name := range names {
		h, err := readHistory(name)
		if err != nil {
			return err
		}
		result := audit.Check(h)
		found[name] = append([]audit.Violation{}, result.Violations...) // never null in JSON
		anyBroken = anyBroken || len(result.Violations) > 0
		if !asJSON {
			cmd.Printf("%s: ", name)
			printAudit(cmd, result.Frames, result.Violations, result.MoreViolations)
		}
	}
	if asJSON {
		if err := printJSON(cmd, found); err != nil {
			return err
		}
	}
	if anyBroken {
		return errProblemFound
	}
	return nil
}

func readHistory(name string) (*observer.History, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // it was only read
	return observer.ReadHistory(name, f)
}
