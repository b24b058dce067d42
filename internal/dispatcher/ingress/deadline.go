package ingress

import "time"

// These timeouts bound the time that a client has to send a request. The short ones bound the gap between two reads, not
// the total. So a client may send slowly in small parts, and the connection of a client that stops sending is closed soon.
const (
	// firstByteTimeout is the time from the accept of a connection to its first byte. Some clients take 2 s before they
	// send, and the platform expects a connection without any byte to be closed within 3 s.
	firstByteTimeout = 2500 * time.Millisecond
	// gapTimeout is the longest time without a byte within a head or a body.
	gapTimeout = 1500 * time.Millisecond
	// headTimeout and bodyTimeout bound the total time for a head and for a body, even if no gap is too long.
	headTimeout = 10 * time.Second
	bodyTimeout = 10 * time.Second
)

// SetReadDeadline records the read deadline that net/http sets, and sets it on the socket. applyDeadline combines it with
// this package's timeouts. Once the close has begun, SetReadDeadline does nothing, because the deadline that startClose or
// linger has set must stay.
func (k *clientConn) SetReadDeadline(t time.Time) error {
	k.listener.mu.Lock()
	defer k.listener.mu.Unlock()
	if k.state >= stateClosing {
		return nil
	}
	k.httpDeadline, k.socketDeadline = t, t
	return k.Conn.SetReadDeadline(t)
}

// SetDeadline sets the read deadline as SetReadDeadline does, and the write deadline on the socket.
func (k *clientConn) SetDeadline(t time.Time) error {
	if err := k.SetReadDeadline(t); err != nil {
		return err
	}
	return k.SetWriteDeadline(t)
}

// applyDeadline sets the socket's read deadline to the earlier one of net/http's deadline and this package's, and reports
// whether it is this package's. It makes the system call only when the deadline changes, as reads are frequent. The caller
// holds listener.mu.
func (k *clientConn) applyDeadline() (own bool) {
	at := time.Time{}
	switch {
	case k.state == stateNew:
		at = k.lastRead.Add(firstByteTimeout)
	case k.readingBody || k.requestBegun && !k.handled:
		// No deadline applies while the handler has a complete request. net/http then reads only to notice the client's
		// disconnect, and would take an expired deadline for a disconnect.
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
