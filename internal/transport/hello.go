package transport

import (
	"errors"
	"fmt"

	pb "grebeglade/proto/grebeglade/v1"
)

// Errors of CheckHello. Their texts are sent to the peer, in the Refusal that rejects it.
var (
	// ErrNotHello means that the first frame of a connection is neither a Hello nor a Refusal.
	ErrNotHello = errors.New("the first frame must be a hello")
	// ErrNoRole means that a Hello has no role.
	ErrNoRole = errors.New("the hello names no role")
	// ErrNoName means that a Hello has no name. Only operators may omit it.
	ErrNoName = errors.New("the hello names no name")
)

// VersionError means that the major protocol version of the peer differs from that of this build.
type VersionError struct {
	Major, Minor uint32 // protocol version of the peer
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("version %d.%d is not spoken here; this side speaks %d.x", e.Major, e.Minor, pb.Major)
}

// RefusedError means that the peer rejected this side's Hello with a Refusal.
type RefusedError struct {
	Reason string // Refusal.reason, as sent by the peer
}

func (e *RefusedError) Error() string { return "the peer refused: " + e.Reason }

// HelloFrame returns a frame with the given Hello, in which it sets the protocol version of this build.
func HelloFrame(h *pb.Hello) *pb.Frame {
	h.Major = pb.Major
	h.Minor = pb.Minor
	return &pb.Frame{Body: &pb.Frame_Hello{Hello: h}}
}

// RefusalFrame returns a frame that rejects a Hello, or a connection above the limit, with the given reason.
func RefusalFrame(reason string) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_Refusal{Refusal: &pb.Refusal{Reason: reason}}}
}

// CheckHello returns the Hello in f, the first frame of a connection. The error is a *RefusedError, ErrNotHello, a
// *VersionError, ErrNoRole or ErrNoName; its text is the reason to send in a Refusal.
func CheckHello(f *pb.Frame) (*pb.Hello, error) {
	hello := f.GetHello()
	switch {
	case f.GetRefusal() != nil:
		return nil, &RefusedError{Reason: f.GetRefusal().Reason}
	case hello == nil:
		return nil, ErrNotHello
	case hello.Major != pb.Major:
		return nil, &VersionError{Major: hello.Major, Minor: hello.Minor}
	case hello.Role == pb.Role_ROLE_UNSPECIFIED:
		return nil, ErrNoRole
	case hello.Name == "" && hello.Role != pb.Role_OPERATOR:
		return nil, ErrNoName
	}
	return hello, nil
}
