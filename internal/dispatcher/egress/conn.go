package egress

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// errStray keeps a request from a connection on which bytes were read that answer no request.
var errStray = errors.New("bytes on the connection that answer no request")

const (
	// quarantine is how long a connection takes no request after bytes of a job's answer were read: some
	// runners send a second answer some milliseconds late, which would pass for the answer to that one.
	quarantine = 25 * time.Millisecond
	// quietWithin is how long the first write on a kept connection waits until the transport is in Read again, which
	// shows that no bytes are left over from the answer before. http.Transport starts that read right after it gives a
	// connection back, so this is a matter of scheduling alone.
	quietWithin = 5 * time.Millisecond
	quietPoll   = 50 * time.Microsecond
)

// conn is a connection to an upstream that knows whether the present request was written to it.
// Guards against mistakes that http.Transport hides: taking a request for unsent whose bytes are on the
// wire, writing one after its target began to drain, because the dial took long, and taking a second answer to the
// request before for the answer to this one.
type conn struct {
	net.Conn
	closed   func() // called once, as the connection closes
	once     sync.Once
	reading  atomic.Bool  // the transport is in Read
	lastRead atomic.Int64 // when bytes were last read, Unix time in nanoseconds

	mu         sync.Mutex
	turn       int          // the number of the present request on this connection
	gate       func() error // asked before the next request's first byte
	refused    error        // the gate's error for the present request, or nil
	reused     bool         // an answer was read on the connection before
	job        bool         // the present request is a job
	afterJob   bool         // the request before it was a job
	earlierJob bool         // any request before it was a job
	answerRead bool         // the answer to the present request was read to its end: what is read after it is stray
	stray      bool         // bytes were read that answer no request: after that end, or before a request was written
	wrote      int          // bytes written of the present request
	short      bool         // a write of it failed, so its last byte never went out
}

// begin makes the connection count anew for a request that is about to be written, and returns the request's number.
func (c *conn) begin(reused, job bool, gate func() error) (turn int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn++
	c.afterJob, c.job = c.job, job
	c.earlierJob = c.earlierJob || c.afterJob
	c.gate, c.refused, c.wrote, c.short, c.reused, c.answerRead = gate, nil, 0, false, reused, false
	return c.turn
}

// answerEnded notes that the answer to request number turn was read to its end, unless the next one has begun.
func (c *conn) answerEnded(turn int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answerRead = c.answerRead || c.turn == turn
}

func (c *conn) Read(b []byte) (int, error) {
	c.reading.Store(true)
	n, err := c.Conn.Read(b)
	c.reading.Store(false)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
		c.mu.Lock()
		c.stray = c.stray || c.answerRead || c.wrote == 0
		c.mu.Unlock()
	}
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	quiet := c.quiet()
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
			c.refused, c.short = err, true
			return 0, err
		}
		c.gate = nil
	}
	n, err := c.Conn.Write(b)
	c.wrote += n
	c.short = c.short || err != nil
	return n, err
}

// quiet waits until the quarantine of a kept connection is over, before its next request is written. It returns whether
// nothing is left over from the answer before. Read sees the bytes that arrive meanwhile.
func (c *conn) quiet() bool {
	c.mu.Lock()
	first, afterJob := c.gate != nil && c.reused, c.afterJob
	c.mu.Unlock()
	if !first {
		return true
	}
	if rest := quarantine - time.Since(time.Unix(0, c.lastRead.Load())); afterJob && rest > 0 {
		time.Sleep(rest)
	}
	for until := time.Now().Add(quietWithin); !c.reading.Load(); time.Sleep(quietPoll) {
		if time.Now().After(until) {
			return false
		}
	}
	return true
}

func (c *conn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}

// abandon closes the connection and tells whether the last byte of request number turn certainly never went out.
// Closing comes first: it ends a write that is under way, and none can follow. Where another request has begun on
// the connection, that one was answered to its end, and nothing is done.
func (c *conn) abandon(turn int) (unsent bool) {
	c.mu.Lock()
	other := c.turn != turn
	c.mu.Unlock()
	if other {
		return false
	}
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wrote == 0 || c.short
}

// answers tells whether the bytes read may answer the present request: it was written, and none were read before that.
func (c *conn) answers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wrote > 0 && !c.short && !c.stray
}

// hadJob tells whether a job was on the connection before the present request.
func (c *conn) hadJob() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.earlierJob
}

// refusal returns the gate's error for the present request, or nil.
func (c *conn) refusal() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}
