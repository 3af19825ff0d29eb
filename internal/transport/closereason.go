package transport

import (
	"errors"
	"io"
	"syscall"
)

// Classes of the reasons for which a connection ends. The reason passed to a handler's Closed matches at most one of
// them with errors.Is; its text gives the details. Frontends and simulated networks add reasons of their own.
var (
	// ErrConnectionRefused means that nothing listens at the dialled address: no byte of any message was sent.
	ErrConnectionRefused = errors.New("connection refused")
	// ErrDialFailed means that a dialled connection was not established for another reason, such as a timeout.
	ErrDialFailed = errors.New("dialling failed")
	// ErrClosedByPeer means that the peer has closed the connection.
	ErrClosedByPeer = errors.New("closed by the peer")
	// ErrConnectionLost means that reading or writing has failed, for example after a reset.
	ErrConnectionLost = errors.New("connection lost")
	// ErrMalformedMessage means that the codec could not decode what the peer sent.
	ErrMalformedMessage = errors.New("malformed message")
	// ErrMessageTimeout means that a message was not complete within Limits.MessageTimeout.
	ErrMessageTimeout = errors.New("message not complete")
	// ErrSlowPeer means that more than Limits.MaxWriteBuffer bytes waited for the peer to read them.
	ErrSlowPeer = errors.New("peer does not read")
)

// closeError is an error of one of the classes above, with the text of its cause.
type closeError struct {
	class error
	cause error
}

func (e *closeError) Error() string { return e.cause.Error() }

func (e *closeError) Unwrap() []error { return []error{e.class, e.cause} }

// dialError classifies the error with which dialling has failed.
func dialError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ErrConnectionRefused
	}
	return &closeError{class: ErrDialFailed, cause: err}
}

// socketError classifies the error with which an event loop has closed a connection; nil means an orderly close.
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
