package native

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	pb "grebeglade/proto/grebeglade/v1"
	"grebeglade/trace"
)

// fakeSink counts the records of a trace by kind.
type fakeSink map[string]int

func (s fakeSink) Put(records []*trace.Record) {
	for _, record := range records {
		s[strings.TrimPrefix(fmt.Sprintf("%T", record.Body), "*tracepb.Record_")]++
	}
}

func TestTrace_RecordsEventsOutsidePlacementModule(t *testing.T) {
	sink := fakeSink{}
	harness := newHarness(t, func(c *Config) { c.Trace = sink })
	nodeConn := harness.startNode(1)
	harness.request(1, idempotent)
	harness.receive(nodeConn, &pb.Frame{Body: &pb.Frame_OfferReply{OfferReply: &pb.OfferReply{
		Bind:   harness.offer(nodeConn).Bind,
		Reason: pb.Reason_INSUFFICIENT_CORES,
		Text:   "full",
	}}})
	harness.advanceTo(6000)
	harness.requestGang(2)
	harness.FlushTrace()
	for kind, count := range map[string]int{
		"Start":            1,
		"DiscoveryUpdated": 2,
		"OfferRejected":    1,
		"RequestAnswered":  1,
		"RequestReceived":  3,
		"GangRequested":    1,
	} {
		assert.Equal(t, count, sink[kind], kind)
	}
	assert.NotZero(t, sink["GangState"])
	assert.NotZero(t, sink["Schedule"])
}
