package ingress

import "time"

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

// SetReadDeadline keeps the deadline that net/http wants; limit applies it together with the silences. A connection
// that closes has a deadline of its own.
func (k *client) SetReadDeadline(t time.Time) error {
	k.in.mu.Lock()
	defer k.in.mu.Unlock()
	if k.state >= stateClosing {
		return nil
	}
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
// whether that of silence is the one in force. The socket is told only of a change, as reads come often. in.mu is held.
func (k *client) limit() (silence bool) {
	at := time.Time{}
	switch {
	case k.state == stateNew:
		at = k.last.Add(firstWithin)
	case k.body || k.begun && !k.heard:
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
