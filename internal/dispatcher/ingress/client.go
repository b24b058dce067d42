package ingress

import (
	"container/list"
	"errors"
	"io"
	"net"
	"strconv"
	"time"
)

// connState is the state of a client's connection.
type connState int

// The states of a client's connection. They change under limitedListener.mu, so each read of bytes comes either before or
// after the begin of the close:
//   - Bytes read before it keep the connection open until the request that they belong to has its response.
//   - Bytes read after it never become part of a request.
//
// From stateClosing on a connection never returns to an earlier state; code compares states with <, so their order counts.
const (
	stateNew       connState = iota // no byte was read yet
	stateReading                    // bytes of a request were read, but the handler has not claimed the request yet
	stateBusy                       // the handler has claimed the request, and the listener must not close the connection
	stateIdle                       // the last request has its response and no byte of the next one was read
	stateClosing                    // the close has begun: bytes read from here on are not part of a request
	stateLingering                  // the sending side is being shut down; bytes from the client are read and dropped
	stateClosed                     // the socket is closed
)

const (
	// A client may send bytes before it has the response to its complete request. maxEarlyBytes is how many of these early
	// bytes are kept. If the client sends more, they are dropped and the connection is closed after that response. Clients
	// normally send one request at a time, so such bytes are rare. The bound must be small enough for the early bytes of all
	// connections together to fit in the smallest memory limit.
	maxEarlyBytes = 2 * maxHead
	// lingerTimeout and maxLingerBytes bound how long a lingering close waits for the client to close its side, and how
	// many bytes it reads and drops in that time. A client that reads its response usually closes right afterwards. A
	// connection that lingers counts against limitedListener.maxLingering.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 1 << 20
)

// rawResponse returns an HTTP response as text, for connections on which net/http has no request to respond to. more are
// further header lines, each with its line end; line is the body.
func rawResponse(status, more, line string) string {
	return "HTTP/1.1 " + status + "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n" + more +
		"Content-Length: " + strconv.Itoa(len(line)+1) + "\r\n\r\n" + line + "\n"
}

// headTimeoutResponse is written when the rest of a request's head does not arrive in time. net/http would close the
// connection without a response.
var headTimeoutResponse = rawResponse("408 Request Timeout", "", "the request's head was not received in time")

// evictedResponse returns the response for a connection that is closed to make room for another before its request was
// read completely. Without a positive retryAfter it has no Retry-After.
func evictedResponse(retryAfter time.Duration) string {
	more := ""
	if retryAfter > 0 {
		more = "Retry-After: " + formatRetryAfter(retryAfter) + "\r\n"
	}
	return rawResponse("503 Service Unavailable", more, "this connection was closed to make room for another; a retry is harmless")
}

// formatRetryAfter returns the value of a Retry-After header: seconds with three decimals.
func formatRetryAfter(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// clientConn is a client's connection. Close closes it in three steps (a lingering close, RFC 9112, 9.6): it shuts down
// the sending side, reads and drops the remaining bytes until the client closes its side, and closes the socket. If a
// socket is closed with unread bytes, the kernel sends a reset, and the reset can destroy a response that the client has
// not read yet.
type clientConn struct {
	net.Conn
	listener *limitedListener

	// listener.mu guards the fields below.
	state         connState
	list          *list.List    // the listener's list that contains the connection; nil: none
	element       *list.Element // the connection's element in list
	quietSince    time.Time     // the time of the last byte or response, or of the accept; the lists are ordered by it
	lastRead      time.Time     // the time of the last byte, of the accept, or of the start or end of reading a body
	handled       bool          // net/http has called the handler with the request
	readingBody   bool          // the handler is reading the request's body
	requestBegun  bool          // bytes of a request were read since the last response
	written       bool          // bytes were written since the last response
	early         []byte        // bytes that the client sent before it had the response to its complete request
	earlyOverflow bool          // the client sent more than maxEarlyBytes: the connection closes after the response
	closeReason   string        // the give-up reason if the listener closes the connection; empty: other closes
	framing       framing

	// How reads failed: timedOut by a deadline, broken otherwise, as the client had closed or reset the connection.
	timedOut, broken bool
	sentTimeout      bool // headTimeoutResponse was written; written at most once, as net/http reads again after a timeout

	httpDeadline   time.Time // the read deadline that net/http set
	socketDeadline time.Time // the read deadline that is set on the socket
}

func newClientConn(conn net.Conn, l *limitedListener, now time.Time) *clientConn {
	return &clientConn{Conn: conn, listener: l, quietSince: now, lastRead: now, framing: framing{length: -1}}
}

// Read passes the bytes of requests to net/http. While the handler has a complete request, net/http reads only to notice
// the client's disconnect, and stops reading at the first byte that it gets. So Read keeps bytes that arrive early in
// k.early, doesn't return them yet and reads on. This way a disconnect after early bytes is still noticed.
func (k *clientConn) Read(p []byte) (int, error) {
	for into := p; ; {
		n, watch, ownTimeout, err := k.nextRead(p)
		if n > 0 || err != nil {
			return n, err
		}
		if n, err = k.Conn.Read(into); watch && n > 0 {
			if !k.keepEarly(into[:n]) {
				return 0, io.EOF
			}
			if err == nil {
				into = make([]byte, 1<<10) // net/http reads one byte here; early bytes, which are rare, get a larger buffer
				continue
			}
			n = 0
		}
		return k.received(p[:n], err, ownTimeout)
	}
}

// nextRead copies early bytes to p. If it returns neither bytes nor an error, Read is to read the socket. watch reports
// whether that read serves only to notice the client's disconnect. ownTimeout reports whether the socket's read deadline
// was set by this package's timeouts, not by net/http.
func (k *clientConn) nextRead(p []byte) (n int, watch, ownTimeout bool, err error) {
	k.listener.mu.Lock()
	defer k.listener.mu.Unlock()
	if k.state >= stateClosing {
		return 0, false, false, io.EOF
	}
	// watch can't change during the read: net/http ends its background read before it reports the connection as idle.
	watch = k.framing.complete > k.framing.responded && !k.framing.unparsable
	if n = copy(p, k.early); !watch && n > 0 {
		if k.early = k.early[n:]; len(k.early) == 0 {
			k.early = nil
		}
		k.consume(p[:n], time.Now())
		return n, false, false, nil
	}
	return 0, watch, k.applyDeadline(), nil
}

// keepEarly stores bytes that arrived early, and reports whether the connection stays open.
func (k *clientConn) keepEarly(p []byte) bool {
	k.listener.mu.Lock()
	defer k.listener.mu.Unlock()
	if len(k.early)+len(p) > maxEarlyBytes {
		k.earlyOverflow = true
	} else {
		k.early = append(k.early, p...)
	}
	return k.state < stateClosing
}

// received handles the result of a read of the socket. The bytes are passed on as bytes of a request, unless the close
// began during the read: then they are dropped.
func (k *clientConn) received(p []byte, err error, ownTimeout bool) (int, error) {
	now := time.Now()
	k.listener.mu.Lock()
	if k.state >= stateClosing {
		k.listener.mu.Unlock()
		return 0, io.EOF
	}
	if len(p) > 0 {
		k.consume(p, now)
	}
	var late net.Error
	respond := false
	switch {
	case err == nil:
	case errors.As(err, &late) && late.Timeout():
		k.timedOut = true
		respond = ownTimeout && !k.handled && k.requestBegun && !k.sentTimeout
		k.sentTimeout = k.sentTimeout || respond
	default:
		k.broken = true
	}
	k.listener.mu.Unlock()
	if respond {
		_ = k.SetWriteDeadline(now.Add(responseWriteTimeout))
		_, _ = io.WriteString(k.Conn, headTimeoutResponse)
	}
	return len(p), err
}

// consume records bytes of a request that are passed to net/http now. From here on the connection is not idle. The caller
// holds listener.mu.
func (k *clientConn) consume(p []byte, now time.Time) {
	k.framing.feed(p)
	k.requestBegun, k.lastRead, k.quietSince = true, now, now
	if k.state != stateBusy {
		k.state = stateReading
		k.moveTo(&k.listener.quiet)
	}
}

// moveTo moves k to the end of one of the listener's lists. nil removes k from its list. The caller holds listener.mu.
func (k *clientConn) moveTo(to *list.List) {
	if k.list == to && to != nil {
		to.MoveToBack(k.element)
		return
	}
	if k.list != nil {
		k.list.Remove(k.element)
	}
	if k.list = to; to != nil {
		k.element = to.PushBack(k)
	}
}

// startHandling records that the handler has a request, and reports whether a chunked body of the request may be read.
// framing decides this from the raw head.
func (k *clientConn) startHandling() (chunked bool) {
	k.listener.mu.Lock()
	defer k.listener.mu.Unlock()
	k.handled = true
	return k.framing.nextVerdict()
}

// setReadingBody sets whether the handler is reading the request's body. While it is, gapTimeout applies to the reads.
func (k *clientConn) setReadingBody(reading bool) {
	k.listener.mu.Lock()
	defer k.listener.mu.Unlock()
	k.readingBody, k.lastRead = reading, time.Now()
}

// claim reports whether the handler may forward the request that it has read. It may not if the close began before. Then
// the handler must treat the request as never read: the client sees a closed connection or an error and may send the
// request elsewhere. After a claim the listener doesn't close the connection until the request has its response.
func (k *clientConn) claim() bool {
	k.listener.mu.Lock()
	defer k.listener.mu.Unlock()
	if k.state >= stateClosing {
		return false
	}
	k.state = stateBusy
	k.moveTo(&k.listener.busy)
	return true
}

// responded records that the request has its response. The connection becomes idle, unless bytes of the next request were
// already read. It is closed if more early bytes arrived than are kept, or if it is idle in a drain.
func (k *clientConn) responded() {
	k.listener.mu.Lock()
	defer k.listener.mu.Unlock()
	if k.state >= stateClosing {
		return
	}
	k.framing.responded++
	k.handled, k.readingBody, k.written, k.quietSince = false, false, false, time.Now()
	if k.requestBegun = k.framing.hasPartial(); k.requestBegun || len(k.early) > 0 {
		k.state = stateReading
		k.moveTo(&k.listener.quiet)
	} else {
		k.state = stateIdle
		k.moveTo(&k.listener.idle)
	}
	if k.earlyOverflow || k.listener.draining && k.state == stateIdle {
		k.startClose("")
	}
}

// startClose begins the close. No byte that is read from here on becomes part of a request. If a request was begun on the
// connection, it is counted as given up; why is its reason if no other applies. A read deadline in the past makes
// net/http's goroutine return from Read and close the connection. The caller holds listener.mu.
func (k *clientConn) startClose(why string) {
	if k.state >= stateClosing {
		return
	}
	if reason, ok := k.giveUpReason(why); ok && k.listener.giveUps != nil {
		k.listener.giveUps.add(reason)
	}
	k.state, k.closeReason = stateClosing, why
	k.moveTo(&k.listener.lingering)
	k.listener.boundLingering()
	_ = k.Conn.SetReadDeadline(time.Unix(1, 0))
}

// giveUpReason returns why the request that was begun on the connection is given up when the connection ends. ok is false
// if no request was begun, or if the handler has the request and counts it. by is the listener's reason for the close;
// empty: none. The caller holds listener.mu.
func (k *clientConn) giveUpReason(by string) (reason string, ok bool) {
	switch {
	case k.handled || !k.requestBegun:
		return "", false
	case k.broken: // first, as net/http writes a 400 after a truncated head, which the client doesn't read
		return headDisconnected, true
	case k.sentTimeout:
		return headSlow, true
	case k.written: // before the handler only net/http writes: a 4xx for an invalid head
		return headRefused, true
	case by != "":
		return by, true
	case k.timedOut:
		return headSlow, true
	}
	return headClosed, true
}

// Write records that a response was begun, and writes to the socket.
func (k *clientConn) Write(p []byte) (int, error) {
	k.listener.mu.Lock()
	k.written = true
	k.listener.mu.Unlock()
	return k.Conn.Write(p)
}

// CloseWrite shuts down the sending side. net/http calls it before it closes a connection on which the client is still
// sending.
func (k *clientConn) CloseWrite() error {
	k.listener.mu.Lock()
	k.startClose("")
	k.state = max(k.state, stateLingering)
	k.listener.mu.Unlock()
	return k.closeWrite()
}

// closeWrite shuts down the sending side of the socket.
func (k *clientConn) closeWrite() error {
	if c, ok := k.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close closes the connection with a lingering close. It returns when the client has closed its side too, or after
// lingerTimeout or maxLingerBytes. A connection that was evicted with a request begun on it, or before its first request,
// gets evictedResponse before.
func (k *clientConn) Close() error {
	k.listener.mu.Lock()
	k.startClose("")
	response := ""
	if k.closeReason == headEvicted && !k.written && (k.requestBegun || k.framing.responded == 0) {
		response = evictedResponse(k.listener.retryAfter()) // not on an idle connection, where the client expects no response
	}
	disconnected, closed := k.broken, k.state == stateClosed
	k.state = max(k.state, stateLingering)
	k.listener.mu.Unlock()
	if closed {
		return net.ErrClosed
	}
	if response != "" {
		_ = k.SetWriteDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.WriteString(k.Conn, response)
	}
	if !disconnected && k.closeWrite() == nil {
		k.linger()
	}
	return k.closeSocket()
}

// linger reads and drops the client's remaining bytes until the client closes its side, within lingerTimeout and
// maxLingerBytes.
func (k *clientConn) linger() {
	_ = k.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	buf := make([]byte, 512)
	for all := 0; all < maxLingerBytes; {
		n, err := k.Conn.Read(buf)
		if err != nil {
			return
		}
		if all += n; n == len(buf) && len(buf) < 1<<14 {
			buf = make([]byte, 1<<14)
		}
	}
}

// closeSocket removes the connection from the listener's lists and closes the socket, even if it has unread bytes.
func (k *clientConn) closeSocket() error {
	k.listener.mu.Lock()
	k.state = stateClosed
	k.moveTo(nil)
	k.listener.mu.Unlock()
	return k.Conn.Close()
}
