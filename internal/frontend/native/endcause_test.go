package native

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/gang"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

func TestEndCauseOf_NodeLostOrStoppedIt_Interrupted(t *testing.T) {
	for number := range pb.Reason_name {
		reason := pb.Reason(number)
		want := endFinished
		if reason == pb.Reason_LOST || reason == pb.Reason_STOPPED || reason == pb.Reason_LEASE_EXPIRED {
			want = endInterrupted
		}
		assert.Equal(t, want, endCauseOf(reason), reason)
	}
}

func TestEndReasonOf(t *testing.T) {
	cases := []struct {
		reason     placement.Reason
		migrating  bool
		cause      endCause
		want       pb.Reason
		wantOfPart gang.PartEnd
	}{
		{placement.ReasonUnspecified, false, endFinished, pb.Reason_FINISHED, gang.Finished},
		{placement.ReasonUnspecified, false, endInterrupted, pb.Reason_LOST, gang.EndedEarly},
		{placement.ReasonUnspecified, true, endFinished, pb.Reason_MIGRATED, gang.EndedEarly},
		{placement.ReasonUnspecified, true, endInterrupted, pb.Reason_MIGRATED, gang.EndedEarly},
		{placement.Evicted, false, endFinished, pb.Reason_EVICTED, gang.EndedEarly},
		{placement.Preempted, false, endInterrupted, pb.Reason_PREEMPTED, gang.EndedEarly},
		{placement.Drained, false, endFinished, pb.Reason_DRAINED, gang.EndedEarly},
		{placement.QueueFull, false, endFinished, pb.Reason_FINISHED, gang.EndedEarly},
	}
	for _, c := range cases {
		assert.Equal(t, c.want, endReasonOf(c.reason, c.migrating, c.cause), c)
		assert.Equal(t, c.wantOfPart, partEndOf(c.reason, c.migrating, c.cause), c)
	}
}
