package app

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// listen opens a TCP listener beside which a second process of this program may listen at the same address
// (SO_REUSEPORT): at an upgrade in place the new process listens before the old one has stopped, and the kernel
// spreads new connections between the two until the old one closes its listener.
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
