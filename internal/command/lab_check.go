package command

import (
	"os"

	"github.com/spf13/cobra"

	"grebeglade/internal/simulation"
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
	found := map[string][]simulation.Broken{}
	anyBroken := false
	for _, name := range names {
		h, err := readHistory(name)
		if err != nil {
			return err
		}
		audit := h.Audit()
		found[name] = append([]simulation.Broken{}, audit.Broken...) // never null in JSON
		anyBroken = anyBroken || len(audit.Broken) > 0
		if !asJSON {
			c.Printf("%s: ", name)
			printAudit(c, audit.Frames, audit.Broken, audit.More)
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

func readHistory(name string) (*simulation.History, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // it was only read
	return simulation.ReadHistory(name, f)
}
