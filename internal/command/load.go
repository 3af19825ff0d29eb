package command

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/internal/loadgen"
)

func labLoadCommand() *cobra.Command {
	var o loadgen.Options
	var rate loadgen.Rate
	var shape loadgen.Shape
	var seed uint64
	var ramp float64
	var files []string
	var speed float64
	var asJSON bool
	c := &cobra.Command{
		Use:   "load --target ADDR",
		Short: "Ask a running allocator for workloads at a fixed pace, and measure its answers",
		Long: "Asks at times that are fixed beforehand, whether or not answers come: by chance (Poisson), in bursts, with a rate\n" +
			"that grows, or as a trace has it. Latency counts from when an ask was due. Stops by itself, once all is answered.\n" +
			"Exit status 1 if an answer is lacking, late or given twice, or if the tool itself did not keep up.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if o.Conns < 1 || shape.Services < 1 || !(shape.Cores > 0) || shape.Memory < 0 || shape.Pending <= 0 || shape.Life < 0 {
				return fmt.Errorf("--connections and --services must be 1 or more, --cores and --pending above 0, --memory and --life not below 0")
			}
			var schedule loadgen.Schedule
			if len(files) > 0 {
				readers, done, err := openTraces(c, files)
				if err != nil {
					return err
				}
				defer done()
				s, err := loadgen.FromTrace(readers, speed, shape.Life)
				if err != nil {
					return err
				}
				schedule = s
			} else {
				if rate.To = rate.From; c.Flags().Changed("ramp-to") {
					rate.To = ramp
				}
				if err := rate.Check(); err != nil {
					return err
				}
				schedule = loadgen.Make(rate, shape, seed)
			}
			if !asJSON {
				o.Told = func(p loadgen.Progress) {
					fmt.Fprintf(c.ErrOrStderr(), "%3.0f s: %d asks sent, %d answered, %d placed\n", p.At.Seconds(), p.Sent, p.Answered, p.Placed)
				}
			}
			r, err := loadgen.Run(c.Context(), schedule, o)
			if err != nil {
				return failure{err}
			}
			if asJSON {
				err = printJSON(c, r)
			} else {
				tellLoad(c.OutOrStdout(), r)
			}
			if err == nil && !r.Good() {
				err = errWrong
			}
			return err
		},
	}
	f := c.Flags()
	f.StringVar(&o.Target, "target", environment("GREBEGLADE_ADDR", "127.0.0.1:7070"), "address of the allocator")
	f.IntVar(&o.Conns, "connections", 2, "connections, each an owner of its own")
	f.StringVar(&o.Name, "name", "load", "what the owners are called")
	f.Float64Var(&rate.From, "rate", 50, "asks a second")
	f.Float64Var(&ramp, "ramp-to", 0, "let the rate grow, or fall, evenly to this one")
	f.DurationVar(&rate.For, "for", 20*time.Second, "how long to ask")
	f.BoolVar(&rate.Evenly, "evenly", false, "at even distances instead of by chance")
	f.Float64Var(&rate.Burst, "burst", 1, "times as many asks during bursts")
	f.DurationVar(&rate.BurstFor, "burst-for", time.Second, "how long a burst lasts")
	f.DurationVar(&rate.Every, "burst-every", 5*time.Second, "from the beginning of a burst to that of the next")
	f.StringVar(&shape.Group, "group", "serve", "priority group of the workloads")
	f.Float64Var(&shape.Cores, "cores", 0.5, "that each asks for")
	f.Float64Var(&shape.Memory, "memory", 1, "that each asks for")
	f.IntVar(&shape.Services, "services", 10, "services that they belong to")
	f.DurationVar(&shape.Pending, "pending", 6*time.Second, "until an owner gives up")
	f.DurationVar(&shape.Life, "life", 5*time.Second, "how long each runs")
	f.StringSliceVar(&files, "trace", nil, "ask for what this trace, file or directory, was asked for, at its times; more than one of several allocators")
	f.Float64Var(&speed, "speed", 1, "times as fast as the trace")
	f.Uint64Var(&seed, "seed", 1, "seed of the times and services")
	jsonFlag(c, &asJSON)
	return c
}

func tellLoad(w io.Writer, r *loadgen.Result) {
	fmt.Fprintf(w, "%d asks were due and %d sent in %.1f s: %.1f of %.1f a second.\n", r.Due, r.Sent, r.Seconds, r.SentPerSec, r.DuePerSec)
	fmt.Fprintf(w, "Placed %d, rejected %d, unschedulable %d, unanswered %d, answered late %d; %d of those placed have ended.\n",
		r.Placed, r.Rejected, r.Unschedulable, r.Unanswered, r.Late, r.Ended)
	if r.Overrun {
		fmt.Fprintf(w, "THE TOOL DID NOT KEEP UP: it sent half of the asks up to %.1f ms and one in a hundred %.1f ms or more late. What\n"+
			"follows is the tool's own delay and not the allocator's; ask for less, or from more than one machine.\n",
			r.SentLate.Median, r.SentLate.P99)
	}
	row := func(name string, l loadgen.Latency) []string {
		return []string{
			name, fmt.Sprint(l.Count), fmt.Sprintf("%.2f", l.Median), fmt.Sprintf("%.2f", l.P90), fmt.Sprintf("%.2f", l.P99),
			fmt.Sprintf("%.2f", l.P999), fmt.Sprintf("%.2f", l.Max),
		}
	}
	_ = writeTable(w, [][]string{ // as with all that is printed here, a reader who went away is no failure

		{"MS FROM WHEN IT WAS DUE", "COUNT", "50%", "90%", "99%", "99.9%", "MOST"},
		row("to any answer", r.All), row("to a yes", r.PlacedIn), row("until it was sent", r.SentLate),
	})
	for _, reason := range slices.SortedFunc(maps.Keys(r.Reasons), func(x, y string) int {
		if d := r.Reasons[y] - r.Reasons[x]; d != 0 {
			return d
		}
		return strings.Compare(x, y)
	}) {
		fmt.Fprintf(w, "%d times: %s\n", r.Reasons[reason], reason)
	}
	for _, wrong := range r.Wrong {
		fmt.Fprintf(w, "WRONG: %s\n", wrong)
	}
	if r.Broken != "" {
		fmt.Fprintf(w, "A CONNECTION BROKE: %s\n", r.Broken)
	}
}
