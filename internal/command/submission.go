package command

import (
	"errors"
	"time"

	"github.com/spf13/cobra"

	pb "grebeglade/proto/grebeglade/v1"
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
func (s *submission) print(cmd *cobra.Command, asJSON bool) error {
	if asJSON {
		if err := printJSON(cmd, s); err != nil {
			return err
		}
	} else {
		s.printText(cmd)
	}
	if s.Verdict != verdictPlaced {
		return errProblemFound
	}
	return nil
}

func (s *submission) printText(cmd *cobra.Command) {
	switch {
	case s.Verdict != verdictPlaced:
		cmd.Printf("%s after %.0f ms: %s\n", s.Verdict, s.TookMs, s.Reason)
	case len(s.Nodes) > 0:
		cmd.Printf("placed after %.0f ms, on nodes %s\n", s.TookMs, formatNodes(s.Nodes))
	default:
		cmd.Printf("placed on node %d after %.0f ms\n", s.Node, s.TookMs)
	}
	if s.Ended != "" {
		cmd.Printf("ended: %s\n", s.Ended)
	}
}
