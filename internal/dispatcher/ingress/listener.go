package ingress

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ospreypond/internal/dispatcher/config"
)

// minQuietToEvict is how long after its last byte, or its accept, a connection without a complete request can't be
// evicted. Without it a burst of silent connections could evict a client before its first bytes are read.
const minQuietToEvict = 50 * time.Millisecond

// minIdleToEvict is how long after its last response an idle connection can't be evicted.
const minIdleToEvict = time.Second

// limitedListener is a listener that keeps at most maxConns connections open at once. To accept a further connection, it
// evicts (closes) an open one, chosen in this order:
//  1. the connection without a complete request that has waited longest since its last byte;
//  2. the idle connection that has waited longest since its last response.
//
// A connection with a request in the handler is never evicted. So silent connections can't shut other clients out. After
// the eviction of its idle connection a client can open a new one.
//
// mu also guards the state of each clientConn.
type limitedListener struct {
	net.Listener
	maxConns     int
	maxLingering int                  // how many connections may be in their close, in addition to maxConns
	retryAfter   func() time.Duration // the Retry-After for evicted and refused connections; 0: none
	giveUps      *GiveUps
	log          logrus.FieldLogger

	mu        sync.Mutex
	quiet     list.List // of *clientConn without a complete request, ordered by quietSince
	idle      list.List // of *clientConn between requests, ordered by quietSince
	busy      list.List // of *clientConn with a request in the handler
	lingering list.List // of *clientConn in their close, ordered by the start of the close
	full      bool      // new connections are refused, as each open one has a request; kept for the log
	draining  bool      // connections are closed as soon as they are idle
}

func newLimitedListener(l net.Listener, maxConns int, retryAfter func() time.Duration, giveUps *GiveUps, log logrus.FieldLogger) *limitedListener {
	return &limitedListener{Listener: l, maxConns: maxConns, maxLingering: config.MaxLingering(maxConns), retryAfter: retryAfter, giveUps: giveUps, log: log}
}

// open returns the number of open connections, without the connections in their close. The caller holds c.mu.
func (c *limitedListener) open() int { return c.quiet.Len() + c.idle.Len() + c.busy.Len() }

// Accept returns the next connection as a *clientConn. If maxConns connections are open, it waits until one may be
// evicted, at most minIdleToEvict at a time.
func (c *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := c.Listener.Accept()
		if err != nil {
			return nil, err
		}
		for {
			k, wait := c.admit(conn, time.Now())
			if wait > 0 {
				time.Sleep(wait)
				continue
			}
			if k != nil {
				return k, nil
			}
			break
		}
	}
}

// admit returns a clientConn for conn, and evicts another connection if needed. It returns nil if no connection can be
// evicted. If wait is positive, one can be after that time, and the caller is to call admit again. If wait is 0, every
// connection has a request in the handler: conn was refused and is closed with a 503.
func (c *limitedListener) admit(conn net.Conn, now time.Time) (k *clientConn, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	full, wait := c.evict(now)
	if full && wait > 0 {
		return nil, wait
	}
	if full != c.full && (full || c.busy.Len() < c.maxConns*9/10) {
		c.full = full
		c.log.WithField("connections", c.open()).Warnf("every client connection has a request and new ones are refused: %v", full)
	}
	k = newClientConn(conn, c, now)
	if full {
		k.requestBegun = true // counts the refusal as a request given up: a client connects to send one
		k.startClose(headEvicted)
		go closeGracefully(k)
		return nil, 0
	}
	k.moveTo(&c.quiet)
	return k, 0
}

// evict makes room for one more connection, if needed. If it can't, full is true and wait is the time after which one may
// be evicted, or 0 if every connection has a request in the handler. The caller holds c.mu.
func (c *limitedListener) evict(now time.Time) (full bool, wait time.Duration) {
	if c.open() < c.maxConns {
		return false, 0
	}
	for _, l := range []struct {
		*list.List
		minQuiet time.Duration
	}{{&c.quiet, minQuietToEvict}, {&c.idle, minIdleToEvict}} {
		e := l.Front()
		if e == nil {
			continue
		}
		k := e.Value.(*clientConn)
		left := l.minQuiet - now.Sub(k.quietSince)
		if left <= 0 {
			k.startClose(headEvicted)
			return false, 0
		}
		if wait == 0 || left < wait {
			wait = left
		}
	}
	return true, wait
}

// closeGracefully closes k by a lingering close, which blocks; it runs in its own goroutine.
func closeGracefully(k *clientConn) { _ = k.Close() }

// boundLingering closes the sockets of connections in their close until at most maxLingering are left. It begins with the
// connection that has been in its close for the longest time. The caller holds c.mu.
func (c *limitedListener) boundLingering() {
	for over := c.lingering.Len() - c.maxLingering; over > 0; over-- {
		k := c.lingering.Front().Value.(*clientConn)
		k.state = stateClosed
		k.moveTo(nil)
		_ = k.Conn.Close()
	}
}

// setDraining sets whether connections are closed as soon as they are idle. With on it also closes the connections that
// are idle now, and those on which no byte was read within quietTimeout after their accept. Younger ones need another call
// later. A connection stays open if a byte of its next request was read.
func (c *limitedListener) setDraining(on bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining = on; !on {
		return
	}
	for e := c.idle.Front(); e != nil; e = c.idle.Front() {
		e.Value.(*clientConn).startClose("")
	}
	for e := c.quiet.Front(); e != nil; {
		k := e.Value.(*clientConn)
		if now.Sub(k.quietSince) < quietTimeout {
			break // the list is ordered by quietSince
		}
		if e = e.Next(); k.state == stateNew {
			k.startClose("")
		}
	}
}

// empty reports whether no connection is left, neither an open one nor one in its close.
func (c *limitedListener) empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open()+c.lingering.Len() == 0
}

// abort closes the sockets of all connections at once, even if responses on them are incomplete.
func (c *limitedListener) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range []*list.List{&c.quiet, &c.idle, &c.busy, &c.lingering} {
		for e := l.Front(); e != nil; e = e.Next() {
			_ = e.Value.(*clientConn).Conn.Close()
		}
	}
}
