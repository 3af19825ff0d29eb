package command

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/spf13/cobra"

	pb "grebeglade/proto/grebeglade/v1"
)

const (
	verdictPlaced = "placed"
	endGrace      = time.Hour // how long beyond its expected duration a workload's end is waited for
)

type submitOptions struct {
	to       string
	group    string
	client   string
	gangFile string
	cores    float64
	memory   float64
	service  uint64
	key      uint64
	runsFor  time.Duration
	pending  time.Duration
	wait     bool
	asJSON   bool
}

const submitHelp = `
Requests the placement of one workload and prints its one answer: placed, rejected (a retry does no harm) or
unschedulable (it may have run). Exit status 0 only if it was placed.
`

func submitCommand() *cobra.Command {
	var o submitOptions
	cmd := &cobra.Command{
		Use:   "submit --group NAME --cores N --memory N | submit --gang FILE",
		Short: "Request the placement of a workload, or of a gang that starts together, and print the answer",
		Long:  helpText(submitHelp),
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.gangFile != "" {
				return o.submitGang(cmd)
			}
			return o.submitWorkload(cmd)
		},
	}
	f := cmd.Flags()
	toFlag(cmd, &o.to)
	f.StringVar(&o.group, "group", "", "priority group")
	f.Float64Var(&o.cores, "cores", 0, "cores that it requests")
	f.Float64Var(&o.memory, "memory", 0, "memory that it requests, in the unit of the node kinds")
	f.Uint64Var(&o.service, "service", 1, "service that it belongs to")
	f.Uint64Var(&o.key, "key", 0, "idempotency key; give the same in a retry (default: random)")
	f.DurationVar(&o.runsFor, "runs-for", 10*time.Second, "how long it is expected to run")
	f.DurationVar(&o.pending, "pending", 6*time.Second, "pending timeout: how long to wait for the answer")
	f.StringVar(&o.client, "owner", fmt.Sprintf("submit-%d", os.Getpid()), "name of the client")
	f.BoolVar(&o.wait, "wait", false, "wait until a placed workload has ended")
	jsonFlag(cmd, &o.asJSON)
	f.StringVar(&o.gangFile, "gang", "", "file in HCL with a gang, whose parts start together or not at all")
	return cmd
}

// submitWorkload submits one workload.
func (o *submitOptions) submitWorkload(cmd *cobra.Command) error {
	for _, name := range []string{"group", "cores", "memory"} {
		if !cmd.Flags().Changed(name) {
			return fmt.Errorf("--%s is missing; give --group, --cores and --memory, or --gang FILE", name)
		}
	}
	if o.key == 0 {
		o.key = rand.Uint64()
	}
	connection, err := dial(o.to, pb.Role_CLIENT, o.client)
	if err != nil {
		return err
	}
	defer connection.close()
	request := &pb.PlaceRequest{
		RequestId: rand.Uint64(), Key: o.key, Service: o.service, Group: o.group, Cores: o.cores, Memory: o.memory,
		PendingTimeoutMs: milliseconds(o.pending), ExpectedRuntimeMs: milliseconds(o.runsFor), SentMs: connection.clock(),
	}
	s := submission{Request: request.RequestId, Key: o.key}
	frame := &pb.Frame{Body: &pb.Frame_PlaceRequest{PlaceRequest: request}}
	if err := s.exchange(connection, frame, o.pending+replyTimeout); err != nil {
		return err
	}
	if o.wait && s.Verdict == verdictPlaced {
		if err := s.awaitEnd(connection, o.runsFor+endGrace); err != nil {
			return err
		}
	}
	return s.print(cmd, o.asJSON)
}
