package command

import (
	"github.com/spf13/cobra"

	"grebeglade/trace"
)

// traceVerifyCommand defines "trace verify".
func traceVerifyCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "verify FILE|DIR...",
		Short: "Read each file to its end and report its problems",
		Args:  cobra.MinimumNArgs(1),
		RunE: withTraces(func(cmd *cobra.Command, files traceFiles) error {
			return verifyTraces(cmd, files, asJSON)
		}),
	}
	jsonFlag(cmd, &asJSON)
	return cmd
}

// verifyTraces checks files and prints their problems. The error is errProblemFound if there are any.
func verifyTraces(cmd *cobra.Command, files traceFiles, asJSON bool) error {
	var checks []*trace.Check
	anyWrong := false
	for _, file := range files {
		check := trace.Verify(file)
		checks = append(checks, check)
		anyWrong = anyWrong || len(check.Wrong) > 0
		if !asJSON {
			printCheck(cmd, check)
		}
	}
	if asJSON {
		if err := printJSON(cmd, checks); err != nil {
			return err
		}
	}
	return problemIf(anyWrong)
}

func printCheck(cmd *cobra.Command, check *trace.Check) {
	cmd.Printf("%d records in %d blocks, index %s\n", check.Records, check.Blocks, check.Index)
	for _, wrong := range check.Wrong {
		cmd.Printf("  %s\n", wrong)
	}
}
