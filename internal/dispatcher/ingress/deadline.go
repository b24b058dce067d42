package ingress

import "time"

// How long a client may take to send a request. A client that sends in small chunks gets time for as long as they
// keep arriving, while one that stops is closed soon: the gap between bytes counts, not the total.
const (
	// firstByteTimeout is for the first byte on a new connection: some clients take 2 s to begin, while the platform
	// expects a close within 3 s on connections without any.
	firstByteTimeout = 2500 * time.Millisecond
	// gapTimeout is the longest gap within a head or a body.
	gapTimeout = 1500 * time.Millisecond
	// headTimeout and bodyTimeout bound a head and a body, however they are sent.
	headTimeout = 10 * time.Second
	bodyTimeout = 10 * time.Second
)

// SetReadDeadline keeps the deadline that net/http wants; applyDeadline combines it with this package's timeouts. A
// connection that closes has a deadline of its own.
func (k *clientConn) SetReadDeadline(t time.Time) error {
	k.listener.mu.Lock()
	defer k.listener.mu.Unlock()
	if k.state >= stateClosing {
		return nil
	}
	k.httpDeadline, k.socketDeadline = t, t
	return k.Conn.SetReadDeadline(t)
}

// SetDeadline sets both deadlines, the one for reading as SetReadDeadline does.
func (k *clientConn) SetDeadline(t time.Time) error {
	if err := k.SetReadDeadline(t); err != nil {
		return err
	}
	return k.SetWriteDeadline(t)
}

// applyDeadline sets the socket's read deadline to the earlier one of net/http's and this package's, and reports
// whether it is this package's. The socket is only set when it changes, as reads are frequent. listener.mu is held.
func (k *clientConn) applyDeadline() (own bool) {
	at := time.Time{}
	switch {
	case k.state == stateNew:
		at = k.lastRead.Add(firstByteTimeout)
	case k.readingBody || k.requestBegun && !k.handled:
		// Not while the handler has the request: net/http reads then to notice a disconnect, and would take the
		// deadline for one.
		at = k.lastRead.Add(gapTimeout)
	}
	own = !at.IsZero() && (k.httpDeadline.IsZero() || !k.httpDeadline.Before(at))
	if !own {
		at = k.httpDeadline
	}
	if !at.Equal(k.socketDeadline) {
		k.socketDeadline = at
		_ = k.Conn.SetReadDeadline(at)
	}
	return own
}
