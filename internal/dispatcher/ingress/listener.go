package ingress

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ospreypond/internal/dispatcher/config"
)

// minQuietToEvict is how long a connection that has sent no complete request is safe from eviction after its last
// byte. Guards against a burst of quiet connections that evicts a usual client before its first bytes are read.
// Accept waits at most that long.
const minQuietToEvict = 50 * time.Millisecond

// minIdleToEvict is the same for an idle connection that has brought requests.
const minIdleToEvict = time.Second

// limitedListener is a listener that keeps at most maxConns connections open at once. For a further one, the
// connection that has been quiet for the longest time is evicted: first among those without a complete request, quiet
// since their last byte, then among idle ones. One with a request in the handler is never closed. Guards against
// connections that say nothing and shut others out; a client whose idle connection is evicted opens another.
//
// Its lock guards the state of each connection, see clientConn.
type limitedListener struct {
	net.Listener
	maxConns     int
	maxLingering int                  // connections that may linger beside those
	retryAfter   func() time.Duration // for refused connections; 0: no Retry-After
	giveUps      *GiveUps
	log          logrus.FieldLogger

	mu        sync.Mutex
	quiet     list.List // of *clientConn without a complete request, the longest quiet first
	idle      list.List // of *clientConn between requests, the longest idle first
	busy      list.List // of *clientConn with a request in the handler
	lingering list.List // of *clientConn that are being closed, the earliest first
	full      bool      // new connections are refused
	draining  bool      // idle connections are closed, now and later
}

func newLimitedListener(l net.Listener, maxConns int, retryAfter func() time.Duration, giveUps *GiveUps, log logrus.FieldLogger) *limitedListener {
	return &limitedListener{Listener: l, maxConns: maxConns, maxLingering: config.MaxLingering(maxConns), retryAfter: retryAfter, giveUps: giveUps, log: log}
}

// open returns the number of open connections, without lingering ones. c.mu is held.
func (c *limitedListener) open() int { return c.quiet.Len() + c.idle.Len() + c.busy.Len() }

// Accept returns the next connection as a *clientConn. It waits, for at most minIdleToEvict at a time, until one may
// be evicted for it.
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

// admit makes a clientConn of conn, and evicts another for it if need be. It returns nil if every connection has a
// request in the handler: conn is then closed with a response that says so. With wait, it is to be called again after
// that.
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
		k.requestBegun = true // so that it is counted: clients connect for a request
		k.startClose(headEvicted)
		go closeGracefully(k)
		return nil, 0
	}
	k.moveTo(&c.quiet)
	return k, 0
}

// evict makes room for one more connection, if need be. If it can't, full is true and wait is the time after which it
// could, or 0 if every connection has a request in the handler. c.mu is held.
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

// closeGracefully closes k, for use as a goroutine.
func closeGracefully(k *clientConn) { _ = k.Close() }

// boundLingering closes the earliest lingering connections where there are more than maxLingering. c.mu is held.
func (c *limitedListener) boundLingering() {
	for over := c.lingering.Len() - c.maxLingering; over > 0; over-- {
		k := c.lingering.Front().Value.(*clientConn)
		k.state = stateClosed
		k.moveTo(nil)
		_ = k.Conn.Close()
	}
}

// setDraining sets whether idle connections are closed, present ones at once. Those that never sent a byte are closed
// by a call after they have been quiet for quietTimeout; any of which a byte was read stays open.
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

// empty reports whether no connection is left, not even a lingering one.
func (c *limitedListener) empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open()+c.lingering.Len() == 0
}

// abort closes the sockets of all connections, whatever is still to be sent on them.
func (c *limitedListener) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range []*list.List{&c.quiet, &c.idle, &c.busy, &c.lingering} {
		for e := l.Front(); e != nil; e = e.Next() {
			_ = e.Value.(*clientConn).Conn.Close()
		}
	}
}
