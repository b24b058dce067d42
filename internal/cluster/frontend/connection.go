package frontend

import (
	"net"
	"sync"
	"time"
)

// pastDeadline is a read deadline in the past. It makes a read fail that waits for bytes, and not a read that has got some.
var pastDeadline = time.Unix(1, 0)

// clientConnection is a client's connection that is only ended between two requests, so that each request that was read in
// part or completely gets a response. To end a connection, the acceptor makes the server's read of the next request fail.
// The server then closes the connection.
//
// http.Server.Shutdown and SetKeepAlivesEnabled don't guarantee such a response. Both treat a connection as idle while its
// next request is being read, and close it. Shutdown also drops a request that was just read, without a response.
//
// The server's goroutines read and close the connection, while the acceptor ends it from another goroutine.
type clientConnection struct {
	net.Conn
	acceptor *acceptor

	mutex        sync.Mutex
	used         bool      // the client has sent at least one byte
	busy         bool      // a request was read, at least in part, and has no response yet
	hasEarlyByte bool      // the first byte of the next request was read before that response
	ended        bool      // the read of the next request fails
	deadline     time.Time // read deadline that the server has set; zero: none
	once         sync.Once // for Close
}

// Read reads the client's data and records that a request has begun. After the connection has ended it fails.
func (c *clientConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.markBusy(len(buffer) == watchReadBytes)
	}
	return count, err
}

// watchReadBytes is the size in bytes of the read that net/http uses to notice that a client disconnects while its
// request is being answered. A byte that arrives by it belongs to the next request. Requests are read by larger reads.
const watchReadBytes = 1

// markBusy records that a request was read, at least in part. The request is served even if the connection has ended at the
// same moment: the server's read deadline is restored. early is true if the bytes belong to the next request, and the
// current request has no response yet.
func (c *clientConnection) markBusy(early bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.used, c.busy = true, true
	c.hasEarlyByte = c.hasEarlyByte || early
	if c.ended {
		_ = c.Conn.SetReadDeadline(c.deadline) // an error means that the connection is closed: the next read fails
	}
}

// SetReadDeadline sets the deadline for reading. If the connection has ended, it only stores the deadline: the read of
// the next request must still fail.
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

// markAnswered records that the request was answered. If end is true and no byte of the next request was read, it ends the
// connection.
func (c *clientConnection) markAnswered(end bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.busy, c.hasEarlyByte = c.hasEarlyByte, false
	if end && !c.busy {
		c.end()
	}
}

// endIfIdle ends the connection if no request is being read or answered on it. A connection on which the client has never
// sent anything is ended only if includeUnused is true.
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
	_ = c.Conn.SetReadDeadline(pastDeadline) // an error means that the connection is closed
}

// CloseWrite shuts down the sending side. The server calls it before it closes a connection with unread bytes: the TCP reset
// that such a close causes could otherwise make the client lose the response.
func (c *clientConnection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and removes it from the acceptor's open connections.
func (c *clientConnection) Close() error {
	c.once.Do(func() { c.acceptor.remove(c) })
	return c.Conn.Close()
}
