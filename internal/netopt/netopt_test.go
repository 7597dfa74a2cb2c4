package netopt

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAbortError checks which results of a write, beside a read that returned io.EOF, mean that the
// connection was aborted.
func TestAbortError(t *testing.T) {
	for err, aborted := range map[error]bool{
		nil:                    false,
		syscall.EPIPE:          false, // a reset after the peer's orderly end
		os.ErrDeadlineExceeded: false, // the write still waited
		syscall.ECONNRESET:     true,
		syscall.ETIMEDOUT:      true,
		syscall.EHOSTUNREACH:   true,
		net.ErrClosed:          true,
		io.ErrShortWrite:       true,
	} {
		write := err
		if err != nil {
			write = &net.OpError{Op: "writev", Err: os.NewSyscallError("writev", err)}
		}
		assert.Equal(t, AbortError(write) != nil, aborted, "%v", err)
	}
}
