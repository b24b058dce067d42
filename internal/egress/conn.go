package egress

import (
	"net"
	"sync"
)

// conn is a connection to an egress target that knows whether the present request was written to it.
// Guards against two mistakes that http.Transport hides: taking a request for unsent whose bytes are on the
// wire, and writing one after its target began to drain, because the dial took long.
type conn struct {
	net.Conn
	closed func()
	once   sync.Once

	mu    sync.Mutex
	gate  func() error // asked before the next request's first byte
	no    error        // what it said against it
	wrote int          // bytes of the present request
	short bool         // a write of it failed, so its last byte never went out
}

// begin makes the connection count anew for a request that is about to be written.
func (c *conn) begin(gate func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate, c.no, c.wrote, c.short = gate, nil, 0, false
}

func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gate != nil {
		if err := c.gate(); err != nil {
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

func (c *conn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}

// abandon closes the connection and tells whether the present request's last byte certainly never went out.
// Closing comes first: it ends a write that is under way, and none can follow.
func (c *conn) abandon() (unsent bool) {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wrote == 0 || c.short
}

// refusal returns what the gate said against the present request.
func (c *conn) refusal() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.no
}
