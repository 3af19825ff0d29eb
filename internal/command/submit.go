package command

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/spf13/cobra"

	pb "grebeglade/proto/grebeglade/v1"
)

// endGrace is the time to wait for a workload's end beyond its expected run time.
const endGrace = time.Hour

type submitOptions struct {
	to       string // address of the allocator
	client   string // name of the client
	workload workloadOptions
	gangFile string // path of a gang file, "" to submit a single workload
	wait     bool   // wait for the end of a placed workload or gang
	asJSON   bool
}

// workloadOptions describe the workload to submit.
type workloadOptions struct {
	group   string
	cores   float64
	memory  float64
	service uint64
	key     uint64        // idempotency key, 0 for a random one
	runsFor time.Duration // expected run time
	pending time.Duration // pending timeout
}

const submitHelp = `
Requests the placement of one workload or gang and prints the answer: placed, rejected (a retry is safe) or
unschedulable (it may have run). Exit status 0 only if it was placed.
`

// submitCommand defines "submit".
func submitCommand() *cobra.Command {
	var options submitOptions
	cmd := &cobra.Command{
		Use:   "submit --group NAME --cores N --memory N | submit --gang FILE",
		Short: "Request the placement of a workload, or of a gang that starts together, and print the answer",
		Long:  helpText(submitHelp),
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.gangFile != "" {
				return options.submitGang(cmd)
			}
			return options.submitWorkload(cmd)
		},
	}
	flags := cmd.Flags()
	toFlag(cmd, &options.to)
	options.workload.addFlags(cmd)
	flags.StringVar(&options.client, "owner", fmt.Sprintf("submit-%d", os.Getpid()), "name of the client")
	flags.BoolVar(&options.wait, "wait", false, "wait until the placed workload or gang has ended")
	jsonFlag(cmd, &options.asJSON)
	flags.StringVar(&options.gangFile, "gang", "",
		"HCL file that describes a gang, whose parts start together or not at all")
	return cmd
}

func (o *workloadOptions) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&o.group, "group", "", "priority group")
	flags.Float64Var(&o.cores, "cores", 0, "cores of the workload")
	flags.Float64Var(&o.memory, "memory", 0, "memory of the workload, in the unit of the node kinds")
	flags.Uint64Var(&o.service, "service", 1, "service that the workload belongs to")
	flags.Uint64Var(&o.key, "key", 0, "idempotency key; give the same in a retry (default: random)")
	flags.DurationVar(&o.runsFor, "runs-for", 10*time.Second, "expected run time")
	flags.DurationVar(&o.pending, "pending", 6*time.Second, "pending timeout: the maximum time until the answer")
}

// request returns the request to place the workload, with a random id, and a random key if none is given.
func (o *workloadOptions) request() *pb.PlaceRequest {
	key := o.key
	if key == 0 {
		key = rand.Uint64()
	}
	return &pb.PlaceRequest{
		RequestId:         rand.Uint64(),
		Key:               key,
		Service:           o.service,
		Group:             o.group,
		Cores:             o.cores,
		Memory:            o.memory,
		PendingTimeoutMs:  milliseconds(o.pending),
		ExpectedRuntimeMs: milliseconds(o.runsFor),
	}
}

// submitWorkload submits the workload that the flags describe.
func (o *submitOptions) submitWorkload(cmd *cobra.Command) error {
	for _, name := range []string{"group", "cores", "memory"} {
		if !cmd.Flags().Changed(name) {
			return fmt.Errorf("--%s is missing; give --group, --cores and --memory, or --gang FILE", name)
		}
	}
	connection, err := dial(o.to, pb.Role_CLIENT, o.client)
	if err != nil {
		return err
	}
	defer connection.close()
	request := o.workload.request()
	request.SentMs = connection.elapsedMs()
	return o.submit(cmd, connection, &submission{
		frame:         &pb.Frame{Body: &pb.Frame_PlaceRequest{PlaceRequest: request}},
		id:            request.RequestId,
		key:           request.Key,
		answerTimeout: o.workload.pending + replyTimeout,
		endTimeout:    o.workload.runsFor + endGrace,
	})
}

// submit sends a request and prints its outcome. The error is errProblemFound unless the verdict is placed.
func (o *submitOptions) submit(cmd *cobra.Command, connection *client, request *submission) error {
	outcome, err := request.exchange(connection)
	if err != nil {
		return err
	}
	placed := outcome.Verdict == verdictPlaced
	if o.wait && placed {
		if err := request.awaitEnd(connection, outcome); err != nil {
			return err
		}
	}
	if err := printOutput(cmd, o.asJSON, outcome, func() { outcome.print(cmd) }); err != nil {
		return err
	}
	return problemIf(!placed)
}
