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

// errUnresponsive reports that a connection was closed because no bytes arrived from the peer for too long.
var errUnresponsive = errors.New("received nothing from the peer for too long")

// dialError is the cause of the end of a connection that could not be dialed.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "cannot dial: " + e.cause.Error() }

// Unwrap returns the error that ClientOptions.Dial returned.
func (e *dialError) Unwrap() error { return e.cause }

// peer is an address that a client has called or sent messages to. It has the current connection and, while connections
// fail, the backoff until the next dial.
type peer struct {
	client  *Client
	address string

	mutex      sync.Mutex
	connection *connection // nil: there is none
	failures   int         // connections in a row that ended before the server's greeting arrived
	retryAt    time.Time   // if failures > 0: earliest time of the next dial; calls fail until then
	lastCause  error       // why the last connection ended
}

// acquire returns the current connection. If there is none it starts one, or fails with Unavailable during a backoff.
func (p *peer) acquire() (*connection, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connection != nil {
		return p.connection, nil
	}
	if p.failures > 0 && p.client.options.Clock.Now().Before(p.retryAt) {
		return nil, failure.Newf(failure.Unavailable, "%s: no connection until the next dial, last error: %v",
			p.address, p.lastCause)
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

// recordEstablished records that the server's greeting has arrived, which ends the row of failures.
func (p *peer) recordEstablished() {
	p.mutex.Lock()
	p.failures = 0
	p.mutex.Unlock()
}

// recordEnd records that a connection has ended. If no greeting had arrived on it, the next dial waits for a backoff.
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

// close ends the current connection because the client is closed.
func (p *peer) close() {
	if current := p.current(); current != nil {
		current.end(errors.New("the client is closed"))
	}
}

// backoff returns how long to wait after the given number of failures in a row: minBackoff after the first, twice as long
// after each further one, at most maxBackoff.
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

// isExpectedEnd reports whether the cause of a connection's end is usual while processes stop or cannot be reached, so that
// it is not logged. Other causes, such as a peer that speaks another version of the protocol, are faults.
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
