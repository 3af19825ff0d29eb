package command

import (
	"errors"
	"strings"
	"time"

	"github.com/spf13/cobra"

	pb "grebeglade/proto/grebeglade/v1"
)

// Printed names of verdicts.
const (
	verdictPlaced        = "placed"
	verdictRejected      = "rejected"
	verdictUnschedulable = "unschedulable"
)

// submission is a request to place a workload or a gang, with its timeouts.
type submission struct {
	frame         *pb.Frame     // the request's frame
	id            uint64        // request ID, which the answer repeats
	key           uint64        // idempotency key; 0 for a gang, whose parts have separate keys
	answerTimeout time.Duration // maximum wait for each frame before the answer
	endTimeout    time.Duration // maximum wait for each frame before the end of the workload or gang
}

// submissionOutcome is the JSON form of the answer to a request, and of the reason why the workload or gang ended.
type submissionOutcome struct {
	Request uint64   `json:"ask"`
	Key     uint64   `json:"key"`
	Verdict string   `json:"verdict"`
	Node    uint32   `json:"node,omitempty"`
	Nodes   []uint32 `json:"nodes,omitempty"` // nodes of a gang's parts, 0 for a part without one
	Reason  string   `json:"reason,omitempty"`
	TookMs  float64  `json:"took_ms"`
	Ended   string   `json:"ended,omitempty"` // reason of the end, "" if not waited for
}

// exchange sends the request and waits for its answer. It returns a runError if the allocator sends a refusal instead.
func (s *submission) exchange(connection *client) (*submissionOutcome, error) {
	start := time.Now()
	if err := connection.send(s.frame); err != nil {
		return nil, err
	}
	for {
		frame, err := connection.receive(s.answerTimeout)
		if err != nil {
			return nil, err
		}
		if refusal := frame.GetRefusal(); refusal != nil {
			return nil, runError{errors.New(refusal.Reason)}
		}
		if answer := frame.GetAnswer(); answer != nil && answer.RequestId == s.id {
			return s.outcome(answer, time.Since(start)), nil
		}
	}
}

// outcome converts an answer; took is the time from sending the request to the answer.
func (s *submission) outcome(answer *pb.Answer, took time.Duration) *submissionOutcome {
	return &submissionOutcome{
		Request: s.id,
		Key:     s.key,
		Verdict: verdictName(answer.Verdict),
		Node:    answer.Node,
		Nodes:   answer.Nodes,
		Reason:  answer.Reason,
		TookMs:  milliseconds(took),
	}
}

// awaitEnd waits until the placed workload or gang has ended, and sets outcome.Ended to the reason.
func (s *submission) awaitEnd(connection *client, outcome *submissionOutcome) error {
	for {
		frame, err := connection.receive(s.endTimeout)
		if err != nil {
			return err
		}
		if ended := frame.GetWorkloadEnded(); ended != nil && ended.RequestId == s.id {
			outcome.Ended = ended.Reason.String()
			return nil
		}
	}
}

// print prints the outcome as text.
func (o *submissionOutcome) print(cmd *cobra.Command) {
	switch {
	case o.Verdict != verdictPlaced:
		cmd.Printf("%s after %.0f ms: %s\n", o.Verdict, o.TookMs, o.Reason)
	case len(o.Nodes) > 0:
		cmd.Printf("placed after %.0f ms, on nodes %s\n", o.TookMs, formatNodes(o.Nodes))
	default:
		cmd.Printf("placed on node %d after %.0f ms\n", o.Node, o.TookMs)
	}
	if o.Ended != "" {
		cmd.Printf("ended: %s\n", o.Ended)
	}
}

// verdictName returns the printed name of a verdict, "" for an unknown one.
func verdictName(verdict pb.Verdict) string {
	switch verdict {
	case pb.Verdict_PLACED:
		return verdictPlaced
	case pb.Verdict_REJECTED:
		return verdictRejected
	case pb.Verdict_UNSCHEDULABLE:
		return verdictUnschedulable
	case pb.Verdict_VERDICT_UNSPECIFIED:
	}
	return ""
}

// formatNodes formats the nodes of a gang's parts in the order of the parts. A part without a node has node 0.
func formatNodes(nodes []uint32) string {
	names := make([]string, len(nodes))
	for i, node := range nodes {
		names[i] = formatUint(node)
		if node == 0 {
			names[i] = "none"
		}
	}
	return strings.Join(names, ", ")
}
