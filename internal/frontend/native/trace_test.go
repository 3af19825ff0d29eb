package native

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	pb "grebeglade/proto/grebeglade/v1"
	"grebeglade/trace"
)

// fakeSink counts the records of a trace by what they hold.
type fakeSink map[string]int

func (s fakeSink) Put(records []*trace.Record) {
	for _, r := range records {
		s[strings.TrimPrefix(fmt.Sprintf("%T", r.Body), "*tracepb.Record_")]++
	}
}

func TestTrace_RecordsWhatHappensAroundThePlacementModule(t *testing.T) {
	sink := fakeSink{}
	x := newFixture(t, func(c *Config) { c.Trace = sink })
	n := x.node(1)
	x.request(1, "serve")
	x.receive(n, &pb.Frame{Body: &pb.Frame_OfferReply{OfferReply: &pb.OfferReply{
		Bind: x.offer(n).Bind, Reason: pb.Reason_INSUFFICIENT_CORES, Text: "full",
	}}})
	x.runUntil(6000)
	x.requestGang(2)
	x.f.FlushTrace()
	for kind, count := range map[string]int{
		"Start": 1, "DiscoveryUpdated": 2, "OfferRejected": 1, "RequestAnswered": 1, "RequestReceived": 3, "GangRequested": 1,
	} {
		assert.Equal(t, count, sink[kind], kind)
	}
	assert.NotZero(t, sink["GangState"])
	assert.NotZero(t, sink["Schedule"])
}
