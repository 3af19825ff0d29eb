package transport

import (
	"fmt"

	pb "grebeglade/proto/grebeglade/v1"
)

// HelloFrame makes the first frame of a connection, with the protocol version of this build.
func HelloFrame(h *pb.Hello) *pb.Frame {
	h.Major, h.Minor = pb.Major, pb.Minor
	return &pb.Frame{Body: &pb.Frame_Hello{Hello: h}}
}

// RefusalFrame makes the answer to a hello that is not accepted.
func RefusalFrame(reason string) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_Refusal{Refusal: &pb.Refusal{Reason: reason}}}
}

// CheckHello checks that the first frame of a connection is a hello of a version that this build speaks. It returns the
// hello, or the reason with which to refuse the peer.
func CheckHello(f *pb.Frame) (h *pb.Hello, refusal string) {
	h = f.GetHello()
	switch {
	case f.GetRefusal() != nil:
		return nil, "the peer refused: " + f.GetRefusal().Reason
	case h == nil:
		return nil, "the first frame must be a hello"
	case h.Major != pb.Major:
		return nil, fmt.Sprintf("version %d.%d is not spoken here; this side speaks %d.x", h.Major, h.Minor, pb.Major)
	case h.Role == pb.Role_ROLE_UNSPECIFIED:
		return nil, "the hello names no role"
	case h.Name == "" && h.Role != pb.Role_OPERATOR:
		return nil, "the hello names no name"
	}
	return h, ""
}
