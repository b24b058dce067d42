package transport

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	userTimeout       = 1500 * time.Millisecond // the kernel gives up a connection whose bytes nobody confirms for so long
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

// dial connects over TCP; the time until the peer confirms is bounded by ctx.
func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive, Control: limitSilence}
	return dialer.DialContext(ctx, "tcp", address)
}

// Listen opens a listener whose connections notice a silent peer.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: limitSilence}
	return config.Listen(ctx, "tcp", address)
}

// limitSilence sets TCP_USER_TIMEOUT; connections inherit it from their listener. A kernel without it does without.
func limitSilence(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
