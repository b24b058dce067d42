package frontend

import (
	"net"
	"sync"
	"time"
)

// pastDeadline is a read deadline that has passed: a read that waits for bytes ends, one that has got some does not.
var pastDeadline = time.Unix(1, 0)

// clientConnection is a connection of a client that can be ended between two requests and at no other time.
//
// http.Server.Shutdown and SetKeepAlivesEnabled don't serve for that: they close a connection that counts as idle while
// its next request is being read, and Shutdown drops a request that was just read without an answer.
type clientConnection struct {
	net.Conn
	entrance *entrance

	mutex    sync.Mutex
	asked    bool      // the client has sent something, ever
	busy     bool      // some of a request was read that has no answer yet
	early    bool      // the first byte of the request after that one was read too
	ended    bool      // no further request is read
	deadline time.Time // for reading, as the server has set it
	once     sync.Once
}

// Read reads what the client sends. Once the connection has ended, it reads no further request.
func (c *clientConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.take(len(buffer) == watchBytes)
	}
	return count, err
}

// watchBytes is how much net/http asks for while a request is being answered, only to notice that the client leaves:
// what comes then belongs to the next request. For a request itself it asks for more.
const watchBytes = 1

// take notes that some of a request was read: it is served, also if the connection was to end.
func (c *clientConnection) take(early bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.asked, c.busy = true, true
	c.early = c.early || early
	if c.ended {
		_ = c.Conn.SetReadDeadline(c.deadline) // a connection that is closed says so at the next read
	}
}

// SetReadDeadline sets the deadline for reading, unless the connection has ended.
func (c *clientConnection) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline = deadline
	if c.ended && !c.busy {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// begin notes that a whole request was read.
func (c *clientConnection) begin() { c.take(false) }

// rest notes that a request was answered.
func (c *clientConnection) rest(end bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.busy, c.early = c.early, false
	if end && !c.busy {
		c.end()
	}
}

// endIdle ends the connection if no request is being read or answered. One on which the client has never sent anything
// is left alone, unless unasked is true.
func (c *clientConnection) endIdle(unasked bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.busy && (c.asked || unasked) {
		c.end()
	}
}

// end makes the server's read of the next request fail. The mutex is held.
func (c *clientConnection) end() {
	c.ended = true
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// CloseWrite ends the sending half. The server does so before it closes a connection with something left to read, which
// would take the answer from the client.
func (c *clientConnection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *clientConnection) Close() error {
	c.once.Do(func() { c.entrance.remove(c) })
	return c.Conn.Close()
}
