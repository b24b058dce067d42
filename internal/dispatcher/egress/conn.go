package egress

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// errStray keeps a request from a connection on which bytes were read that belong to no request's response.
var errStray = errors.New("bytes on the connection that belong to no response")

const (
	// quarantine is how long a connection takes no request after bytes of a job's response were read: some runners
	// send a second response some milliseconds late, which would pass for the next request's.
	quarantine = 25 * time.Millisecond
	// quietTimeout is how long the first write on a reused connection waits until the transport is in Read again,
	// which shows that no bytes of the former response are left. http.Transport starts that read right after it
	// returns a connection to the pool, so this is a matter of scheduling alone.
	quietTimeout      = 5 * time.Millisecond
	quietPollInterval = 50 * time.Microsecond
)

// conn is a connection to an upstream that knows whether the present request was written to it. Guards against
// mistakes that http.Transport hides: taking a request for unsent whose bytes are on the wire, writing one after its
// target began to drain because the dial took long, and taking a second response to the former request for the
// response to this one.
type conn struct {
	net.Conn
	onClose  func() // called once
	once     sync.Once
	reading  atomic.Bool  // the transport is in Read
	lastRead atomic.Int64 // when bytes were last read, Unix time in nanoseconds

	mu             sync.Mutex
	requestNo      int          // of the present request on this connection
	gate           func() error // called before the present request's first byte; nil after it returned nil
	gateErr        error        // why the present request was not written, or nil
	reused         bool         // a response was read on the connection before
	isJob          bool         // the present request is a job
	previousWasJob bool         // the request before it was a job
	anyEarlierJob  bool         // any request before it was a job
	responseRead   bool         // the present response was read to its end: what is read after it is stray
	stray          bool         // bytes were read after that end, or before a request was written
	written        int          // bytes of the present request
	incomplete     bool         // a write of it failed, so its last byte was never sent
}

// beginRequest resets the state for a request that is about to be written, and returns the request's number.
func (c *conn) beginRequest(reused, job bool, gate func() error) (requestNo int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestNo++
	c.previousWasJob, c.isJob = c.isJob, job
	c.anyEarlierJob = c.anyEarlierJob || c.previousWasJob
	c.gate, c.gateErr, c.written, c.incomplete, c.reused, c.responseRead = gate, nil, 0, false, reused, false
	return c.requestNo
}

// responseEnded notes that the response to request requestNo was read to its end, unless the next one has begun.
func (c *conn) responseEnded(requestNo int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responseRead = c.responseRead || c.requestNo == requestNo
}

// Read notes bytes that belong to no response.
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

// Write passes the gate before the first byte of a request.
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

// waitQuiet waits until the quarantine of a reused connection is over, before its next request is written. It reports
// whether nothing is left of the former response; Read sees the bytes that arrive meanwhile.
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

// abandon closes the connection and reports whether the last byte of request requestNo certainly was never sent.
// Closing comes first: it ends a write in progress, and none can follow. If another request has begun on the
// connection, this one has its complete response, and nothing is done.
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

// mayBeResponse reports whether the bytes read may be the present request's response: it was written, and none were
// read before that.
func (c *conn) mayBeResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written > 0 && !c.incomplete && !c.stray
}

// hadEarlierJob reports whether a job was sent on the connection before the present request.
func (c *conn) hadEarlierJob() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.anyEarlierJob
}

// gateError returns why the present request was not written, or nil.
func (c *conn) gateError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gateErr
}
