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

var errSilent = errors.New("the peer has fallen silent")

// dialError says that a connection never stood.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "cannot connect: " + e.cause.Error() }

// peer is an address that a client has called, with its present connection.
type peer struct {
	client  *Client
	address string

	mutex      sync.Mutex
	connection *connection // nil: none
	failures   int         // connections in a row that never stood
	notBefore  time.Time   // when the next may be tried
	lastCause  error
}

// use returns the present connection, or starts one. The error is of kind Unavailable.
func (p *peer) use() (*connection, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connection != nil {
		return p.connection, nil
	}
	if p.failures > 0 && p.client.options.Clock.Now().Before(p.notBefore) {
		return nil, failure.Newf(failure.Unavailable, "%s: %v", p.address, p.lastCause)
	}
	p.connection = newConnection(p)
	go p.connection.run(p.client.ctx)
	return p.connection, nil
}

// present returns the present connection or nil.
func (p *peer) present() *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.connection
}

// stood takes note that the peer has greeted.
func (p *peer) stood() {
	p.mutex.Lock()
	p.failures = 0
	p.mutex.Unlock()
}

// ended takes note that a connection is over; if it never stood, the next is tried only after a while.
func (p *peer) ended(over *connection, stood bool, cause error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connection != over {
		return
	}
	p.connection = nil
	p.lastCause = cause
	if stood {
		return
	}
	p.failures++
	options := &p.client.options
	p.notBefore = options.Clock.Now().Add(backoff(p.failures, options.LeastBackoff, options.MostBackoff))
}

func (p *peer) close() {
	if current := p.present(); current != nil {
		current.end(errors.New("the client is closed"))
	}
}

// backoff returns how long to wait after so many failures in a row.
func backoff(failures int, least, most time.Duration) time.Duration {
	wait := least
	for range failures - 1 {
		wait *= 2
		if wait >= most {
			return most
		}
	}
	return wait
}

// isPlainEnd tells whether a connection ended as connections do.
func isPlainEnd(cause error) bool {
	var dialing *dialError
	if errors.As(cause, &dialing) || errors.Is(cause, os.ErrDeadlineExceeded) {
		return true
	}
	for _, plain := range []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, syscall.ECONNRESET, syscall.EPIPE,
		syscall.ETIMEDOUT, errSilent} {
		if errors.Is(cause, plain) {
			return true
		}
	}
	return false
}
