package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/internal/simulation"
	"grebeglade/placement"
)

func labCommand() *cobra.Command {
	c := &cobra.Command{Use: "lab", Short: "Play days of trouble with stand-ins for nodes, list and owners"}
	c.AddCommand(labListCommand(), labPlayCommand(), labCheckCommand(), labHuntCommand(), labFleetCommand(), labLoadCommand(), labRunCommand(),
		labCompareCommand(), labReportCommand())
	return c
}

func labListCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "list",
		Short: "Name the day scripts that come with the program",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if asJSON {
				return printJSON(c, simulation.Names())
			}
			rows := [][]string{{"SCRIPT", "WHAT HAPPENS"}}
			for _, name := range simulation.Names() {
				s, err := simulation.Open(name)
				if err != nil {
					return err
				}
				rows = append(rows, []string{name, s.About})
			}
			return printTable(c, rows)
		},
	}
	jsonFlag(c, &asJSON)
	return c
}

func labPlayCommand() *cobra.Command {
	var o simulation.Options
	var virtual, asJSON, verbose bool
	var allocators, nodes int
	var rate, load float64
	var policy string
	var length time.Duration
	var sabotage string
	c := &cobra.Command{
		Use:   "play SCRIPT|FILE",
		Short: "Play a day and audit it",
		Long: "Plays a day script with real allocators against stand-ins, on loopback sockets or in virtual time, and\n" +
			"audits the five rules from the frames that passed. Exit status 0 if they held, 1 if one broke.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := simulation.Open(args[0])
			if err != nil {
				return err
			}
			if allocators < 0 || nodes < 0 || rate < 0 || length < 0 {
				return errors.New("--allocators, --nodes, --rate and --for must not be below 0")
			}
			s.Resize(allocators, nodes)
			if length > 0 {
				s.Stretch(placement.Millis(float64(length) / 1e6))
			}
			if rate > 0 {
				s.Owner.Rate = rate
			}
			if load > 0 {
				s.Load(load)
			}
			switch p := simulation.GangPolicy(policy); p {
			case simulation.Together, simulation.Independent, simulation.ForEver:
				s.Owner.Policy = p
			default:
				return fmt.Errorf("--gangs %q is not known; known are together, independent, for-ever", policy)
			}
			if _, ok := simulation.Sabotages[simulation.Sabotage(sabotage)]; !ok && sabotage != "" {
				known := slices.Sorted(maps.Keys(simulation.Sabotages))
				return fmt.Errorf("--break %q is not known; known are %v", sabotage, known)
			}
			o.Sabotage, o.Log = simulation.Sabotage(sabotage), labLog(c.ErrOrStderr(), verbose)
			r, err := playDay(c, s, o, virtual)
			if err != nil {
				return err
			}
			return showDay(c, r, asJSON)
		},
	}
	f := c.Flags()
	f.Uint64Var(&o.Seed, "seed", 1, "seed of all chance")
	f.BoolVar(&virtual, "virtual", false, "in virtual time: fast, and the same result on every run of a seed")
	f.IntVar(&allocators, "allocators", 0, "so many allocators instead of the script's")
	f.IntVar(&nodes, "nodes", 0, "so many nodes instead of the script's; the load follows")
	f.Float64Var(&rate, "rate", 0, "so many new workloads a second instead of the script's")
	f.DurationVar(&length, "for", 0, "another length of the day; the faults follow")
	f.Float64Var(&load, "load", 0, "ask for that share of the fleet's cores, in the mean: 0.8 for 80%")
	f.StringVar(&policy, "gangs", "together", "how owners ask for groups: together, or to compare independent or for-ever")
	f.StringVar(&sabotage, "break", "", "let the allocators break a rule on purpose, to see the auditor catch it")
	f.StringVar(&o.Trace, "trace", "", "record each allocator into a directory of its own below this one")
	f.StringVar(&o.History, "history", "", "write all that was seen from outside into this file, for 'lab check'")
	f.BoolVar(&verbose, "verbose", false, "show the allocators' log")
	jsonFlag(c, &asJSON)
	return c
}

func labCheckCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Judge days that were written down with 'lab play --history'",
		Long: "Audits the rules from nothing but what a history holds: frames with their times and directions, connections, lives\n" +
			"and deaths of processes. Exit status 0 if they held, 1 if one broke, 2 if a file is cut off, out of order or malformed.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			found := map[string][]simulation.Broken{}
			broken := false
			for _, name := range args {
				f, err := os.Open(name)
				if err != nil {
					return err
				}
				h, err := simulation.ReadHistory(name, f)
				f.Close()
				if err != nil {
					return err
				}
				a := h.Audit()
				found[name], broken = append([]simulation.Broken{}, a.Broken...), broken || len(a.Broken) > 0
				if !asJSON {
					fmt.Fprintf(c.OutOrStdout(), "%s: ", name)
					tellRules(c.OutOrStdout(), a.Frames, a.Broken, a.More)
				}
			}
			if asJSON {
				if err := printJSON(c, found); err != nil {
					return err
				}
			}
			if broken {
				return errWrong
			}
			return nil
		},
	}
	jsonFlag(c, &asJSON)
	return c
}

func labLog(w io.Writer, verbose bool) *slog.Logger {
	if !verbose {
		return nil
	}
	return slog.New(slog.NewTextHandler(w, nil))
}

func playDay(c *cobra.Command, s *simulation.Script, o simulation.Options, virtual bool) (*simulation.Result, error) {
	var r *simulation.Result
	var err error
	if virtual {
		r, err = simulation.PlayVirtual(s, o)
	} else {
		r, err = simulation.PlaySockets(c.Context(), s, o, func(p simulation.Progress) { showProgress(c.ErrOrStderr(), p) })
	}
	if errors.Is(err, context.Canceled) {
		err = errors.New("stopped before the day was over; nothing is judged")
	}
	if err != nil {
		return nil, failure{err}
	}
	return r, nil
}

func showProgress(w io.Writer, p simulation.Progress) {
	fmt.Fprintf(w, "%4.0f of %.0f s: %d asks, %d placed, %d rejected, %d unschedulable, %d waiting\n",
		float64(min(p.At, p.Of))/1000, float64(p.Of)/1000, p.Asks, p.Placed, p.Rejected, p.Unschedulable, p.Waits)
}

func showDay(c *cobra.Command, r *simulation.Result, asJSON bool) error {
	if asJSON {
		if err := printJSON(c, r); err != nil {
			return err
		}
	} else {
		tellDay(c.OutOrStdout(), r)
	}
	if len(r.Broken) > 0 {
		return errWrong
	}
	return nil
}

// tellDay says in plain words what came of a day.
func tellDay(w io.Writer, r *simulation.Result) {
	how := "on loopback sockets"
	if r.Virtual {
		how = "in virtual time"
	}
	fmt.Fprintf(w, "Day %q (%s), seed %d, %s: %d allocators, %d nodes, %.0f s, run in %.1f s.\n",
		r.Name, r.About, r.Seed, how, r.Allocators, r.Nodes, r.DaySeconds, r.RanSeconds)
	fmt.Fprintf(w, "Owners asked %d times for %d workloads. Placed %d, rejected %d, unschedulable %d, withdrawn %d, cut off "+
		"with their allocator or connection %d, without an answer %d.\n", r.Workloads, r.Firsts, r.Placed, r.Rejected,
		r.Unschedulable, r.Withdrawn, r.Cut, r.Unanswered)
	fmt.Fprintf(w, "It took %d binds and %d moves; half of the workloads were placed within %.0f ms, 99%% within %.0f ms.\n",
		r.Binds, r.Moves, r.WaitMedian, r.Wait99)
	if r.Gangs > 0 {
		fmt.Fprintf(w, "Of %d groups %d stood, half of them within %.0f ms, and %d were given up; %.1f%% of the parts' core time went to "+
			"groups that did not stand. Parts of groups left standing: %d.\n", r.Gangs, r.GangsStood, r.GangMedian, r.GangsGivenUp,
			100*r.GangWasted, r.PartialLeft)
	}
	var ends []string
	for _, why := range slices.Sorted(maps.Keys(r.Ended)) {
		ends = append(ends, fmt.Sprintf("%d %s", r.Ended[why], strings.ReplaceAll(strings.ToLower(why), "_", " ")))
	}
	if len(ends) > 0 {
		fmt.Fprintf(w, "Of those placed have ended: %s.\n", strings.Join(ends, ", "))
	}
	tellRules(w, r.Frames, r.Broken, r.MoreBroken)
}

// tellRules says which rules broke, and shows the frames of the first.
func tellRules(w io.Writer, frames int, broken []simulation.Broken, more int) {
	if len(broken) == 0 {
		fmt.Fprintf(w, "All rules held, by the %d frames that passed.\n", frames)
		return
	}
	fmt.Fprintf(w, "RULES WERE BROKEN, %d times:\n", len(broken)+more)
	for _, b := range broken[:min(len(broken), 5)] {
		fmt.Fprintf(w, "  rule %d at %.0f ms: %s (workload %d, node %d)\n", b.Rule, b.At, b.What, b.Workload, b.Node)
		for _, f := range b.Frames {
			fmt.Fprintf(w, "    %s\n", f)
		}
	}
}

func labHuntCommand() *cobra.Command {
	var h simulation.Hunt
	var seconds int
	var dir, sabotage string
	var asJSON bool
	c := &cobra.Command{
		Use:   "hunt --seconds N",
		Short: "Search for days that break a rule, or on which most is lost",
		Long: "Draws days with overlapping faults by chance, plays them in virtual time on all cores, and shrinks each that\n" +
			"breaks a rule to the fewest faults and the smallest size that still break it. Exit status 1 if one does.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if seconds < 0 || h.Days < 0 || seconds+h.Days == 0 || h.Allocators < 1 || h.Nodes < 4 || h.Worst < 0 {
				return errors.New("give --seconds or --days above 0, --allocators of 1 and --nodes of 4 or more")
			}
			if _, ok := simulation.Sabotages[simulation.Sabotage(sabotage)]; !ok && sabotage != "" {
				return fmt.Errorf("--break %q is not known; known are %v", sabotage, slices.Sorted(maps.Keys(simulation.Sabotages)))
			}
			h.Time, h.Sabotage = time.Duration(seconds)*time.Second, simulation.Sabotage(sabotage)
			r, err := h.Run(c.Context(), func(days, finds int) {
				fmt.Fprintf(c.ErrOrStderr(), "%d days, %d break a rule\n", days, finds)
			})
			if err != nil {
				return failure{err}
			}
			if err := writeFinds(dir, r.Finds); err != nil {
				return failure{err}
			}
			if asJSON {
				err = printJSON(c, r)
			} else {
				tellHunt(c.OutOrStdout(), r, dir)
			}
			if err == nil && slices.ContainsFunc(r.Finds, func(f simulation.Find) bool { return f.Rule > 0 }) {
				err = errWrong
			}
			return err
		},
	}
	f := c.Flags()
	f.IntVar(&seconds, "seconds", 0, "hunt for so long; shrinking comes after")
	f.IntVar(&h.Days, "days", 0, "hunt over so many days")
	f.Uint64Var(&h.Seed, "seed", 1, "seed of the days that are drawn")
	f.IntVar(&h.Allocators, "allocators", 16, "allocators of a day, at most")
	f.IntVar(&h.Nodes, "nodes", 24, "nodes of a day, at most")
	f.IntVar(&h.Worst, "worst", 1, "days to keep that break nothing and lose most")
	f.StringVarP(&dir, "output", "o", "", "directory for the finds, as day scripts")
	f.StringVar(&sabotage, "break", "", "let the allocators break a rule on purpose, to see the hunt find it")
	jsonFlag(c, &asJSON)
	return c
}

func writeFinds(dir string, finds []simulation.Find) error {
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, f := range finds {
		name := fmt.Sprintf("rule%d-day%d-seed%d.hcl", f.Rule, f.Day, f.Seed)
		if f.Rule == 0 {
			name = fmt.Sprintf("lost-day%d-seed%d.hcl", f.Day, f.Seed)
		}
		if err := os.WriteFile(filepath.Join(dir, name), []byte(f.Script), 0o644); err != nil {
			return err
		}
	}
	return nil
}

func tellHunt(w io.Writer, r *simulation.HuntReport, dir string) {
	n := r.Nearest
	fmt.Fprintf(w, "%d days in %.0f s. Nearest approach to a limit, which is 1: answers %.3f, drains %.3f, cold nodes %.3f, spread %.3f.\n",
		r.Days, r.Seconds, n.Answer, n.Drain, n.Cold, n.Spread)
	for _, f := range r.Finds {
		if f.Rule > 0 {
			fmt.Fprintf(w, "RULE %d BROKEN on day %d and %d others: %s; shrunk: %s; seed %d\n", f.Rule, f.Day, f.Times-1, f.What, f.Shrunk, f.Seed)
		} else {
			fmt.Fprintf(w, "Most lost on day %d: %.1f%% of the workloads wanted were not placed at their first ask; seed %d\n", f.Day, 100*f.Lost, f.Seed)
		}
	}
	if dir != "" && len(r.Finds) > 0 {
		fmt.Fprintf(w, "Play them again: grebeglade lab play %s --virtual --seed SEED\n", filepath.Join(dir, "NAME.hcl"))
	}
}

func labFleetCommand() *cobra.Command {
	var script, list string
	var nodes int
	var seed uint64
	c := &cobra.Command{
		Use:   "fleet",
		Short: "Run stand-ins for the machine list and nodes, for an allocator started by hand",
		Long: "Runs the machine list and the nodes of a day script on loopback until it is stopped, so that\n" +
			"'grebeglade serve' has something to place on. Nothing goes wrong by itself; stop and start it to see what\n" +
			"allocators do then.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := simulation.Open(script)
			if err != nil {
				return err
			}
			s.Resize(0, max(0, nodes))
			loop, addr, err := simulation.StandFleet(s, seed, list, nil)
			if err != nil {
				return failure{err}
			}
			defer loop.Close()
			fmt.Fprintf(c.OutOrStdout(), "%d nodes run; the machine list answers at %s\n", s.Nodes(), addr)
			<-c.Context().Done()
			return nil
		},
	}
	c.Flags().StringVar(&script, "script", "quiet", "whose nodes to run")
	c.Flags().StringVar(&list, "list", "127.0.0.1:7071", "where the machine list listens")
	c.Flags().IntVar(&nodes, "nodes", 0, "so many nodes instead of the script's")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of what the nodes are like")
	return c
}

func demoCommand() *cobra.Command {
	var length time.Duration
	var asJSON bool
	var o simulation.Options
	c := &cobra.Command{
		Use:   "demo",
		Short: "Play a rough day on loopback sockets, with no file and no other program",
		Long: "Starts a machine list, nodes, owners and two allocators on loopback sockets and plays a rough day:\n" +
			"stalls, a crash, another program on the machines, a burst, slow nodes, a late list, a rolling deploy.\n" +
			"Then audits what passed. Exit status 0 only if every rule held.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if length < time.Second {
				return fmt.Errorf("--for %s is too short for a day; give 1s or more", length)
			}
			s, err := simulation.Open("rough")
			if err != nil {
				return err
			}
			s.Stretch(placement.Millis(float64(length) / 1e6))
			r, err := playDay(c, s, o, false)
			if err != nil {
				return err
			}
			return showDay(c, r, asJSON)
		},
	}
	c.Flags().DurationVar(&length, "for", 20*time.Second, "how long owners ask for workloads")
	c.Flags().StringVar(&o.Trace, "trace", "", "record each allocator into a directory of its own below this one")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the faults and of what is asked for")
	jsonFlag(c, &asJSON)
	return c
}
