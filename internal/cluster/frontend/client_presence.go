package frontend

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"ospreypond/internal/cluster/failure"
)

// errClientLeft is the error of a submission whose client has closed its connection before the owner was called. That call
// was certainly not made.
var errClientLeft = failure.New(failure.Unavailable, "the client has closed its connection")

// connectionKey is the key under which a request's context stores its connection.
type connectionKey struct{}

// withConnection is the http.Server.ConnContext of the servers.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// hasClientLeft reports whether the client of a request has closed its connection.
//
// net/http notices that by a read in another goroutine and then ends the request's context. After a time in which the process
// stood still, the requests that wait in sockets would be carried out before that, also those whose clients have left long
// ago. hasClientLeft therefore asks the kernel. It reports false for a request without a connection of a server, as in the
// simulation.
func hasClientLeft(r *http.Request) bool {
	connection, ok := r.Context().Value(connectionKey{}).(*clientConnection)
	return ok && connection.isClosedByClient()
}

// isClosedByClient reports whether the client has closed its end, and all that it sent before that was read.
func (c *clientConnection) isClosedByClient() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	// Control doesn't wait for the read by which net/http watches the connection, as raw.Read would.
	err = raw.Control(func(descriptor uintptr) { closed = isAtEnd(int(descriptor)) })
	return err == nil && closed
}

// isAtEnd reports whether a read of a socket would return the end of the stream or a reset. It consumes no bytes.
func isAtEnd(descriptor int) bool {
	var next [1]byte
	count, _, err := syscall.Recvfrom(descriptor, next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch err {
	case nil:
		return count == 0
	case syscall.ECONNRESET, syscall.EPIPE:
		return true
	default:
		return false
	}
}
