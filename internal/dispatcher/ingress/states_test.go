package ingress

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fakeConn is a connection without a socket. Each write and close succeeds.
type fakeConn struct{ net.Conn }

func (fakeConn) Close() error                     { return nil }
func (fakeConn) SetReadDeadline(time.Time) error  { return nil }
func (fakeConn) SetWriteDeadline(time.Time) error { return nil }
func (fakeConn) Write(p []byte) (int, error)      { return len(p), nil }

// connModel drives a listener's connections without sockets. Its exported methods are the actions of a rapid state machine,
// and Check is called after each action.
type connModel struct {
	listener *limitedListener
	all      []*clientConn // all accepted connections, including closed ones
	now      time.Time     // the simulated time
}

// pick draws a connection that satisfies ok. If there is none, the action is skipped.
func (m *connModel) pick(t *rapid.T, ok func(k *clientConn) bool) *clientConn {
	fit := m.where(ok)
	if len(fit) == 0 {
		t.Skip("no connection is in a state for this action")
	}
	return rapid.SampledFrom(fit).Draw(t, "connection")
}

// where returns the connections that satisfy ok.
func (m *connModel) where(ok func(k *clientConn) bool) (fit []*clientConn) {
	for _, k := range m.all {
		if ok(k) {
			fit = append(fit, k)
		}
	}
	return fit
}

// Check fails if the listener's bounds are exceeded, or if a connection is in another list than its state requires.
func (m *connModel) Check(t *rapid.T) {
	l := m.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open() > l.maxConns || l.lingering.Len() > l.maxLingering {
		t.Fatal("more connections than allowed")
	}
	for _, k := range m.all {
		want := map[connState]any{stateNew: &l.quiet, stateReading: &l.quiet, stateBusy: &l.busy, stateIdle: &l.idle,
			stateClosing: &l.lingering, stateLingering: &l.lingering}[k.state]
		if k.state == stateClosed && k.list != nil || k.state != stateClosed && any(k.list) != want {
			t.Fatalf("a connection in state %d is in the wrong list", k.state)
		}
	}
}

// Accept lets a further connection arrive. The listener may evict an open one for it.
func (m *connModel) Accept(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
	busy := m.where(func(k *clientConn) bool { return k.state == stateBusy })
	if k, _ := m.listener.admit(fakeConn{}, m.now); k != nil {
		m.all = append(m.all, k)
	}
	for _, k := range busy {
		if k.state != stateBusy {
			t.Fatal("a connection with a request in the handler was evicted")
		}
	}
}

// Read lets the bytes of a request arrive on a connection.
func (m *connModel) Read(t *rapid.T) {
	k := m.pick(t, func(k *clientConn) bool { return k.state != stateBusy && k.state != stateClosed })
	closing := k.state >= stateClosing
	n, err := k.received([]byte(fullRequest), nil, false)
	if closing != (n == 0 && errors.Is(err, io.EOF)) {
		t.Fatal("bytes read after the close began became a request, or bytes read before it did not")
	}
}

// Claim lets the handler claim a request.
func (m *connModel) Claim(t *rapid.T) {
	k := m.pick(t, func(k *clientConn) bool { return k.requestBegun && k.state != stateBusy && k.state != stateClosed })
	k.startHandling()
	if closing := k.state >= stateClosing; k.claim() == closing {
		t.Fatal("a request was claimed on a connection whose close has begun, or not claimed on an open one")
	}
}

// Respond ends a request in the handler.
func (m *connModel) Respond(t *rapid.T) {
	k := m.pick(t, func(k *clientConn) bool { return k.state == stateBusy })
	k.responded()
	if m.listener.draining && k.state == stateIdle {
		t.Fatal("the connection is idle in a drain")
	}
}

// Drain switches a drain on or off.
func (m *connModel) Drain(t *rapid.T) {
	begun := m.where(func(k *clientConn) bool { return k.state == stateReading || k.state == stateBusy })
	m.listener.setDraining(rapid.Bool().Draw(t, "on"), m.now)
	for _, k := range begun {
		if k.state >= stateClosing {
			t.Fatal("a drain closed a connection with a request begun on it")
		}
	}
}

// Close closes a connection.
func (m *connModel) Close(t *rapid.T) {
	k := m.pick(t, func(k *clientConn) bool { return k.state != stateClosed })
	_ = k.Close() // a connection that is already closed returns an error
	if k.state != stateClosed {
		t.Fatal("the connection stays open after Close")
	}
}

// In any order of events three invariants hold: a drain closes no connection on which a request was begun, no request is
// claimed after the close of its connection began, and each connection is in the list of its state.
func TestConnectionStatesInAllOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLimitedListener(nil, rapid.IntRange(1, 3).Draw(t, "maxConns"), noRetryAfter, newGiveUps(discard()), discard())
		t.Repeat(rapid.StateMachineActions(&connModel{listener: l, now: time.Now()}))
	})
}
