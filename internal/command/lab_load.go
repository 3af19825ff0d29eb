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
	ramp   float64 // requests per second at the end; ignored unless --ramp-to is given
	shape  loadgen.Shape
	seed   uint64
	traces []string // trace files or directories to replay instead of random requests
	speed  float64  // replay speed as a multiple of the recorded one
	asJSON bool
}

const labLoadHelp = `
Sends requests at scheduled times, whether or not earlier ones are answered: at random (Poisson), in bursts, at
a rate that changes, or as recorded in a trace. Latency is measured from the scheduled time. Ends when all
requests are answered or have timed out. Exit status 1 if an answer is missing, late or duplicated, if a
connection was lost, or if the tool itself did not keep up.
`

// labLoadCommand defines "lab load".
func labLoadCommand() *cobra.Command {
	var options loadOptions
	cmd := &cobra.Command{
		Use:   "load --target ADDR",
		Short: "Send requests to a running allocator at scheduled times, and measure its answers",
		Long:  helpText(labLoadHelp),
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return options.measure(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&options.run.Target, "target", defaultAllocator(), "address of the allocator")
	flags.IntVar(&options.run.Connections, "connections", 2, "number of connections, each a separate client")
	flags.StringVar(&options.run.Name, "name", "load", "prefix of the clients' names")
	options.addRateFlags(cmd)
	options.addShapeFlags(cmd)
	flags.StringSliceVar(&options.traces, "trace", nil,
		"trace file or directory whose requests to send at their recorded times; several for several allocators")
	flags.Float64Var(&options.speed, "speed", 1, "replay speed of a trace, as a multiple of the recorded one")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the times and services")
	jsonFlag(cmd, &options.asJSON)
	return cmd
}

// addRateFlags adds the flags for the request rate and its duration.
func (o *loadOptions) addRateFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.Float64Var(&o.rate.From, "rate", 50, "requests a second")
	flags.Float64Var(&o.ramp, "ramp-to", 0, "requests a second at the end, reached by linear change")
	flags.DurationVar(&o.rate.For, "for", 20*time.Second, "how long to send requests")
	flags.BoolVar(&o.rate.Evenly, "evenly", false, "send at even intervals instead of at random")
	flags.Float64Var(&o.rate.Burst, "burst", 1, "factor of the rate during bursts")
	flags.DurationVar(&o.rate.BurstFor, "burst-for", time.Second, "how long a burst lasts")
	flags.DurationVar(&o.rate.Every, "burst-every", 5*time.Second, "interval between the starts of bursts")
}

// addShapeFlags adds the flags that describe the requested workloads.
func (o *loadOptions) addShapeFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&o.shape.Group, "group", "serve", "priority group of the workloads")
	flags.Float64Var(&o.shape.Cores, "cores", 0.5, "cores of each workload")
	flags.Float64Var(&o.shape.Memory, "memory", 1, "memory of each workload, in the unit of the node kinds")
	flags.IntVar(&o.shape.Services, "services", 10, "number of services that the workloads belong to")
	flags.DurationVar(&o.shape.PendingTimeout, "pending", 6*time.Second, "pending timeout of a request")
	flags.DurationVar(&o.shape.RunTime, "life", 5*time.Second, "how long each workload runs")
}

// check validates the flags. NaN for the cores is rejected, since it is not above 0.
func (o *loadOptions) check() error {
	counted := o.run.Connections >= 1 && o.shape.Services >= 1
	sized := o.shape.Cores > 0 && !(o.shape.Memory < 0)
	timed := o.shape.PendingTimeout > 0 && o.shape.RunTime >= 0
	if !counted || !sized || !timed {
		return errLoadFlags
	}
	return nil
}

// measure sends the requests and prints the result. The error is errProblemFound if loadgen.Result.Good is false.
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
		o.run.OnProgress = func(p loadgen.Progress) { printLoadProgress(cmd, p) }
	}
	result, err := loadgen.Run(cmd.Context(), schedule, o.run)
	if err != nil {
		return runError{err}
	}
	if err := printOutput(cmd, o.asJSON, result, func() { printLoad(cmd, result) }); err != nil {
		return err
	}
	return problemIf(!result.Good())
}

// schedule returns the requests to send, and a function that closes the trace files.
func (o *loadOptions) schedule(cmd *cobra.Command) (schedule loadgen.Schedule, closeSchedule func(), err error) {
	if len(o.traces) == 0 {
		schedule, err = o.randomSchedule(cmd)
		return schedule, func() {}, err
	}
	files, err := openTraces(cmd, o.traces)
	if err != nil {
		return nil, nil, err
	}
	schedule, err = loadgen.FromTrace(files, o.speed, o.shape.RunTime)
	if err != nil {
		files.close()
		return nil, nil, err
	}
	return schedule, files.close, nil
}

// randomSchedule returns random requests. The rate is constant unless --ramp-to is given.
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
