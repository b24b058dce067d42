package app

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// listen opens a TCP listener with SO_REUSEPORT, so that a second process of this program can listen at the same address
// at the same time. During an upgrade in place the new process listens before the old one has stopped. The kernel spreads
// new connections over both until the old process closes its listener.
func listen(ctx context.Context, addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var set error
		if err := c.Control(func(fd uintptr) {
			set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}); err != nil {
			return err
		}
		if set != nil {
			return fmt.Errorf("SO_REUSEPORT: %w", set)
		}
		return nil
	}}
	return lc.Listen(ctx, "tcp", addr)
}
