package command

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/internal/loadgen"
)

var errLoadFlags = errors.New(
	"--connections and --services must be 1 or more, --cores and --pending above 0, --memory and --life not below 0")

type loadOptions struct {
	run    loadgen.Options
	rate   loadgen.Rate
	shape  loadgen.Shape
	seed   uint64
	ramp   float64
	traces []string
	speed  float64
	asJSON bool
}

func labLoadCommand() *cobra.Command {
	var o loadOptions
	c := &cobra.Command{
		Use:   "load --target ADDR",
		Short: "Send requests to a running allocator at a fixed rate, and measure its answers",
		Long: "Sends requests at times that are fixed beforehand, whether or not answers come: at random (Poisson), in bursts,\n" +
			"with a rate that grows, or as recorded in a trace. Latency counts from when a request was due. Ends by itself,\n" +
			"once all are answered. Exit status 1 if an answer is missing, late or given twice, or if the tool itself did not\n" +
			"keep up.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return o.measure(c) },
	}
	f := c.Flags()
	f.StringVar(&o.run.Target, "target", defaultAllocator(), "address of the allocator")
	f.IntVar(&o.run.Connections, "connections", 2, "connections, each a client of its own")
	f.StringVar(&o.run.Name, "name", "load", "name of the clients")
	f.Float64Var(&o.rate.From, "rate", 50, "requests a second")
	f.Float64Var(&o.ramp, "ramp-to", 0, "let the rate grow, or fall, evenly to this one")
	f.DurationVar(&o.rate.For, "for", 20*time.Second, "how long to send requests")
	f.BoolVar(&o.rate.Evenly, "evenly", false, "at even intervals instead of at random")
	f.Float64Var(&o.rate.Burst, "burst", 1, "times as many requests during bursts")
	f.DurationVar(&o.rate.BurstFor, "burst-for", time.Second, "how long a burst lasts")
	f.DurationVar(&o.rate.Every, "burst-every", 5*time.Second, "from the beginning of a burst to that of the next")
	f.StringVar(&o.shape.Group, "group", "serve", "priority group of the workloads")
	f.Float64Var(&o.shape.Cores, "cores", 0.5, "that each requests")
	f.Float64Var(&o.shape.Memory, "memory", 1, "that each requests")
	f.IntVar(&o.shape.Services, "services", 10, "services that they belong to")
	f.DurationVar(&o.shape.PendingTimeout, "pending", 6*time.Second, "pending timeout of a request")
	f.DurationVar(&o.shape.RunTime, "life", 5*time.Second, "how long each runs")
	f.StringSliceVar(&o.traces, "trace", nil, "send what this trace, a file or directory, recorded, at its times; several for several allocators")
	f.Float64Var(&o.speed, "speed", 1, "times as fast as the trace")
	f.Uint64Var(&o.seed, "seed", 1, "seed of the times and services")
	jsonFlag(c, &o.asJSON)
	return c
}

func (o *loadOptions) check() error {
	s := &o.shape
	if o.run.Connections < 1 || s.Services < 1 || !(s.Cores > 0) || s.Memory < 0 || s.PendingTimeout <= 0 || s.RunTime < 0 {
		return errLoadFlags
	}
	return nil
}

func (o *loadOptions) measure(c *cobra.Command) error {
	if err := o.check(); err != nil {
		return err
	}
	schedule, closeSchedule, err := o.schedule(c)
	if err != nil {
		return err
	}
	defer closeSchedule()
	if !o.asJSON {
		o.run.OnProgress = func(p loadgen.Progress) {
			c.PrintErrf("%3.0f s: %d requests sent, %d answered, %d placed\n", p.At.Seconds(), p.Sent, p.Answered, p.Placed)
		}
	}
	result, err := loadgen.Run(c.Context(), schedule, o.run)
	if err != nil {
		return runError{err}
	}
	if o.asJSON {
		if err := printJSON(c, result); err != nil {
			return err
		}
	} else {
		printLoad(c, result)
	}
	if !result.Good() {
		return errProblemFound
	}
	return nil
}

// schedule returns the requests to send, and what to call once all are sent.
func (o *loadOptions) schedule(c *cobra.Command) (s loadgen.Schedule, closeSchedule func(), err error) {
	if len(o.traces) == 0 {
		s, err = o.randomSchedule(c)
		return s, func() {}, err
	}
	files, err := openTraces(c, o.traces)
	if err != nil {
		return nil, nil, err
	}
	s, err = loadgen.FromTrace(files, o.speed, o.shape.RunTime)
	if err != nil {
		files.close()
		return nil, nil, err
	}
	return s, files.close, nil
}

func (o *loadOptions) randomSchedule(c *cobra.Command) (loadgen.Schedule, error) {
	o.rate.To = o.rate.From
	if c.Flags().Changed("ramp-to") {
		o.rate.To = o.ramp
	}
	if err := o.rate.Check(); err != nil {
		return nil, err
	}
	return loadgen.NewRandom(o.rate, o.shape, o.seed), nil
}

func printLoad(c *cobra.Command, r *loadgen.Result) {
	c.Printf("%d requests were due and %d sent in %.1f s: %.1f of %.1f a second.\n", r.Due, r.Sent, r.Seconds, r.SentPerSec, r.DuePerSec)
	c.Printf("Placed %d, rejected %d, unschedulable %d, unanswered %d, answered late %d; %d of those placed have ended.\n",
		r.Placed, r.Rejected, r.Unschedulable, r.Unanswered, r.Late, r.Ended)
	if r.Overrun {
		c.Printf("THE TOOL DID NOT KEEP UP: it sent half of the requests up to %.1f ms and one in a hundred %.1f ms or more late. What\n"+
			"follows is the tool's own delay and not the allocator's; request less, or from more than one machine.\n",
			r.SendDelay.Median, r.SendDelay.P99)
	}
	// As with everything else printed here, a reader who went away is no failure.
	_ = printTable(c, [][]string{
		{"MS FROM WHEN IT WAS DUE", "COUNT", "50%", "90%", "99%", "99.9%", "MOST"},
		latencyRow("to any answer", r.Latency),
		latencyRow("to a yes", r.PlacedLatency),
		latencyRow("until it was sent", r.SendDelay),
	})
	for _, reason := range byFrequency(r.Reasons) {
		c.Printf("%d times: %s\n", r.Reasons[reason], reason)
	}
	for _, wrong := range r.Wrong {
		c.Printf("WRONG: %s\n", wrong)
	}
	if r.Broken != "" {
		c.Printf("A CONNECTION BROKE: %s\n", r.Broken)
	}
}

func latencyRow(name string, l loadgen.Latency) []string {
	row := []string{name, fmt.Sprint(l.Count)}
	for _, ms := range []float64{l.Median, l.P90, l.P99, l.P999, l.Max} {
		row = append(row, fmt.Sprintf("%.2f", ms))
	}
	return row
}

// byFrequency returns the keys with the most frequent first.
func byFrequency(counts map[string]int) []string {
	return slices.SortedFunc(maps.Keys(counts), func(x, y string) int {
		return cmp.Or(cmp.Compare(counts[y], counts[x]), cmp.Compare(x, y))
	})
}
