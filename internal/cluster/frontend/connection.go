package frontend

import (
	"net"
	"sync"
	"time"
)

// pastDeadline is a read deadline that has passed: a read that waits for bytes fails, one that has got some doesn't.
var pastDeadline = time.Unix(1, 0)

// clientConnection is a connection of a client that can be ended between two requests, and at no other time.
//
// http.Server.Shutdown and SetKeepAlivesEnabled don't serve for that: they close a connection that counts as idle while
// its next request is being read, and Shutdown drops a request that was just read, without a response.
//
// The server reads and closes the connection from its goroutines; the acceptor ends it from another.
type clientConnection struct {
	net.Conn
	acceptor *acceptor

	mutex        sync.Mutex
	used         bool      // the client has sent something at some time
	busy         bool      // a part of a request was read that has no response yet
	hasEarlyByte bool      // the first byte of the request after that was read, too
	ended        bool      // no further request is read
	deadline     time.Time // for reading, as the server has set it
	once         sync.Once
}

// Read reads what the client sends. Once the connection has ended, it reads no further request.
func (c *clientConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.markBusy(len(buffer) == watchReadBytes)
	}
	return count, err
}

// watchReadBytes is the size of the reads by which net/http notices, while a request is being answered, that the client
// disconnects. What they read belongs to the next request. A request itself is read by larger reads.
const watchReadBytes = 1

// markBusy records that a part of a request was read: it will be served, even if the connection was about to end. early
// means that the previous request has no response yet.
func (c *clientConnection) markBusy(early bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.used, c.busy = true, true
	c.hasEarlyByte = c.hasEarlyByte || early
	if c.ended {
		_ = c.Conn.SetReadDeadline(c.deadline) // on a closed connection the next read fails in any case
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

// begin records that a complete request was read.
func (c *clientConnection) begin() { c.markBusy(false) }

// markAnswered records that the request was answered, and ends the connection if end is true and the next request has not
// begun.
func (c *clientConnection) markAnswered(end bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.busy, c.hasEarlyByte = c.hasEarlyByte, false
	if end && !c.busy {
		c.end()
	}
}

// endIfIdle ends the connection if no request is being read or answered. One on which the client has never sent anything
// is left open, unless includeUnused is true.
func (c *clientConnection) endIfIdle(includeUnused bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.busy && (c.used || includeUnused) {
		c.end()
	}
}

// end makes the server's read of the next request fail. The mutex must be locked.
func (c *clientConnection) end() {
	c.ended = true
	_ = c.Conn.SetReadDeadline(pastDeadline) // fails only on a closed connection, which has ended already
}

// CloseWrite shuts down the sending side. The server does so before it closes a connection that still has something to be
// read, as the reset by that would destroy the response.
func (c *clientConnection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *clientConnection) Close() error {
	c.once.Do(func() { c.acceptor.remove(c) })
	return c.Conn.Close()
}
