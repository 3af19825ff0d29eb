package command

import (
	"github.com/spf13/cobra"
)

const traceHelp = `
Traces hold the requests that allocators received and the decisions that they made. Record them with --trace DIR.
Where a command takes files, a directory means all trace files in it and in its subdirectories, those of each
allocator in the order in which they were written.
`

// traceCommand defines "trace".
func traceCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "trace",
		Short: "Read, cut, merge, anonymise and replay traces",
		Long:  helpText(traceHelp),
	}
	cmd.AddCommand(
		traceSummaryCommand(),
		traceCutCommand(),
		traceMergeCommand(),
		traceAnonymiseCommand(),
		traceVerifyCommand(),
		traceExportCommand(),
		traceShowCommand(),
		traceReplayCommand(),
		traceExtractCommand(),
	)
	return cmd
}
