package egress

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// errStray is the error for a connection on which stray bytes were read, which belong to no request's response, or on
// which they can't be ruled out. No request is written to it.
var errStray = errors.New("bytes on the connection that belong to no response")

const (
	// quarantine is how long no request is written to a connection after the last bytes of a job's response were read.
	// Some runners send a second response some milliseconds after the first. If the next request were already written,
	// this second response would be taken for the response to it.
	quarantine = 25 * time.Millisecond
	// quietTimeout is how long the first write on a reused connection waits for the transport to be in Read. While the
	// transport waits in Read, no bytes of the previous response are left. http.Transport starts this read right after
	// it returns a connection to the pool, so the wait is only for its goroutine to be scheduled.
	quietTimeout = 5 * time.Millisecond
	// quietPollInterval is how often that wait checks whether the transport is in Read.
	quietPollInterval = 50 * time.Microsecond
)

// conn is a connection to a target that records which bytes of the current request were written. It prevents three
// mistakes that http.Transport doesn't show:
//   - The dispatcher treats a request as unsent although its last byte was written.
//   - A request is written after its target began to drain, because the dial took long.
//   - A second response to the previous request is taken for the response to the current one.
type conn struct {
	net.Conn
	onClose  func()       // called at the first Close
	once     sync.Once    // for onClose
	reading  atomic.Bool  // the transport is in Read
	lastRead atomic.Int64 // the time when bytes were last read, Unix time in nanoseconds

	mu             sync.Mutex   // guards the fields below
	requestNo      int          // the number of the current request, counted from 1 on this connection
	gate           func() error // called before the current request's first byte; nil after it returned nil
	gateErr        error        // why the current request was not written, or nil
	reused         bool         // the connection carried a request before the current one
	isJob          bool         // the current request is a job, not a probe
	previousWasJob bool         // the request before the current one was a job
	anyEarlierJob  bool         // any request before the current one was a job
	responseRead   bool         // the current response was read to its end: further bytes are stray
	stray          bool         // bytes were read after that end, or before the current request's first byte was written
	written        int          // how many bytes of the current request were written
	incomplete     bool         // a write of the current request failed, so its last byte was never written
}

// beginRequest resets the state for a request that is about to be written, and returns the request's number. stray stays
// set: a connection with stray bytes is never used again.
func (c *conn) beginRequest(reused, job bool, gate func() error) (requestNo int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestNo++
	c.previousWasJob, c.isJob = c.isJob, job
	c.anyEarlierJob = c.anyEarlierJob || c.previousWasJob
	c.gate, c.gateErr, c.written, c.incomplete, c.reused, c.responseRead = gate, nil, 0, false, reused, false
	return c.requestNo
}

// responseEnded records that the response to request requestNo was read to its end. It does nothing if the next request
// has begun.
func (c *conn) responseEnded(requestNo int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responseRead = c.responseRead || c.requestNo == requestNo
}

// Read reads from the socket, and records whether the bytes are stray.
func (c *conn) Read(b []byte) (int, error) {
	c.reading.Store(true)
	n, err := c.Conn.Read(b)
	c.reading.Store(false)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
		c.mu.Lock()
		c.stray = c.stray || c.responseRead || c.written == 0
		c.mu.Unlock()
	}
	return n, err
}

// Write writes to the socket. Before the first byte of a request it checks for stray bytes and calls the gate; if there are
// stray bytes or the gate returns an error, it writes no byte.
func (c *conn) Write(b []byte) (int, error) {
	quiet := c.waitQuiet()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gate != nil {
		var err error
		if c.stray || !quiet {
			err = errStray
		} else {
			err = c.gate()
		}
		if err != nil {
			c.gateErr, c.incomplete = err, true
			return 0, err
		}
		c.gate = nil
	}
	n, err := c.Conn.Write(b)
	c.written += n
	c.incomplete = c.incomplete || err != nil
	return n, err
}

// waitQuiet waits before the first byte of a request is written to a reused connection: first until the quarantine after
// a job's response has passed, then until the transport is in Read. It reports whether the transport was in Read within
// quietTimeout. Read records bytes that arrive during the wait as stray.
func (c *conn) waitQuiet() bool {
	c.mu.Lock()
	first, afterJob := c.gate != nil && c.reused, c.previousWasJob
	c.mu.Unlock()
	if !first {
		return true
	}
	if left := quarantine - time.Since(time.Unix(0, c.lastRead.Load())); afterJob && left > 0 {
		time.Sleep(left)
	}
	for until := time.Now().Add(quietTimeout); !c.reading.Load(); time.Sleep(quietPollInterval) {
		if time.Now().After(until) {
			return false
		}
	}
	return true
}

// Close closes the connection and calls onClose, once.
func (c *conn) Close() error {
	c.once.Do(c.onClose)
	return c.Conn.Close()
}

// abandon closes the connection and reports whether the last byte of request requestNo was certainly never written. It
// closes before it looks at the counts, as Close ends a write in progress and prevents any other. If the next request
// has begun on the connection, request requestNo has its complete response. Then abandon leaves the connection open and
// returns false.
func (c *conn) abandon(requestNo int) (unsent bool) {
	c.mu.Lock()
	other := c.requestNo != requestNo
	c.mu.Unlock()
	if other {
		return false
	}
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written == 0 || c.incomplete
}

// mayBeResponse reports whether the bytes that were read may be the current request's response: the request was written,
// and no stray bytes were read.
func (c *conn) mayBeResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written > 0 && !c.incomplete && !c.stray
}

// hadEarlierJob reports whether a job was sent on the connection before the current request.
func (c *conn) hadEarlierJob() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.anyEarlierJob
}

// gateError returns why the current request was not written, or nil.
func (c *conn) gateError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gateErr
}
