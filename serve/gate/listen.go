package gate

import (
	"context"
	"net"
	"syscall"
)

// receiveBuffer is the size of the buffer in which the kernel keeps what a caller sent and
// nobody has read. The kernel takes up to twice that.
const receiveBuffer = 16 << 10

// Listen listens for callers at an address. What they send waits in small buffers, since
// it counts as memory of the VM before it is read.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		if err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		}); err != nil {
			return err
		}
		return failed
	}}
	return config.Listen(ctx, "tcp", address)
}
