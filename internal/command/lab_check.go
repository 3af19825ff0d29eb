package command

import (
	"os"

	"github.com/spf13/cobra"

	"grebeglade/internal/simulation/audit"
	"grebeglade/internal/simulation/observer"
)

func labCheckCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Audit runs that were recorded with 'lab play --history'",
		Long: "Audits the rules from nothing but what a history holds: frames with their times and directions, connections,\n" +
			"starts and ends of processes. Exit status 0 if they held, 1 if one broke, 2 if a file is truncated, out of order\n" +
			"or malformed.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return checkHistories(c, args, asJSON) },
	}
	jsonFlag(c, &asJSON)
	return c
}

func checkHistories(c *cobra.Command, names []string, asJSON bool) error {
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
			c.Printf("%s: ", name)
			printAudit(c, result.Frames, result.Violations, result.MoreViolations)
		}
	}
	if asJSON {
		if err := printJSON(c, found); err != nil {
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
