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

// The states of a client's connection, in order. They change under limitedListener.mu, which orders reading and
// closing: bytes that are read before the close begins keep the connection open until the request that they belong to
// has its response; bytes that are read after it never become a request.
const (
	stateNew       connState = iota // no byte of a request yet
	stateReading                    // bytes of a request were read; it is incomplete, or the handler has not claimed it yet
	stateBusy                       // the handler has claimed the request; this side never closes it
	stateIdle                       // the last request has its response and no byte of a next one was read
	stateClosing                    // the close has begun: nothing read from here on is a request
	stateLingering                  // the sending side is shut; what the client still sends is read and dropped
	stateClosed
)

const (
	// maxEarlyBytes bounds the bytes that are kept of what a client sends before it has its response; the rest is
	// dropped, and the connection ends with the response. Clients send one request at a time, so there are hardly
	// ever any; all connections' together must fit the smallest memory limit.
	maxEarlyBytes = 2 * maxHead
	// lingerTimeout and maxLingerBytes bound a lingering close. A client that reads its response closes at once; the
	// others' connections count against limitedListener.maxLingering.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 1 << 20
)

// rawResponse is a response that is written without net/http, where that has no request to respond to.
func rawResponse(status, more, line string) string {
	return "HTTP/1.1 " + status + "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n" + more +
		"Content-Length: " + strconv.Itoa(len(line)+1) + "\r\n\r\n" + line + "\n"
}

// headTimeoutResponse is written on a connection whose head stopped arriving, which net/http would close without a
// response.
var headTimeoutResponse = rawResponse("408 Request Timeout", "", "the request's head stopped coming")

// evictedResponse is written on a connection that is evicted before its request was read.
func evictedResponse(retryAfter time.Duration) string {
	more := ""
	if retryAfter > 0 {
		more = "Retry-After: " + formatRetryAfter(retryAfter) + "\r\n"
	}
	return rawResponse("503 Service Unavailable", more, "this connection had to make room; a retry is harmless")
}

// formatRetryAfter returns the value of a Retry-After header: seconds with a fraction.
func formatRetryAfter(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// clientConn is a client's connection. Whoever closes it, it lingers: the sending side is shut first, then what still
// arrives is dropped until the client has closed too, so that no response is destroyed by unread bytes (RFC 9112,
// 9.6).
type clientConn struct {
	net.Conn
	listener *limitedListener

	// The rest is guarded by listener.mu.
	state         connState
	list          *list.List    // the listener's list that it is in; nil: none
	element       *list.Element // its element there
	quietSince    time.Time     // the list is ordered by it: the last byte, response, or the accept
	lastRead      time.Time     // when the last bytes were read, or it was accepted
	handled       bool          // the handler has the request
	readingBody   bool          // the handler is reading its body
	requestBegun  bool          // bytes of a request were read since the last response
	written       bool          // something was written since the last response
	early         []byte        // what the client sent before it had its response
	earlyOverflow bool          // it sent more than is kept: the connection ends with the response
	closeReason   string        // the reason for which this side closes it; empty: none that counts
	framing       framing

	// How the last read failed, for the counts of requests given up.
	timedOut, broken bool
	sentTimeout      bool // headTimeoutResponse was written; net/http reads again after a timeout

	httpDeadline   time.Time // the read deadline that net/http set
	socketDeadline time.Time // the one set on the socket
}

func newClientConn(conn net.Conn, l *limitedListener, now time.Time) *clientConn {
	return &clientConn{Conn: conn, listener: l, quietSince: now, lastRead: now, framing: framing{length: -1}}
}

// Read gives net/http the bytes of requests. While the handler has a complete request, net/http reads only to notice
// the client's disconnect, and stops watching at the first byte; so bytes that arrive early are kept here, and
// net/http goes on watching.
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
				into = make([]byte, 1<<10) // rare, so only the first byte is read into net/http's buffer
				continue
			}
			n = 0
		}
		return k.received(p[:n], err, ownTimeout)
	}
}

// nextRead copies early bytes to p, or else lets Read go to the socket: with watch, only to notice the client's
// disconnect. ownTimeout reports whether the socket's deadline is one of this package's, not net/http's.
func (k *clientConn) nextRead(p []byte) (n int, watch, ownTimeout bool, err error) {
	k.listener.mu.Lock()
	defer k.listener.mu.Unlock()
	if k.state >= stateClosing {
		return 0, false, false, io.EOF
	}
	// This holds for the whole read: net/http ends its watch before the connection becomes idle.
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

// keepEarly keeps bytes that arrived early. It reports whether the connection stays open.
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

// received handles what a read of the socket returned: bytes of a request, unless the close has begun meanwhile.
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

// consume notes bytes of a request that go to net/http now: from here on the connection is not idle. listener.mu is
// held.
func (k *clientConn) consume(p []byte, now time.Time) {
	k.framing.feed(p)
	k.requestBegun, k.lastRead, k.quietSince = true, now, now
	if k.state != stateBusy {
		k.state = stateReading
		k.moveTo(&k.listener.quiet)
	}
}

// moveTo moves k to the end of one of the listener's lists; nil: of none. listener.mu is held.
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

// startHandling notes that the handler has a request, and reports whether its head on the wire allows a chunked body.
func (k *clientConn) startHandling() (chunked bool) {
	k.listener.mu.Lock()
	defer k.listener.mu.Unlock()
	k.handled = true
	return k.framing.nextVerdict()
}

// setReadingBody sets whether the handler is reading the request's body, which gapTimeout then applies to.
func (k *clientConn) setReadingBody(reading bool) {
	k.listener.mu.Lock()
	defer k.listener.mu.Unlock()
	k.readingBody, k.lastRead = reading, time.Now()
}

// claim notes that a request was read completely. It reports false if the close had begun before: the request then
// counts as never read and must not be forwarded.
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

// responded notes that the request has its response. If bytes of the next one were already read, the connection is
// not idle.
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

// startClose begins the close, for a reason that is counted if a request was begun. Nothing that is read from here on
// is a request. The goroutine that reads the connection wakes up and closes it. listener.mu is held.
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

// giveUpReason returns why the request begun on the connection is given up as the connection ends; ok is false if
// there was none. by is the reason if the dispatcher closes it. listener.mu is held.
func (k *clientConn) giveUpReason(by string) (reason string, ok bool) {
	switch {
	case k.handled || !k.requestBegun:
		return "", false
	case k.broken: // net/http responds 400 to a truncated head, but nobody reads it
		return headDisconnected, true
	case k.sentTimeout:
		return headSlow, true
	case k.written: // only net/http writes before the handler: its 4xx for an invalid head
		return headRefused, true
	case by != "":
		return by, true
	case k.timedOut:
		return headSlow, true
	}
	return headClosed, true
}

// Write notes that a response was begun, and writes to the socket.
func (k *clientConn) Write(p []byte) (int, error) {
	k.listener.mu.Lock()
	k.written = true
	k.listener.mu.Unlock()
	return k.Conn.Write(p)
}

// CloseWrite shuts the sending side. net/http calls it before it closes a connection on which the client is still
// sending.
func (k *clientConn) CloseWrite() error {
	k.listener.mu.Lock()
	k.startClose("")
	k.state = max(k.state, stateLingering)
	k.listener.mu.Unlock()
	return k.closeWrite()
}

func (k *clientConn) closeWrite() error {
	if c, ok := k.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close closes the connection with a lingering close. It returns when the client has closed its side too, or after
// lingerTimeout or maxLingerBytes.
func (k *clientConn) Close() error {
	k.listener.mu.Lock()
	k.startClose("")
	response := ""
	if k.closeReason == headEvicted && !k.written && (k.requestBegun || k.framing.responded == 0) {
		response = evictedResponse(k.listener.retryAfter()) // an idle one has no request
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

// linger drops what the client still sends, until it closes.
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

// closeSocket closes the socket, whatever is still buffered, and removes the connection from the listener's lists.
func (k *clientConn) closeSocket() error {
	k.listener.mu.Lock()
	k.state = stateClosed
	k.moveTo(nil)
	k.listener.mu.Unlock()
	return k.Conn.Close()
}
