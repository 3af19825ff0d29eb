package command

import (
	"errors"
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

const labLoadHelp = `
Sends requests at times that are fixed beforehand, whether or not answers come: at random (Poisson), in bursts,
with a rate that grows, or as recorded in a trace. Latency counts from when a request was due. Ends by itself,
once all are answered. Exit status 1 if an answer is missing, late or given twice, or if the tool itself did not
keep up.
`

func labLoadCommand() *cobra.Command {
	var o loadOptions
	cmd := &cobra.Command{
		Use:   "load --target ADDR",
		Short: "Send requests to a running allocator at a fixed rate, and measure its answers",
		Long:  helpText(labLoadHelp),
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return o.measure(cmd) },
	}
	f := cmd.Flags()
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
	jsonFlag(cmd, &o.asJSON)
	return cmd
}

func (o *loadOptions) check() error {
	s := &o.shape
	if o.run.Connections < 1 || s.Services < 1 || !(s.Cores > 0) || s.Memory < 0 || s.PendingTimeout <= 0 || s.RunTime < 0 {
		return errLoadFlags
	}
	return nil
}

func (o *loadOptions) measure(cmd *cobra.Command) error {
	if err := o.check(); err != nil {
		return err
	}
	schedule, closeSchedule, err := o.schedule(cmd)
	if err != nil {
		return err
	}
	defer closeSchedule()
	if !o.asJSON {
		o.run.OnProgress = func(p loadgen.Progress) {
			cmd.PrintErrf("%3.0f s: %d requests sent, %d answered, %d placed\n", p.At.Seconds(), p.Sent, p.Answered, p.Placed)
		}
	}
	result, err := loadgen.Run(cmd.Context(), schedule, o.run)
	if err != nil {
		return runError{err}
	}
	if o.asJSON {
		if err := printJSON(cmd, result); err != nil {
			return err
		}
	} else {
		printLoad(cmd, result)
	}
	if !result.Good() {
		return errProblemFound
	}
	return nil
}

// schedule returns the requests to send, and what to call once all are sent.
func (o *loadOptions) schedule(cmd *cobra.Command) (s loadgen.Schedule, closeSchedule func(), err error) {
	if len(o.traces) == 0 {
		s, err = o.randomSchedule(cmd)
		return s, func() {}, err
	}
	files, err := openTraces(cmd, o.traces)
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

func (o *loadOptions) randomSchedule(cmd *cobra.Command) (loadgen.Schedule, error) {
	o.rate.To = o.rate.From
	if cmd.Flags().Changed("ramp-to") {
		o.rate.To = o.ramp
	}
	if err := o.rate.Check(); err != nil {
		return nil, err
	}
	return loadgen.NewRandom(o.rate, o.shape, o.seed), nil
}
