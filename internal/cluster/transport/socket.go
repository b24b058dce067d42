package transport

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is TCP_USER_TIMEOUT: the kernel closes a connection if bytes that it sent are not acknowledged for this
	// long. It bounds how long a partition or the loss of the peer's machine goes unnoticed while there is something to
	// send.
	userTimeout       = 1500 * time.Millisecond
	keepAliveIdle     = 15 * time.Second // time without traffic before the first keep-alive probe
	keepAliveInterval = 5 * time.Second  // time between two keep-alive probes
	keepAliveCount    = 3                // unanswered keep-alive probes after which the connection is closed
)

// keepAlive configures TCP keep-alive, which finds half-open connections without traffic: a server would otherwise keep
// the sessions of clients whose machines have stopped.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     keepAliveIdle,
	Interval: keepAliveInterval,
	Count:    keepAliveCount,
}

// dial connects over TCP. If ctx ends before the connection is established, dial fails.
func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// Listen opens a TCP listener. Its connections have the same user timeout and keep-alive as client connections: the
// kernel closes them if the peer's machine no longer responds.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return config.Listen(ctx, "tcp", address)
}

// setUserTimeout sets TCP_USER_TIMEOUT (RFC 5482) on a socket. Connections inherit it from their listener. An error of the
// option is ignored: a kernel without it notices the loss of a peer later, after its retransmissions.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
