package transport

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	userTimeout       = 1500 * time.Millisecond // the kernel closes a connection whose bytes are not acknowledged for this
	keepAliveIdle     = 15 * time.Second
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 3
)

var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     keepAliveIdle,
	Interval: keepAliveInterval,
	Count:    keepAliveCount,
}

// dial connects over TCP. ctx bounds the time until the connection is established.
func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// Listen opens a listener whose connections end when their peer becomes unresponsive.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return config.Listen(ctx, "tcp", address)
}

// setUserTimeout sets TCP_USER_TIMEOUT (RFC 5482), which connections inherit from their listener. A kernel that does
// not have it only notices an unresponsive peer later.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
