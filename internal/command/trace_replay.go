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
Prints "identical" if the module makes every decision as recorded; otherwise prints the first decision that differs
and the records before it. Exit status 1 if a decision differs. The files of an allocator must begin at its start.

With --what-if the module uses other settings, and the requests that it decides differently are counted. The
replies of nodes to other decisions are unknown: as long as a workload's decisions are of the recorded kind, the
recorded replies are used, whichever node a bind is to; from the first difference on the workload is left out.
`

// traceReplayCommand defines "trace replay".
func traceReplayCommand() *cobra.Command {
	var whatIf string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "replay FILE|DIR...",
		Short: "Repeat the recorded calls of the placement module and compare every decision",
		Long:  helpText(traceReplayHelp),
		Args:  cobra.MinimumNArgs(1),
		RunE: withTraces(func(cmd *cobra.Command, files traceFiles) error {
			return replayTraces(cmd, files, whatIf, asJSON)
		}),
	}
	cmd.Flags().StringVar(&whatIf, "what-if", "", "allocator configuration whose settings replace the recorded ones")
	jsonFlag(cmd, &asJSON)
	return cmd
}

// replayTraces repeats the recorded calls and prints a report for each allocator. The error is errProblemFound if a
// decision with the recorded settings differs.
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

// differs reports whether a replay with the recorded settings made a decision that differs from the recorded one.
func differs(report *replay.Report) bool { return report.WhatIf == nil && !report.Identical() }

// replaceSettings returns the settings of a configuration with the recorded allocator count and ordinal. The numbers of
// groups and kinds must be the recorded ones, since records refer to groups and kinds by index.
func replaceSettings(recorded placement.Settings, configuration *config.Allocator) (placement.Settings, error) {
	settings := native.WithSpreadVariants(configuration.Settings)
	if len(settings.Groups) != len(recorded.Groups) || len(settings.NodeKinds) != len(recorded.NodeKinds) {
		variants := len(settings.Groups) / len(configuration.GroupNames) // spread variants of each configured group
		return recorded, fmt.Errorf(
			"the settings have %d groups and %d kinds, the trace has %d and %d; the numbers must be equal",
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

// printReplay prints whether an allocator's decisions are identical, or the counts of a replay with other settings.
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
