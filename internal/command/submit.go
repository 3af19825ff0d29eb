package command

import (
	"errors"
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

var verdictNames = map[pb.Verdict]string{
	pb.Verdict_PLACED:        verdictPlaced,
	pb.Verdict_REJECTED:      "rejected",
	pb.Verdict_UNSCHEDULABLE: "unschedulable",
}

// submission is the answer to a request, and the end of what was placed.
type submission struct {
	Request uint64   `json:"ask"`
	Key     uint64   `json:"key"`
	Verdict string   `json:"verdict"`
	Node    uint32   `json:"node,omitempty"`
	Nodes   []uint32 `json:"nodes,omitempty"` // of a gang's parts
	Reason  string   `json:"reason,omitempty"`
	TookMs  float64  `json:"took_ms"`
	Ended   string   `json:"ended,omitempty"`
}

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

func submitCommand() *cobra.Command {
	var o submitOptions
	c := &cobra.Command{
		Use:   "submit --group NAME --cores N --memory N | submit --gang FILE",
		Short: "Request the placement of a workload, or of a gang that starts together, and print the answer",
		Long: "Requests the placement of one workload and prints its one answer: placed, rejected (a retry does no harm) or\n" +
			"unschedulable (it may have run). Exit status 0 only if it was placed.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if o.gangFile != "" {
				return o.submitGang(c)
			}
			return o.submitWorkload(c)
		},
	}
	f := c.Flags()
	toFlag(c, &o.to)
	f.StringVar(&o.group, "group", "", "priority group")
	f.Float64Var(&o.cores, "cores", 0, "cores that it requests")
	f.Float64Var(&o.memory, "memory", 0, "memory that it requests, in the unit of the node kinds")
	f.Uint64Var(&o.service, "service", 1, "service that it belongs to")
	f.Uint64Var(&o.key, "key", 0, "idempotency key; give the same in a retry (default: random)")
	f.DurationVar(&o.runsFor, "runs-for", 10*time.Second, "how long it is expected to run")
	f.DurationVar(&o.pending, "pending", 6*time.Second, "pending timeout: how long to wait for the answer")
	f.StringVar(&o.client, "owner", fmt.Sprintf("submit-%d", os.Getpid()), "name of the client")
	f.BoolVar(&o.wait, "wait", false, "wait until a placed workload has ended")
	jsonFlag(c, &o.asJSON)
	f.StringVar(&o.gangFile, "gang", "", "file in HCL with a gang, whose parts start together or not at all")
	return c
}

// submitWorkload submits one workload.
func (o *submitOptions) submitWorkload(c *cobra.Command) error {
	for _, name := range []string{"group", "cores", "memory"} {
		if !c.Flags().Changed(name) {
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
	return s.print(c, o.asJSON)
}

// exchange sends a request and waits for its answer.
func (s *submission) exchange(connection *client, request *pb.Frame, timeout time.Duration) error {
	began := time.Now()
	if err := connection.send(request); err != nil {
		return err
	}
	for {
		f, err := connection.receive(timeout)
		if err != nil {
			return err
		}
		if r := f.GetRefusal(); r != nil {
			return runError{errors.New(r.Reason)}
		}
		if a := f.GetAnswer(); a != nil && a.RequestId == s.Request {
			s.Verdict, s.Node, s.Nodes, s.Reason = verdictNames[a.Verdict], a.Node, a.Nodes, a.Reason
			s.TookMs = milliseconds(time.Since(began))
			return nil
		}
	}
}

// awaitEnd waits until what was placed has ended.
func (s *submission) awaitEnd(connection *client, timeout time.Duration) error {
	for {
		f, err := connection.receive(timeout)
		if err != nil {
			return err
		}
		if o := f.GetWorkloadEnded(); o != nil && o.RequestId == s.Request {
			s.Ended = o.Reason.String()
			return nil
		}
	}
}

// print prints the outcome. The error is errProblemFound if nothing was placed.
func (s *submission) print(c *cobra.Command, asJSON bool) error {
	if asJSON {
		if err := printJSON(c, s); err != nil {
			return err
		}
	} else {
		s.printText(c)
	}
	if s.Verdict != verdictPlaced {
		return errProblemFound
	}
	return nil
}

func (s *submission) printText(c *cobra.Command) {
	switch {
	case s.Verdict != verdictPlaced:
		c.Printf("%s after %.0f ms: %s\n", s.Verdict, s.TookMs, s.Reason)
	case len(s.Nodes) > 0:
		c.Printf("placed after %.0f ms, on nodes %s\n", s.TookMs, formatNodes(s.Nodes))
	default:
		c.Printf("placed on node %d after %.0f ms\n", s.Node, s.TookMs)
	}
	if s.Ended != "" {
		c.Printf("ended: %s\n", s.Ended)
	}
}
