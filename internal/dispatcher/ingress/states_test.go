package ingress

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fakeConn is a connection without a socket.
type fakeConn struct{ net.Conn }

func (fakeConn) Close() error                     { return nil }
func (fakeConn) SetReadDeadline(time.Time) error  { return nil }
func (fakeConn) SetWriteDeadline(time.Time) error { return nil }
func (fakeConn) Write(p []byte) (int, error)      { return len(p), nil }

// connModel drives a listener's connections without sockets. Its methods are the steps of a rapid state machine.
type connModel struct {
	listener *limitedListener
	all      []*clientConn
	now      time.Time
}

// pick draws one of the connections for which ok holds; the step is skipped if there is none.
func (m *connModel) pick(t *rapid.T, ok func(k *clientConn) bool) *clientConn {
	fit := m.where(ok)
	if len(fit) == 0 {
		t.Skip("none")
	}
	return rapid.SampledFrom(fit).Draw(t, "connection")
}

func (m *connModel) where(ok func(k *clientConn) bool) (fit []*clientConn) {
	for _, k := range m.all {
		if ok(k) {
			fit = append(fit, k)
		}
	}
	return fit
}

// Check holds after each step: the listener's bounds, and the list of each state.
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
			t.Fatalf("state %d in another list", k.state)
		}
	}
}

// Accept has a further connection arrive, for which another may be evicted.
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

// Read has the bytes of a request arrive.
func (m *connModel) Read(t *rapid.T) {
	k := m.pick(t, func(k *clientConn) bool { return k.state != stateBusy && k.state != stateClosed })
	closing := k.state >= stateClosing
	n, err := k.received([]byte(fullRequest), nil, false)
	if closing != (n == 0 && errors.Is(err, io.EOF)) {
		t.Fatal("bytes after the begin of the close became a request, or some before it did not")
	}
}

// Claim has the handler claim a request.
func (m *connModel) Claim(t *rapid.T) {
	k := m.pick(t, func(k *clientConn) bool { return k.requestBegun && k.state != stateBusy && k.state != stateClosed })
	k.startHandling()
	if closing := k.state >= stateClosing; k.claim() == closing {
		t.Fatal("a request was claimed on a connection that closes, or not on one that stays open")
	}
}

// Respond ends a request in the handler.
func (m *connModel) Respond(t *rapid.T) {
	k := m.pick(t, func(k *clientConn) bool { return k.state == stateBusy })
	k.responded()
	if m.listener.draining && k.state == stateIdle {
		t.Fatal("it is idle in a drain")
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
	_ = k.Close() // its error is of a connection that is closed already
	if k.state != stateClosed {
		t.Fatal("it stays open")
	}
}

// In all orders of what happens to connections no drain closes one on which a request was begun before, no request is
// claimed after the close has begun, and the lists are those of the states.
func TestConnectionStatesInAllOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLimitedListener(nil, rapid.IntRange(1, 3).Draw(t, "maxConns"), noRetryAfter, newGiveUps(discard()), discard())
		t.Repeat(rapid.StateMachineActions(&connModel{listener: l, now: time.Now()}))
	})
}
