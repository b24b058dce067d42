package transport

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
)

var errUnresponsive = errors.New("the peer is unresponsive")

// dialError is the cause of the end of a connection that was never established.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "cannot connect: " + e.cause.Error() }

// Unwrap returns the error of dialing.
func (e *dialError) Unwrap() error { return e.cause }

// peer is an address that a client has called, with its current connection.
type peer struct {
	client  *Client
	address string

	mutex      sync.Mutex
	connection *connection // nil: none
	failures   int         // connections in a row that were never established
	retryAt    time.Time   // no connection is attempted before
	lastCause  error
}

// acquire returns the current connection, or starts one. The error is of kind Unavailable.
func (p *peer) acquire() (*connection, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connection != nil {
		return p.connection, nil
	}
	if p.failures > 0 && p.client.options.Clock.Now().Before(p.retryAt) {
		return nil, failure.Newf(failure.Unavailable, "%s: %v", p.address, p.lastCause)
	}
	p.connection = newConnection(p)
	go p.connection.run(p.client.ctx)
	return p.connection, nil
}

// current returns the current connection, or nil.
func (p *peer) current() *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.connection
}

// recordEstablished records that the peer has greeted.
func (p *peer) recordEstablished() {
	p.mutex.Lock()
	p.failures = 0
	p.mutex.Unlock()
}

// recordEnd records that a connection has ended. If it was never established, the next is attempted only after a
// backoff.
func (p *peer) recordEnd(ended *connection, established bool, cause error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connection != ended {
		return
	}
	p.connection = nil
	p.lastCause = cause
	if established {
		return
	}
	p.failures++
	options := &p.client.options
	p.retryAt = options.Clock.Now().Add(backoff(p.failures, options.MinBackoff, options.MaxBackoff))
}

func (p *peer) close() {
	if current := p.current(); current != nil {
		current.end(errors.New("the client is closed"))
	}
}

// backoff returns how long to wait after so many failures in a row.
func backoff(failures int, minBackoff, maxBackoff time.Duration) time.Duration {
	wait := minBackoff
	for range failures - 1 {
		wait *= 2
		if wait >= maxBackoff {
			return maxBackoff
		}
	}
	return wait
}

// isExpectedEnd reports whether a connection ended as connections do: the peer went away, or cannot be reached.
func isExpectedEnd(cause error) bool {
	var dialing *dialError
	if errors.As(cause, &dialing) || errors.Is(cause, os.ErrDeadlineExceeded) {
		return true
	}
	for _, expected := range []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, syscall.ECONNRESET, syscall.EPIPE,
		syscall.ETIMEDOUT, errUnresponsive} {
		if errors.Is(cause, expected) {
			return true
		}
	}
	return false
}
