package ingress

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ospreypond/internal/dispatcher/config"
)

// speakIn is how long a connection has to speak before it may have to make room. Guards against a burst of silent
// ones that pushes out a usual client before its first bytes are read. Accept waits at most that long.
const speakIn = 50 * time.Millisecond

// restIn is how long a connection that brought requests is left to wait for its next one, while others that never
// brought any have to make room as soon as they may.
const restIn = time.Second

// limitedListener is a listener that holds no more connections at once than it has room for. Where a further one comes,
// the one that has been silent for the longest time makes room: first among those that have not brought a
// whole request, silent since their last byte, then among those that wait for their next one. One with a request in
// hand is never closed. Guards against connections that say nothing and shut others out; harms a client whose idle
// connection is closed, which opens another.
//
// Its lock is the one under which each connection's state changes, see client.
type limitedListener struct {
	net.Listener
	most       int
	linger     int                  // connections that may linger beside those
	retryAfter func() time.Duration // that one turned away is told; 0: nothing
	giveUps    *GiveUps
	log        logrus.FieldLogger

	mu        sync.Mutex
	silent    list.List // of *client without a request that was read whole, the longest silent first
	idle      list.List // of *client between requests, the longest silent first
	busy      list.List // of *client with a request in hand
	lingering list.List // of *client that are being closed, the first of them first
	packed    bool      // newcomers are turned away
	draining  bool      // what rests is closed, now and later
}

func newLimitedListener(l net.Listener, most int, retryAfter func() time.Duration, giveUps *GiveUps, log logrus.FieldLogger) *limitedListener {
	return &limitedListener{Listener: l, most: most, linger: config.LingerRoom(most), retryAfter: retryAfter, giveUps: giveUps, log: log}
}

// open is how many connections are held, without those that linger. c.mu is held.
func (c *limitedListener) open() int { return c.silent.Len() + c.idle.Len() + c.busy.Len() }

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

// admit makes room for a connection and takes it in; nil means that every one held has a request in hand, and the
// newcomer is told so. With wait, it is to be tried again after that.
func (c *limitedListener) admit(conn net.Conn, now time.Time) (k *client, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	full := c.open() >= c.most
	for _, l := range []struct {
		*list.List
		least time.Duration
	}{{&c.silent, speakIn}, {&c.idle, restIn}} {
		if e := l.Front(); e != nil && full {
			if young := l.least - now.Sub(e.Value.(*client).since); young <= 0 {
				e.Value.(*client).shut(headRoom)
				full = false
			} else if wait == 0 || young < wait {
				wait = young
			}
		}
	}
	if full && wait > 0 {
		return nil, wait
	}
	if full != c.packed && (full || c.busy.Len() < c.most*9/10) {
		c.packed = full
		c.log.WithField("connections", c.open()).Warnf("every client connection has a request and new ones are refused: %v", full)
	}
	k = newClient(conn, c, now)
	if full {
		k.begun = true // it is counted: clients that connect have something to ask
		k.shut(headRoom)
		go closeInOrder(k)
		return nil, 0
	}
	k.move(&c.silent)
	return k, 0
}

func closeInOrder(k *client) { _ = k.Close() }

// boundLingering ends the lingering of those that began first where too many do. c.mu is held.
func (c *limitedListener) boundLingering() {
	for over := c.lingering.Len() - c.linger; over > 0; over-- {
		k := c.lingering.Front().Value.(*client)
		k.state = stateClosed
		k.move(nil)
		_ = k.Conn.Close()
	}
}

// drain says whether connections that rest are closed, those at once that do now. Those that never brought a byte
// are closed once they have been silent for quietFor, by a later call. One of which a byte was read is left.
func (c *limitedListener) drain(on bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining = on; !on {
		return
	}
	for e := c.idle.Front(); e != nil; e = c.idle.Front() {
		e.Value.(*client).shut("")
	}
	for e := c.silent.Front(); e != nil; {
		k := e.Value.(*client)
		if now.Sub(k.since) < quietFor {
			break // the list is in the order of their coming
		}
		if e = e.Next(); k.state == stateNew {
			k.shut("")
		}
	}
}

// gone tells whether no connection is left, not even one that lingers.
func (c *limitedListener) gone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open()+c.lingering.Len() == 0
}

// abort closes the sockets of all that are left, whatever is still owed on them.
func (c *limitedListener) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range []*list.List{&c.silent, &c.idle, &c.busy, &c.lingering} {
		for e := l.Front(); e != nil; e = e.Next() {
			_ = e.Value.(*client).Conn.Close()
		}
	}
}
