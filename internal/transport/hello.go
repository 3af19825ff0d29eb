package transport

import (
	"errors"
	"fmt"

	pb "grebeglade/proto/grebeglade/v1"
)

// Errors of CheckHello. Their texts are sent to the peer, in the Refusal that rejects it.
var (
	// ErrNotHello means that the first frame of a connection is neither a hello nor a refusal.
	ErrNotHello = errors.New("the first frame must be a hello")
	// ErrNoRole means that a hello lacks the role of its sender.
	ErrNoRole = errors.New("the hello names no role")
	// ErrNoName means that a hello lacks the name of its sender, which only operators may omit.
	ErrNoName = errors.New("the hello names no name")
)

// VersionError means that a peer speaks another major version of the protocol than this build.
type VersionError struct {
	Major, Minor uint32 // of the peer
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("version %d.%d is not spoken here; this side speaks %d.x", e.Major, e.Minor, pb.Major)
}

// RefusedError means that the peer has rejected the hello of this side.
type RefusedError struct {
	Reason string // as the peer states it
}

func (e *RefusedError) Error() string { return "the peer refused: " + e.Reason }

// HelloFrame returns the first frame of a connection, and sets the protocol version of this build in h.
func HelloFrame(h *pb.Hello) *pb.Frame {
	h.Major = pb.Major
	h.Minor = pb.Minor
	return &pb.Frame{Body: &pb.Frame_Hello{Hello: h}}
}

// RefusalFrame returns the answer to a hello that is not accepted.
func RefusalFrame(reason string) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_Refusal{Refusal: &pb.Refusal{Reason: reason}}}
}

// CheckHello returns the hello in the first frame of a connection. The error is a *RefusedError, ErrNotHello, a
// *VersionError, ErrNoRole or ErrNoName; its text is the reason with which to reject the peer.
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
