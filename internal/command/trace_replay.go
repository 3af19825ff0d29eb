package command

import (
	"fmt"

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

func traceReplayCommand() *cobra.Command {
	var whatIf string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "replay FILE|DIR...",
		Short: "Call the placement module with the recorded calls again and compare every decision",
		Long:  helpText(traceReplayHelp),
		Args:  cobra.MinimumNArgs(1),
		RunE:  withTraces(func(cmd *cobra.Command, files traceFiles) error { return replayTraces(cmd, files, whatIf, asJSON) }),
	}
	cmd.Flags().StringVar(&whatIf, "what-if", "", "an allocator's configuration to decide with instead")
	jsonFlag(cmd, &asJSON)
	return cmd
}

func replayTraces(cmd *cobra.Command, files traceFiles, whatIf string, asJSON bool) error {
	var o replay.Options
	if whatIf != "" {
		configuration, err := config.Load(whatIf)
		if err != nil {
			return err
		}
		o.Settings = func(recorded placement.Settings) (placement.Settings, error) {
			return replaceSettings(recorded, configuration)
		}
	}
	reports, err := replay.RunFiles(files, o)
	if err != nil {
		return runError{err}
	}
	if err := printReplays(cmd, reports, asJSON); err != nil {
		return err
	}
	for _, r := range reports {
		if r.WhatIf == nil && !r.Identical() {
			return errProblemFound
		}
	}
	return nil
}

// replaceSettings returns the settings of a configuration for an allocator of a trace, which keeps its place among the
// others. Groups and kinds must be as many as recorded: records refer to them by number.
func replaceSettings(recorded placement.Settings, configuration *config.Allocator) (placement.Settings, error) {
	s := native.WithSpreadVariants(configuration.Settings)
	if len(s.Groups) != len(recorded.Groups) || len(s.NodeKinds) != len(recorded.NodeKinds) {
		variants := len(s.Groups) / len(configuration.GroupNames) // of each configured group
		return recorded, fmt.Errorf("the settings have %d groups and %d kinds, the trace has %d and %d; they must be as many",
			len(configuration.GroupNames), len(s.NodeKinds), len(recorded.Groups)/variants, len(recorded.NodeKinds))
	}
	s.Allocators, s.Ordinal = recorded.Allocators, recorded.Ordinal
	return s, nil
}

func printReplays(cmd *cobra.Command, reports []*replay.Report, asJSON bool) error {
	if asJSON {
		return printJSON(cmd, reports)
	}
	for _, r := range reports {
		printReplay(cmd, r)
	}
	return nil
}

func printReplay(cmd *cobra.Command, r *replay.Report) {
	switch {
	case r.WhatIf != nil:
		w := r.WhatIf
		cmd.Printf("%s, with other settings: of %d asks %d go to the same node, %d to another, %d are rejected that were bound, "+
			"%d are bound that were rejected, %d are rejected as before.\nWhat nodes would have answered is unknown.\n",
			r.Source, w.Requests, w.SameNode, w.OtherNode, w.NowRejected, w.NowBound, w.StillRejected)
	case r.Identical():
		cmd.Printf("%s: identical, %d decisions\n", r.Source, r.Decisions)
	default:
		d := r.Differ
		cmd.Printf("%s: DIFFERS after %d decisions, at revision %d\n  call:     %s\n  recorded: %s\n  decided:  %s\n  before it:\n",
			r.Source, r.Same, d.Revision, d.Call, d.Recorded, d.Decided)
		for _, before := range d.Before {
			cmd.Printf("    %s\n", before)
		}
	}
}
