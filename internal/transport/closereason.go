package transport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
)

// Classes of close reasons. The reason passed to Handler.Closed matches at most one of them with errors.Is; its text
// gives the details. Frontends and simulated networks define further reasons.
var (
	// ErrConnectionRefused means that nothing listens at the dialed address, so no bytes were sent.
	ErrConnectionRefused = errors.New("connection refused")
	// ErrDialFailed means that a connection could not be established for another reason, such as a timeout.
	ErrDialFailed = errors.New("dial failed")
	// ErrClosedByPeer means that the peer closed the connection.
	ErrClosedByPeer = errors.New("closed by the peer")
	// ErrConnectionLost means that a read or write failed, for example after a reset.
	ErrConnectionLost = errors.New("connection lost")
	// ErrMalformedMessage means that the codec could not decode what the peer sent.
	ErrMalformedMessage = errors.New("malformed message")
	// ErrMessageTimeout means that a message was incomplete and its bytes did not keep arriving; see
	// Limits.MessageTimeout.
	ErrMessageTimeout = errors.New("message timed out")
	// ErrSlowPeer means that more than Limits.MaxWriteBuffer bytes waited for the peer to read them.
	ErrSlowPeer = errors.New("peer reads too slowly")
)

// errInputNotEnded is the reason for closing a connection that was kept after a message that could not be decoded.
var errInputNotEnded = fmt.Errorf("%w: over %d bytes after it", ErrMalformedMessage, maxDiscarded)

// closeError matches one of the classes above and its cause; its text is that of the cause.
type closeError struct {
	class error
	cause error
}

func (e *closeError) Error() string { return e.cause.Error() }

func (e *closeError) Unwrap() []error { return []error{e.class, e.cause} }

// dialError classifies an error of dialing.
func dialError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ErrConnectionRefused
	}
	return &closeError{class: ErrDialFailed, cause: err}
}

// IsNoResponse reports whether the reason is that of a dial to which the peer's machine has not responded. Other failed
// dials say nothing about the peer's machine: it has refused the connection, or a system call has failed on this one.
func IsNoResponse(reason error) bool {
	if !errors.Is(reason, ErrDialFailed) {
		return false
	}
	var timeout net.Error
	return errors.Is(reason, syscall.EHOSTUNREACH) || errors.As(reason, &timeout) && timeout.Timeout()
}

// socketError classifies the error with which an event loop closed a connection. A nil error is an orderly close by the
// peer.
func socketError(err error) error {
	switch {
	case err == nil:
		return ErrClosedByPeer
	case errors.Is(err, io.EOF):
		return &closeError{class: ErrClosedByPeer, cause: err}
	default:
		return &closeError{class: ErrConnectionLost, cause: err}
	}
}
