package egress

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// errStray keeps a request from a connection on which something came that answers none.
var errStray = errors.New("bytes on the connection that answer no request")

const (
	// quarantine is how long a connection is kept from the next request after bytes of a job's answer came: some
	// runners send a second answer some milliseconds late, which would pass for the answer to that one.
	quarantine = 25 * time.Millisecond
	// quietWithin is how long the first write on a kept connection waits for its reader to wait for bytes, which
	// shows that none are left over from the answer before. http.Transport starts that read right after it gives a
	// connection back, so this is a matter of scheduling alone.
	quietWithin = 5 * time.Millisecond
	quietLook   = 50 * time.Microsecond
)

// conn is a connection to an upstream that knows whether the present request was written to it.
// Guards against mistakes that http.Transport hides: taking a request for unsent whose bytes are on the
// wire, writing one after its target began to drain, because the dial took long, and taking a second answer to the
// request before for the answer to this one.
type conn struct {
	net.Conn
	closed  func()
	once    sync.Once
	reading atomic.Bool  // the transport waits for bytes
	came    atomic.Int64 // when the last ones came, Unix time in nanoseconds

	mu     sync.Mutex
	turn   int          // the number of the present request
	gate   func() error // asked before the next request's first byte
	no     error        // what it said against it
	reused bool         // an answer came on it before
	job    bool         // the present request is a job
	after  bool         // the one before was
	worked bool         // any before was
	rests  bool         // the answer before was read to its end
	stray  bool         // bytes came between that end and the present request's first byte
	wrote  int          // bytes of the present request
	short  bool         // a write of it failed, so its last byte never went out
}

// begin makes the connection count anew for a request that is about to be written, and returns the request's number.
func (c *conn) begin(reused, job bool, gate func() error) (turn int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn++
	c.after, c.job = c.job, job
	c.worked = c.worked || c.after
	c.gate, c.no, c.wrote, c.short, c.reused, c.rests = gate, nil, 0, false, reused, false
	return c.turn
}

// rest notes that the answer to request number turn was read to its end, unless the next one has begun.
func (c *conn) rest(turn int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rests = c.rests || c.turn == turn
}

func (c *conn) Read(b []byte) (int, error) {
	c.reading.Store(true)
	n, err := c.Conn.Read(b)
	c.reading.Store(false)
	if n > 0 {
		c.came.Store(time.Now().UnixNano())
		c.mu.Lock()
		c.stray = c.stray || c.rests || c.wrote == 0
		c.mu.Unlock()
	}
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	quiet := c.quiet()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gate != nil {
		err := error(nil)
		if c.stray || !quiet {
			err = errStray
		} else {
			err = c.gate()
		}
		if err != nil {
			c.no, c.short = err, true
			return 0, err
		}
		c.gate = nil
	}
	n, err := c.Conn.Write(b)
	c.wrote += n
	c.short = c.short || err != nil
	return n, err
}

// quiet waits for a kept connection's quarantine as its next request is about to be written, and tells whether nothing
// is left over on it. What comes meanwhile is seen by Read.
func (c *conn) quiet() bool {
	c.mu.Lock()
	first, after := c.gate != nil && c.reused, c.after
	c.mu.Unlock()
	if !first {
		return true
	}
	if rest := quarantine - time.Since(time.Unix(0, c.came.Load())); after && rest > 0 {
		time.Sleep(rest)
	}
	for until := time.Now().Add(quietWithin); !c.reading.Load(); time.Sleep(quietLook) {
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

// answers tells whether what came may be the answer to the present request: it was written, and nothing came before.
func (c *conn) answers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wrote > 0 && !c.short && !c.stray
}

// hadJob tells whether a job was on the connection before the present request.
func (c *conn) hadJob() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.worked
}

// refusal returns what the gate said against the present request.
func (c *conn) refusal() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.no
}
