package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDialError_Class(t *testing.T) {
	t.Run("refused", func(t *testing.T) {
		err := dialError(fmt.Errorf("dial tcp: %w", syscall.ECONNREFUSED))
		assertClass(t, err, ErrConnectionRefused, "connection refused")
	})
	t.Run("timeout", func(t *testing.T) {
		err := dialError(context.DeadlineExceeded)
		assertClass(t, err, ErrDialFailed, "context deadline exceeded")
	})
}

// Guards against taking a failure on this machine for the silence of another one.
func TestIsNoResponse_OnlyWhereThePeerIsSilent(t *testing.T) {
	for _, silent := range []error{context.DeadlineExceeded, syscall.ETIMEDOUT, syscall.EHOSTUNREACH} {
		assert.True(t, IsNoResponse(dialError(fmt.Errorf("dial tcp: %w", silent))), silent)
	}
	for _, local := range []error{
		syscall.ECONNREFUSED, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS, syscall.EMFILE,
		syscall.ENFILE, context.Canceled,
	} {
		assert.False(t, IsNoResponse(dialError(fmt.Errorf("dial tcp: %w", local))), local)
	}
	assert.False(t, IsNoResponse(socketError(os.NewSyscallError("read", syscall.ETIMEDOUT))))
}

func TestSocketError_Class(t *testing.T) {
	t.Run("orderly close", func(t *testing.T) {
		assertClass(t, socketError(nil), ErrClosedByPeer, "closed by the peer")
	})
	t.Run("end of input", func(t *testing.T) {
		err := socketError(os.NewSyscallError("read", io.EOF))
		assertClass(t, err, ErrClosedByPeer, "read: EOF")
	})
	t.Run("reset", func(t *testing.T) {
		err := socketError(os.NewSyscallError("read", syscall.ECONNRESET))
		assertClass(t, err, ErrConnectionLost, "read: connection reset by peer")
	})
}

// assertClass checks that the reason matches the class want and no other, and that it has the given text.
func assertClass(t *testing.T, reason, want error, text string) {
	t.Helper()
	require.EqualError(t, reason, text)
	classes := []error{
		ErrConnectionRefused,
		ErrDialFailed,
		ErrClosedByPeer,
		ErrConnectionLost,
		ErrMalformedMessage,
		ErrMessageTimeout,
		ErrSlowPeer,
	}
	for _, class := range classes {
		assert.Equal(t, want.Error() == class.Error(), errors.Is(reason, class), "%v", class)
	}
}
