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

// TestCloseReason_Class checks that each cause belongs to one class, and that its text stays the cause's own.
func TestCloseReason_Class(t *testing.T) {
	classes := []error{
		ErrConnectionRefused, ErrDialFailed, ErrClosedByPeer, ErrConnectionLost, ErrMalformedMessage, ErrMessageTimeout, ErrSlowPeer,
	}
	for name, c := range map[string]struct {
		reason error
		class  error
		text   string
	}{
		"dial refused":     {dialError(fmt.Errorf("dial tcp: %w", syscall.ECONNREFUSED)), ErrConnectionRefused, "connection refused"},
		"dial timeout":     {dialError(context.DeadlineExceeded), ErrDialFailed, "context deadline exceeded"},
		"orderly close":    {socketError(nil), ErrClosedByPeer, "closed by the peer"},
		"end of the input": {socketError(os.NewSyscallError("read", io.EOF)), ErrClosedByPeer, "read: EOF"},
		"reset":            {socketError(os.NewSyscallError("read", syscall.ECONNRESET)), ErrConnectionLost, "read: connection reset by peer"},
	} {
		t.Run(name, func(t *testing.T) {
			require.EqualError(t, c.reason, c.text)
			for _, class := range classes {
				assert.Equal(t, c.class.Error() == class.Error(), errors.Is(c.reason, class), "%v", class)
			}
		})
	}
}
