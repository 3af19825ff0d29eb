package command

import (
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"grebeglade/config"
	"grebeglade/internal/frontend/native"
	"grebeglade/internal/replay"
	"grebeglade/placement"
)

const traceReplayHelp = `
Prints "identical" if the module decides everything as recorded, or shows the first decision that differs, with what
came before. Exit status 1 if one differs. Files of one allocator must be given from its start on.

With --what-if the module gets other settings, and the requests are counted that it decides differently. What
nodes would have answered is unknown: recorded answers are used where a workload is bound as it was, wherever
that is; where the two differ the workload is left out from there on.
`

// traceReplayCommand defines "trace replay".
func traceReplayCommand() *cobra.Command {
	var whatIf string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "replay FILE|DIR...",
		Short: "Call the placement module with the recorded calls again and compare every decision",
		Long:  helpText(traceReplayHelp),
		Args:  cobra.MinimumNArgs(1),
		RunE: withTraces(func(cmd *cobra.Command, files traceFiles) error {
			return replayTraces(cmd, files, whatIf, asJSON)
		}),
	}
	cmd.Flags().StringVar(&whatIf, "what-if", "", "an allocator's configuration to decide with instead")
	jsonFlag(cmd, &asJSON)
	return cmd
}

// replayTraces decides the recorded calls again and prints a report for each allocator. The error is errProblemFound if
// a decision differs although the settings are those recorded.
func replayTraces(cmd *cobra.Command, files traceFiles, whatIf string, asJSON bool) error {
	var options replay.Options
	if whatIf != "" {
		configuration, err := config.Load(whatIf)
		if err != nil {
			return err
		}
		options.Settings = func(recorded placement.Settings) (placement.Settings, error) {
			return replaceSettings(recorded, configuration)
		}
	}
	reports, err := replay.RunFiles(files, options)
	if err != nil {
		return runError{err}
	}
	printText := func() { printReplays(cmd, reports) }
	if err := printOutput(cmd, asJSON, reports, printText); err != nil {
		return err
	}
	return problemIf(slices.ContainsFunc(reports, differs))
}

// differs reports whether a replay with the recorded settings decided something other than what was recorded.
func differs(report *replay.Report) bool { return report.WhatIf == nil && !report.Identical() }

// replaceSettings returns the settings of a configuration for an allocator of a trace, which keeps its ordinal among
// the others. Groups and kinds must be as many as recorded: records refer to them by number.
func replaceSettings(recorded placement.Settings, configuration *config.Allocator) (placement.Settings, error) {
	settings := native.WithSpreadVariants(configuration.Settings)
	if len(settings.Groups) != len(recorded.Groups) || len(settings.NodeKinds) != len(recorded.NodeKinds) {
		variants := len(settings.Groups) / len(configuration.GroupNames) // of each configured group
		return recorded, fmt.Errorf(
			"the settings have %d groups and %d kinds, the trace has %d and %d; they must be as many",
			len(configuration.GroupNames), len(settings.NodeKinds),
			len(recorded.Groups)/variants, len(recorded.NodeKinds))
	}
	settings.Allocators = recorded.Allocators
	settings.Ordinal = recorded.Ordinal
	return settings, nil
}

func printReplays(cmd *cobra.Command, reports []*replay.Report) {
	for _, report := range reports {
		printReplay(cmd, report)
	}
}

// printReplay prints whether an allocator's decisions are the same, or how those by other settings differ.
func printReplay(cmd *cobra.Command, report *replay.Report) {
	switch {
	case report.WhatIf != nil:
		counts := report.WhatIf
		cmd.Printf("%s, with other settings: of %d asks %d go to the same node, %d to another, "+
			"%d are rejected that were bound, %d are bound that were rejected, %d are rejected as before.\n"+
			"What nodes would have answered is unknown.\n",
			report.Source, counts.Requests, counts.SameNode, counts.OtherNode,
			counts.NowRejected, counts.NowBound, counts.StillRejected)
	case report.Identical():
		cmd.Printf("%s: identical, %d decisions\n", report.Source, report.Decisions)
	default:
		printDifference(cmd, report)
	}
}

// printDifference prints the first decision that differs, and the records before it.
func printDifference(cmd *cobra.Command, report *replay.Report) {
	difference := report.Differ
	cmd.Printf("%s: DIFFERS after %d decisions, at revision %d\n"+
		"  call:     %s\n  recorded: %s\n  decided:  %s\n  before it:\n",
		report.Source, report.Same, difference.Revision, difference.Call, difference.Recorded, difference.Decided)
	for _, before := range difference.Before {
		cmd.Printf("    %s\n", before)
	}
}
