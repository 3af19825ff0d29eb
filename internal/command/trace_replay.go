package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"grebeglade/config"
	"grebeglade/internal/frontend/native"
	"grebeglade/internal/replay"
	"grebeglade/placement"
)

func traceReplayCommand() *cobra.Command {
	var whatIf string
	var asJSON bool
	c := &cobra.Command{
		Use:   "replay FILE|DIR...",
		Short: "Call the placement module with the recorded calls again and compare every decision",
		Long: "Prints \"identical\" if the module decides everything as recorded, or shows the first decision that differs, with what\n" +
			"came before. Exit status 1 if one differs. Files of one allocator must be given from its start on.\n\n" +
			"With --what-if the module gets other settings, and the requests are counted that it decides differently. What\n" +
			"nodes would have answered is unknown: recorded answers are used where a workload is bound as it was, wherever\n" +
			"that is; where the two differ the workload is left out from there on.",
		Args: cobra.MinimumNArgs(1),
		RunE: withTraces(func(c *cobra.Command, files traceFiles) error { return replayTraces(c, files, whatIf, asJSON) }),
	}
	c.Flags().StringVar(&whatIf, "what-if", "", "an allocator's configuration to decide with instead")
	jsonFlag(c, &asJSON)
	return c
}

func replayTraces(c *cobra.Command, files traceFiles, whatIf string, asJSON bool) error {
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
	if err := printReplays(c, reports, asJSON); err != nil {
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

func printReplays(c *cobra.Command, reports []*replay.Report, asJSON bool) error {
	if asJSON {
		return printJSON(c, reports)
	}
	for _, r := range reports {
		printReplay(c, r)
	}
	return nil
}

func printReplay(c *cobra.Command, r *replay.Report) {
	switch {
	case r.WhatIf != nil:
		w := r.WhatIf
		c.Printf("%s, with other settings: of %d asks %d go to the same node, %d to another, %d are rejected that were bound, "+
			"%d are bound that were rejected, %d are rejected as before.\nWhat nodes would have answered is unknown.\n",
			r.Source, w.Requests, w.SameNode, w.OtherNode, w.NowRejected, w.NowBound, w.StillRejected)
	case r.Identical():
		c.Printf("%s: identical, %d decisions\n", r.Source, r.Decisions)
	default:
		d := r.Differ
		c.Printf("%s: DIFFERS after %d decisions, at revision %d\n  call:     %s\n  recorded: %s\n  decided:  %s\n  before it:\n",
			r.Source, r.Same, d.Revision, d.Call, d.Recorded, d.Decided)
		for _, before := range d.Before {
			c.Printf("    %s\n", before)
		}
	}
}

func traceExtractCommand() *cobra.Command {
	var workload uint32
	c := &cobra.Command{
		Use:   "extract FILE|DIR... --workload ID",
		Short: "Print the few calls that a decision rests on, as a test in Go",
		Args:  cobra.MinimumNArgs(1),
		RunE: withTraces(func(c *cobra.Command, files traceFiles) error {
			x, err := replay.ReproduceFiles(files, workload)
			if err != nil {
				return runError{err}
			}
			return x.Print(c.OutOrStdout())
		}),
	}
	c.Flags().Uint32Var(&workload, "workload", 0, "whose decision")
	requireFlag(c, "workload")
	return c
}
