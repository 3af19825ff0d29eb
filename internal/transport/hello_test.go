package transport_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

func TestCheckHello_Accepted(t *testing.T) {
	for name, hello := range map[string]*pb.Hello{
		"client":                {Role: pb.Role_CLIENT, Name: "c"},
		"operator without name": {Role: pb.Role_OPERATOR},
		"allocator, incarnation": {
			Role:        pb.Role_ALLOCATOR,
			Name:        "a",
			Incarnation: 3,
		},
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
	t.Run("other major", func(t *testing.T) {
		f := transport.HelloFrame(&pb.Hello{Role: pb.Role_CLIENT, Name: "c"})
		f.GetHello().Major = 2
		f.GetHello().Minor = 1
		want := &transport.VersionError{Major: 2, Minor: 1}
		assertRejected(t, f, want, "version 2.1 is not spoken here; this side speaks 1.x")
	})
	t.Run("without role", func(t *testing.T) {
		f := transport.HelloFrame(&pb.Hello{Name: "c"})
		assertRejected(t, f, transport.ErrNoRole, "the hello names no role")
	})
	t.Run("without name", func(t *testing.T) {
		f := transport.HelloFrame(&pb.Hello{Role: pb.Role_CLIENT})
		assertRejected(t, f, transport.ErrNoName, "the hello names no name")
	})
}

func TestCheckHello_FirstFrameIsNotAHello_ErrorAndReason(t *testing.T) {
	t.Run("refusal", func(t *testing.T) {
		want := &transport.RefusedError{Reason: "full"}
		assertRejected(t, transport.RefusalFrame("full"), want, "the peer refused: full")
	})
	t.Run("other frame", func(t *testing.T) {
		f := &pb.Frame{Body: &pb.Frame_HealthCheck{HealthCheck: &pb.HealthCheck{}}}
		assertRejected(t, f, transport.ErrNotHello, "the first frame must be a hello")
	})
	t.Run("empty frame", func(t *testing.T) {
		assertRejected(t, &pb.Frame{}, transport.ErrNotHello, "the first frame must be a hello")
	})
}

// assertRejected checks that CheckHello returns the error want, with the given text, for a first frame.
func assertRejected(t *testing.T, f *pb.Frame, want error, reason string) {
	t.Helper()
	hello, err := transport.CheckHello(f)
	assert.Nil(t, hello)
	assert.Equal(t, want, err)
	assert.EqualError(t, err, reason)
}
