package ingress

import (
	"container/list"
	"errors"
	"io"
	"net"
	"strconv"
	"time"
)

// The states of a client's connection. All changes are made under limitedListener.mu, where reading and closing are decided
// against each other: bytes that are read before the decision to close keep the connection open until the request
// that they begin is answered, and bytes that are read after it never become a request.
const (
	stateNew       = iota // no byte of a request yet
	stateReading          // bytes of a request came; it is not whole, or the handler has not taken it yet
	stateInHand           // the handler took the request; it is never closed from this side
	stateResting          // the last request was answered and not a byte of a next one was read
	stateClosing          // it is decided: nothing read from here on is a request
	stateLingering        // the sending side is shut, what still comes is read and dropped
	stateClosed
)

const (
	// earlyMost bounds the bytes kept that a client sends before it has the answer it waits for; those beyond are
	// dropped, and the connection ends with the answer. Clients send one request at a time, so there are hardly ever
	// any, and what all connections may keep together must fit the smallest memory limit.
	earlyMost = 2 * maxHead
	// lingerWithin, lingerBytes bound a lingering close. A client that reads its answer closes at once; others are a
	// nuisance, whose connections count against the listener's own bound for them.
	lingerWithin = 500 * time.Millisecond
	lingerBytes  = 1 << 20
)

// plainAnswer is an answer written without net/http, where that has no request to answer.
func plainAnswer(status, more, line string) string {
	return "HTTP/1.1 " + status + "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n" + more +
		"Content-Length: " + strconv.Itoa(len(line)+1) + "\r\n\r\n" + line + "\n"
}

// headLate is written on a connection whose head stopped coming, as net/http would close it without a word.
var headLate = plainAnswer("408 Request Timeout", "", "the request's head stopped coming")

// noRoom is what a connection is told that has to go before its request was read.
func noRoom(retryAfter time.Duration) string {
	more := ""
	if retryAfter > 0 {
		more = "Retry-After: " + retryText(retryAfter) + "\r\n"
	}
	return plainAnswer("503 Service Unavailable", more, "this connection had to make room; a retry is harmless")
}

// retryText is the value of a Retry-After: seconds with a fraction.
func retryText(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// client is a client's connection. It closes in order, whoever closes it (a lingering close): the sending side is
// shut first, then what still comes is dropped until the client has closed too, so that no answer is destroyed by
// bytes that nobody reads.
type client struct {
	net.Conn
	in *limitedListener

	// The rest is guarded by in.mu.
	state  int
	list   *list.List    // the one of the listener's that it stands in
	at     *list.Element // its place there
	since  time.Time     // that it has been silent in that list
	last   time.Time     // when the last bytes came, or the connection did
	heard  bool          // the handler has the request
	body   bool          // the handler reads its body
	begun  bool          // bytes of a request were read since the last answer
	wrote  bool          // something was written since the last answer
	early  []byte        // what the client sent before it had its answer
	over   bool          // it sent more than is kept: the connection ends with the answer
	why    string        // the reason for which this side closes it; empty: it does not
	frames framing

	// How the last read failed, for the counts of requests given up.
	late, broken bool
	toldLate     bool // the client was told that its head stopped coming; net/http reads again after a timeout

	want    time.Time // the read deadline that net/http set
	applied time.Time // the one the socket has
}

func newClient(conn net.Conn, in *limitedListener, now time.Time) *client {
	return &client{Conn: conn, in: in, since: now, last: now, frames: framing{length: -1}}
}

// Read gives net/http the bytes of requests. While the handler has a request that was read whole, net/http reads
// only to notice the client's leaving, and stops watching at the first byte; so bytes that come early are kept
// here, and net/http goes on watching.
func (k *client) Read(p []byte) (int, error) {
	for into := p; ; {
		n, watch, silence, err := k.ahead(p)
		if n > 0 || err != nil {
			return n, err
		}
		if n, err = k.Conn.Read(into); watch && n > 0 {
			if !k.keep(into[:n]) {
				return 0, io.EOF
			}
			if err == nil {
				into = make([]byte, 1<<10) // it is rare, so only the first byte goes into net/http's own
				continue
			}
			n = 0
		}
		return k.came(p[:n], err, silence)
	}
}

// ahead tells what a read may do: give out what came early, or go to the socket, with watch only to notice the
// client's leaving. silence tells whether it is the limit on silence that ends it.
func (k *client) ahead(p []byte) (n int, watch, silence bool, err error) {
	k.in.mu.Lock()
	defer k.in.mu.Unlock()
	if k.state >= stateClosing {
		return 0, false, false, io.EOF
	}
	// It stays as it is while a read is under way: net/http ends its watch before it lets the connection rest.
	watch = k.frames.ended > k.frames.answered && !k.frames.lost
	if n = copy(p, k.early); !watch && n > 0 {
		if k.early = k.early[n:]; len(k.early) == 0 {
			k.early = nil
		}
		k.saw(p[:n], time.Now())
		return n, false, false, nil
	}
	return 0, watch, k.limit(), nil
}

// keep holds back bytes that came early. It is false where the connection is being closed.
func (k *client) keep(p []byte) bool {
	k.in.mu.Lock()
	defer k.in.mu.Unlock()
	if len(k.early)+len(p) > earlyMost {
		k.over = true
	} else {
		k.early = append(k.early, p...)
	}
	return k.state < stateClosing
}

// came takes in what a read of the socket brought: bytes of a request, unless it was decided meanwhile to close.
func (k *client) came(p []byte, err error, silence bool) (int, error) {
	now := time.Now()
	k.in.mu.Lock()
	if k.state >= stateClosing {
		k.in.mu.Unlock()
		return 0, io.EOF
	}
	if len(p) > 0 {
		k.saw(p, now)
	}
	var late net.Error
	tell := false
	switch {
	case err == nil:
	case errors.As(err, &late) && late.Timeout():
		k.late = true
		tell = silence && !k.heard && k.begun && !k.toldLate
		k.toldLate = k.toldLate || tell
	default:
		k.broken = true
	}
	k.in.mu.Unlock()
	if tell {
		_ = k.Conn.SetWriteDeadline(now.Add(answerLimit))
		_, _ = io.WriteString(k.Conn, headLate)
	}
	return len(p), err
}

// saw notes bytes of a request that go to net/http now: from here on the connection does not rest. in.mu is held.
func (k *client) saw(p []byte, now time.Time) {
	k.frames.see(p)
	k.begun, k.last, k.since = true, now, now
	if k.state != stateInHand {
		k.state = stateReading
		k.move(&k.in.silent)
	}
}

// move puts k at the end of a list of the listener's; nil: of none. in.mu is held.
func (k *client) move(to *list.List) {
	if k.list == to && to != nil {
		to.MoveToBack(k.at)
		return
	}
	if k.list != nil {
		k.list.Remove(k.at)
	}
	if k.list = to; to != nil {
		k.at = to.PushBack(k)
	}
}

// hear notes that the handler has a request, and tells whether its head on the wire allows a chunked body.
func (k *client) hear() (chunked bool) {
	k.in.mu.Lock()
	defer k.in.mu.Unlock()
	k.heard = true
	return k.frames.take()
}

// reads notes whether the handler reads the request's body, so that its silences are bounded.
func (k *client) reads(body bool) {
	k.in.mu.Lock()
	defer k.in.mu.Unlock()
	k.body, k.last = body, time.Now()
}

// take notes that a request was read whole. It is false where it was decided before to close the connection: the
// request then counts as never read, and must not be sent on.
func (k *client) take() bool {
	k.in.mu.Lock()
	defer k.in.mu.Unlock()
	if k.state >= stateClosing {
		return false
	}
	k.state = stateInHand
	k.move(&k.in.busy)
	return true
}

// rest notes that the request in hand was answered. Where bytes of the next one were read already, it is not idle.
func (k *client) rest() {
	k.in.mu.Lock()
	defer k.in.mu.Unlock()
	if k.state >= stateClosing {
		return
	}
	k.frames.answered++
	k.heard, k.body, k.wrote, k.since = false, false, false, time.Now()
	if k.begun = k.frames.midway(); k.begun || len(k.early) > 0 {
		k.state = stateReading
		k.move(&k.in.silent)
	} else {
		k.state = stateResting
		k.move(&k.in.idle)
	}
	if k.over || k.in.draining && k.state == stateResting {
		k.shut("")
	}
}

// shut decides that the connection is closed, for a reason that is counted where a request was begun on it. Nothing
// that is read from here on is a request. The goroutine that reads it wakes and closes it in order. in.mu is held.
func (k *client) shut(why string) {
	if k.state >= stateClosing {
		return
	}
	if reason, ok := k.lost(why); ok && k.in.giveUps != nil {
		k.in.giveUps.add(reason)
	}
	k.state, k.why = stateClosing, why
	k.move(&k.in.lingering)
	k.in.boundLingering()
	_ = k.Conn.SetReadDeadline(time.Unix(1, 0))
}

// lost tells why a request begun on the connection is given up as the connection ends, if one was; by is the
// reason where the dispatcher itself closes it. in.mu is held.
func (k *client) lost(by string) (reason string, ok bool) {
	switch {
	case k.heard || !k.begun:
		return "", false
	case k.broken: // net/http answers 400 to a head cut short, but nobody reads it
		return headLeft, true
	case k.toldLate:
		return headSlow, true
	case k.wrote: // only net/http writes before the handler: its 4xx for a head it cannot read
		return headRefused, true
	case by != "":
		return by, true
	case k.late:
		return headSlow, true
	}
	return headClosed, true
}

func (k *client) Write(p []byte) (int, error) {
	k.in.mu.Lock()
	k.wrote = true
	k.in.mu.Unlock()
	return k.Conn.Write(p)
}

// CloseWrite shuts the sending side: net/http does so before it closes where a client is still sending.
func (k *client) CloseWrite() error {
	k.in.mu.Lock()
	k.shut("")
	k.state = max(k.state, stateLingering)
	k.in.mu.Unlock()
	return k.closeWrite()
}

func (k *client) closeWrite() error {
	if c, ok := k.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close closes the connection in order. It returns when the client has closed its side too, or the bounds of that
// wait are over.
func (k *client) Close() error {
	k.in.mu.Lock()
	k.shut("")
	words := ""
	if k.why == headRoom && !k.wrote && (k.begun || k.frames.answered == 0) {
		words = noRoom(k.in.retryAfter()) // one that rests between requests asked for nothing
	}
	left, closed := k.broken, k.state == stateClosed
	k.state = max(k.state, stateLingering)
	k.in.mu.Unlock()
	if closed {
		return net.ErrClosed
	}
	if words != "" {
		_ = k.Conn.SetWriteDeadline(time.Now().Add(lingerWithin))
		_, _ = io.WriteString(k.Conn, words)
	}
	if !left && k.closeWrite() == nil {
		k.linger()
	}
	return k.drop()
}

// linger drops what the client still sends, until it closes.
func (k *client) linger() {
	_ = k.Conn.SetReadDeadline(time.Now().Add(lingerWithin))
	buf := make([]byte, 512)
	for all := 0; all < lingerBytes; {
		n, err := k.Conn.Read(buf)
		if err != nil {
			return
		}
		if all += n; n == len(buf) && len(buf) < 1<<14 {
			buf = make([]byte, 1<<14)
		}
	}
}

// drop closes the socket, whatever is still on it, and takes it out of the listener's lists.
func (k *client) drop() error {
	k.in.mu.Lock()
	k.state = stateClosed
	k.move(nil)
	k.in.mu.Unlock()
	return k.Conn.Close()
}
