package command

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/config"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	maxGangPending = placement.Millis(24 * 3600e3) // maximum pending timeout: 24 h
	maxPartCount   = 1000                          // maximum number of workloads of one part block
	gangEndTimeout = 1000 * time.Hour              // fixed, since parts can have different run times
	maxService     = 1 << 50                       // highest service number
	minAmount      = 0.0001                        // minimum cores or memory of a workload
	maxCores       = 1e6
	maxMemory      = 1e9
)

// Values of on_loss: how an allocator handles the loss of a part if a running gang then has fewer than "need" parts.
const (
	onLossUndo    = "undo"    // stops the other parts
	onLossReplace = "replace" // places the part again, unless it is run-once; stops the other parts if not placed
)

// Default timeouts and run time of a gang.
const (
	defaultGangPending    = placement.Millis(10e3)
	defaultReplaceTimeout = placement.Millis(3e3)
	defaultPartRuntime    = placement.Millis(10e3)
)

// submitGang submits the gang that gangFile describes.
func (o *submitOptions) submitGang(cmd *cobra.Command) error {
	request, err := readGang(o.gangFile)
	if err != nil {
		return err
	}
	connection, err := dial(o.to, pb.Role_CLIENT, o.client)
	if err != nil {
		return err
	}
	defer connection.close()
	request.SentMs = connection.elapsedMs()
	pending := time.Duration(request.PendingTimeoutMs * float64(time.Millisecond))
	return o.submit(cmd, connection, &submission{
		frame:         &pb.Frame{Body: &pb.Frame_GangRequest{GangRequest: request}},
		id:            request.RequestId,
		answerTimeout: pending + replyTimeout,
		endTimeout:    gangEndTimeout,
	})
}

// readGang reads the request for a gang from a file. If its content is invalid, the error is a config.FileError with
// all problems.
func readGang(file string) (*pb.GangRequest, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read the gang file: %w", err)
	}
	root, err := config.Parse(file, src)
	if err != nil {
		return nil, err
	}
	pending := root.Duration("pending", defaultGangPending)
	request := &pb.GangRequest{
		RequestId:        rand.Uint64(),
		PendingTimeoutMs: float64(pending),
		Spread:           root.OneOf("spread", "", "", "node", "cell", "zone"),
		Replace:          root.OneOf("on_loss", onLossUndo, onLossUndo, onLossReplace) == onLossReplace,
		ReplaceTimeoutMs: float64(root.Duration("replace_within", defaultReplaceTimeout)),
	}
	for _, part := range root.Blocks("part") {
		request.Parts = append(request.Parts, readPart(part)...)
	}
	if len(request.Parts) == 0 {
		root.AddProblem("part", "no part",
			`write at least one: part { group = "NAME"  cores = 1  memory = 2  count = 3 }`)
	}
	request.MinParts = uint32(root.Int("need", len(request.Parts), 1, max(1, len(request.Parts))))
	if pending <= 0 || pending > maxGangPending {
		root.AddProblem("pending", "pending is out of range", `write a time above 0 and up to 24h, such as "10s"`)
	}
	return request, root.Finish()
}

// readPart reads a part block into one request for each workload. The requests differ only in their idempotency keys.
func readPart(part *config.Block) []*pb.PlaceRequest {
	var workloads []*pb.PlaceRequest
	for range part.Int("count", 1, 1, maxPartCount) {
		workloads = append(workloads, &pb.PlaceRequest{
			Key:               rand.Uint64(),
			Group:             part.String("group", ""),
			Service:           uint64(part.Int("service", 1, 1, maxService)),
			Cores:             part.Float("cores", 1, minAmount, maxCores),
			Memory:            part.Float("memory", 1, minAmount, maxMemory),
			ExpectedRuntimeMs: float64(part.Duration("runs_for", defaultPartRuntime)),
		})
	}
	if part.String("group", "") == "" {
		part.AddProblem("group", "a part without a priority group", `write group = "NAME"`)
	}
	return workloads
}
