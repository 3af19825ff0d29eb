package transport_test

import (
	"testing"

	"grebeglade/internal/transport"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pb "grebeglade/proto/grebeglade/v1"
)

func TestCheckHello_Accepted(t *testing.T) {
	for name, hello := range map[string]*pb.Hello{
		"client":                 {Role: pb.Role_CLIENT, Name: "c"},
		"operator without name":  {Role: pb.Role_OPERATOR},
		"allocator, incarnation": {Role: pb.Role_ALLOCATOR, Name: "a", Incarnation: 3},
	} {
		t.Run(name, func(t *testing.T) {
			h, err := transport.CheckHello(transport.HelloFrame(hello))
			require.NoError(t, err)
			assert.Same(t, hello, h)
		})
	}
	t.Run("later minor version", func(t *testing.T) {
		f := transport.HelloFrame(&pb.Hello{Role: pb.Role_NODE, Name: "n"})
		f.GetHello().Minor = pb.Minor + 1
		_, err := transport.CheckHello(f)
		assert.NoError(t, err)
	})
}

func TestCheckHello_Rejected_ErrorAndReason(t *testing.T) {
	otherMajor := transport.HelloFrame(&pb.Hello{Role: pb.Role_CLIENT, Name: "c"})
	otherMajor.GetHello().Major, otherMajor.GetHello().Minor = 2, 1
	for name, c := range map[string]struct {
		frame  *pb.Frame
		want   error
		reason string
	}{
		"refusal":      {transport.RefusalFrame("full"), &transport.RefusedError{Reason: "full"}, "the peer refused: full"},
		"other frame":  {&pb.Frame{Body: &pb.Frame_HealthCheck{HealthCheck: &pb.HealthCheck{}}}, transport.ErrNotHello, "the first frame must be a hello"},
		"empty frame":  {&pb.Frame{}, transport.ErrNotHello, "the first frame must be a hello"},
		"other major":  {otherMajor, &transport.VersionError{Major: 2, Minor: 1}, "version 2.1 is not spoken here; this side speaks 1.x"},
		"without role": {transport.HelloFrame(&pb.Hello{Name: "c"}), transport.ErrNoRole, "the hello names no role"},
		"without name": {transport.HelloFrame(&pb.Hello{Role: pb.Role_CLIENT}), transport.ErrNoName, "the hello names no name"},
	} {
		t.Run(name, func(t *testing.T) {
			h, err := transport.CheckHello(c.frame)
			assert.Nil(t, h)
			assert.Equal(t, c.want, err)
			assert.EqualError(t, err, c.reason)
		})
	}
}
