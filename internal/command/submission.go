package command

import (
	"errors"
	"strings"
	"time"

	"github.com/spf13/cobra"

	pb "grebeglade/proto/grebeglade/v1"
)

// Verdicts as they are printed.
const (
	verdictPlaced        = "placed"
	verdictRejected      = "rejected"
	verdictUnschedulable = "unschedulable"
)

// submission is a request to place a workload or a gang.
type submission struct {
	frame         *pb.Frame
	id            uint64
	key           uint64        // 0 for a gang, whose parts have keys of their own
	answerTimeout time.Duration // from when the request is sent
	endTimeout    time.Duration // from the answer to the end of what was placed
}

// submissionOutcome is the answer to a request, and the end of what was placed.
type submissionOutcome struct {
	Request uint64   `json:"ask"`
	Key     uint64   `json:"key"`
	Verdict string   `json:"verdict"`
	Node    uint32   `json:"node,omitempty"`
	Nodes   []uint32 `json:"nodes,omitempty"` // of a gang's parts
	Reason  string   `json:"reason,omitempty"`
	TookMs  float64  `json:"took_ms"`
	Ended   string   `json:"ended,omitempty"`
}

// exchange sends the request and waits for its answer. The error is a runError if the allocator refuses the connection.
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

// outcome returns the outcome by an answer that took so long.
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

// awaitEnd waits until what was placed has ended, and sets why.
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

// verdictName returns a verdict as it is printed, "" for one that this version does not know.
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

// formatNodes names the nodes of a gang's parts in their order.
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
