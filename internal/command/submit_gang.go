package command

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/config"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	maxGangPending = placement.Millis(24 * 3600e3)
	maxPartCount   = 1000             // workloads of one part block
	gangEndTimeout = 1000 * time.Hour // parts have no common duration to go by
)

// readGang reads the request for a gang from a file.
func readGang(file string) (*pb.GangRequest, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	root, err := config.Parse(file, src)
	if err != nil {
		return nil, err
	}
	pending := root.Duration("pending", 10e3)
	request := &pb.GangRequest{
		RequestId:        rand.Uint64(),
		PendingTimeoutMs: float64(pending),
		Spread:           root.OneOf("spread", "", "", "node", "cell", "zone"),
		Replace:          root.OneOf("on_loss", "undo", "undo", "replace") == "replace",
		ReplaceTimeoutMs: float64(root.Duration("replace_within", 3e3)),
	}
	for _, part := range root.Blocks("part") {
		request.Parts = append(request.Parts, readPart(part)...)
	}
	if len(request.Parts) == 0 {
		root.AddProblem("part", "no part", `write at least one: part { group = "NAME"  cores = 1  memory = 2  count = 3 }`)
	}
	request.MinParts = uint32(root.Int("need", len(request.Parts), 1, max(1, len(request.Parts))))
	if pending <= 0 || pending > maxGangPending {
		root.AddProblem("pending", "pending is no time to wait", `write one such as "10s"`)
	}
	return request, root.Finish()
}

// readPart reads the workloads of a part block, which are alike but for their keys.
func readPart(b *config.Block) []*pb.PlaceRequest {
	var workloads []*pb.PlaceRequest
	for range b.Int("count", 1, 1, maxPartCount) {
		workloads = append(workloads, &pb.PlaceRequest{
			Key:               rand.Uint64(),
			Group:             b.String("group", ""),
			Service:           uint64(b.Int("service", 1, 1, 1<<50)),
			Cores:             b.Float("cores", 1, 0.0001, 1e6),
			Memory:            b.Float("memory", 1, 0.0001, 1e9),
			ExpectedRuntimeMs: float64(b.Duration("runs_for", 10e3)),
		})
	}
	if b.String("group", "") == "" {
		b.AddProblem("group", "a part without a priority group", `write group = "NAME"`)
	}
	return workloads
}

// submitGang submits the gang of a file.
func (o *submitOptions) submitGang(c *cobra.Command) error {
	request, err := readGang(o.gangFile)
	if err != nil {
		return err
	}
	connection, err := dial(o.to, pb.Role_CLIENT, o.client)
	if err != nil {
		return err
	}
	defer connection.close()
	request.SentMs = connection.clock()
	s := submission{Request: request.RequestId}
	frame := &pb.Frame{Body: &pb.Frame_GangRequest{GangRequest: request}}
	pending := time.Duration(request.PendingTimeoutMs * float64(time.Millisecond))
	if err := s.exchange(connection, frame, pending+replyTimeout); err != nil {
		return err
	}
	if o.wait && s.Verdict == verdictPlaced {
		if err := s.awaitEnd(connection, gangEndTimeout); err != nil {
			return err
		}
	}
	return s.print(c, o.asJSON)
}

// formatNodes names the nodes of a gang's parts in their order.
func formatNodes(nodes []uint32) string {
	names := make([]string, len(nodes))
	for i, n := range nodes {
		names[i] = fmt.Sprint(n)
		if n == 0 {
			names[i] = "none"
		}
	}
	return strings.Join(names, ", ")
}
