package ingress

import (
	"errors"
	"io"
	"net"
	"strconv"
	"time"
)

// How long a client may take to send a request. A client that sends in pieces is given time for as long as the
// pieces keep coming, while one that falls silent is cut off soon: what counts is the gap, not the whole.
const (
	// firstWithin is for the first byte on a new connection: some clients take 2 s to begin, while silent
	// connections are owed a close within 3 s.
	firstWithin = 2500 * time.Millisecond
	// gapWithin is the longest silence within a head or a body.
	gapWithin = 1500 * time.Millisecond
	// headWithin and bodyWithin bound a head and a body however their pieces come.
	headWithin = 10 * time.Second
	bodyWithin = 10 * time.Second
)

// Where a connection is, for the silences it is allowed.
const (
	waitFirst = iota // new: no byte yet
	waitNext         // between requests: net/http's idle limit alone
	inRequest        // a head or body is under way
)

// headLate is written on a connection whose head stopped coming, as net/http would close it without a word.
var headLate = func() string {
	line := "the request's head stopped coming\n"
	return "HTTP/1.1 408 Request Timeout\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n" +
		"Content-Length: " + strconv.Itoa(len(line)) + "\r\n\r\n" + line
}()

// SetReadDeadline keeps the deadline that net/http wants; Read applies it together with the silences.
func (k *client) SetReadDeadline(t time.Time) error {
	k.dl.Lock()
	defer k.dl.Unlock()
	k.want, k.applied = t, t
	return k.Conn.SetReadDeadline(t)
}

func (k *client) SetDeadline(t time.Time) error {
	if err := k.SetReadDeadline(t); err != nil {
		return err
	}
	return k.Conn.SetWriteDeadline(t)
}

// limit sets the connection's read deadline to the earlier of net/http's and the one of silence, and tells
// whether that of silence is the one in force. The socket is told only of a change, as reads come often.
func (k *client) limit() (silence bool) {
	k.dl.Lock()
	defer k.dl.Unlock()
	at := time.Time{}
	switch {
	case k.phase == waitFirst:
		at = k.last.Add(firstWithin)
	case k.phase == inRequest || (k.pending.Load() > 0 && !k.heard.Load()):
		// Not while a handler has the request: net/http's read for the client's leaving would take the
		// deadline for a leaving.
		at = k.last.Add(gapWithin)
	}
	silence = !at.IsZero() && (k.want.IsZero() || !k.want.Before(at))
	if !silence {
		at = k.want
	}
	if !at.Equal(k.applied) {
		k.applied = at
		_ = k.Conn.SetReadDeadline(at)
	}
	return silence
}

func (k *client) Read(p []byte) (int, error) {
	silence := k.limit()
	n, err := k.Conn.Read(p)
	if n > 0 {
		now := time.Now()
		k.in.touch(k, now)
		k.dl.Lock()
		k.last = now
		if k.phase == waitFirst {
			k.phase = inRequest
		}
		k.dl.Unlock()
	}
	k.pending.Add(int64(n))
	k.frames.see(p[:n])
	var late net.Error
	switch {
	case err == nil:
	case errors.As(err, &late) && late.Timeout():
		k.lastErr.Store(readLate)
		if silence && !k.heard.Load() && k.pending.Load() > 0 && !k.toldLate.Swap(true) {
			_ = k.Conn.SetWriteDeadline(time.Now().Add(answerLimit))
			_, _ = io.WriteString(k.Conn, headLate)
		}
	default:
		k.lastErr.Store(readBroken)
	}
	return n, err
}

// begin notes that a request's body is to be read, so that its silences are bounded; end that it was.
func (k *client) begin() {
	k.dl.Lock()
	k.phase, k.last = inRequest, time.Now()
	k.dl.Unlock()
}

func (k *client) end() {
	k.dl.Lock()
	k.phase = waitNext
	k.dl.Unlock()
}
