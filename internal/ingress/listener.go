package ingress

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// speakIn is how long a connection has to speak before it may have to make room. Guards against a burst of silent
// ones that pushes out a usual client before its first bytes are read. Accept waits at most that long.
const speakIn = 50 * time.Millisecond

// restIn is how long a connection that brought requests is left to wait for its next one, while others that never
// brought any have to make room as soon as they may.
const restIn = time.Second

// crowd is a listener that holds no more connections at once than it has room for. Where a further one comes,
// the one that has been silent for the longest time makes room: first among those that have not brought a
// whole request, silent since their last byte, then among those that wait for their next one. One with a request in hand is never closed. Guards
// against connections that say nothing and shut others out; harms a client whose idle connection is closed,
// which opens another.
type crowd struct {
	net.Listener
	most    int
	giveUps *GiveUps
	log     logrus.FieldLogger

	mu     sync.Mutex
	open   int
	silent list.List // of *client without a request yet, the longest silent first
	idle   list.List // of *client between requests, the longest silent first
	inHand int
	packed bool // newcomers are turned away
}

func newCrowd(l net.Listener, most int, giveUps *GiveUps, log logrus.FieldLogger) *crowd {
	return &crowd{Listener: l, most: most, giveUps: giveUps, log: log}
}

func (c *crowd) Accept() (net.Conn, error) {
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
			_ = conn.Close()
			break
		}
	}
}

// admit makes room for a connection and takes it in; nil means that every one held has a request in hand. With
// wait, it is to be tried again after that.
func (c *crowd) admit(conn net.Conn, now time.Time) (k *client, wait time.Duration) {
	k = &client{Conn: conn, in: c, since: now, frames: newFraming(), last: now}
	c.mu.Lock()
	var out *client
	for _, l := range []struct {
		*list.List
		least time.Duration
	}{{&c.silent, speakIn}, {&c.idle, restIn}} {
		if e := l.Front(); e != nil && c.open >= c.most {
			if young := l.least - now.Sub(e.Value.(*client).since); young <= 0 {
				out = e.Value.(*client)
				out.leave(headRoom)
			} else if wait == 0 || young < wait {
				wait = young
			}
		}
	}
	if c.open >= c.most && wait > 0 {
		c.mu.Unlock()
		return nil, wait
	}
	full := c.open >= c.most
	if full != c.packed && (full || c.inHand < c.most*9/10) {
		c.packed = full
		c.log.WithField("connections", c.open).Warnf("every client connection has a request and new ones are closed: %v", full)
	}
	if !full {
		c.open++
		k.at, k.list = c.silent.PushBack(k), &c.silent
	}
	c.mu.Unlock()
	if out != nil {
		_ = out.Conn.Close()
	}
	if full {
		k = nil
	}
	return k, 0
}

// touch notes that bytes of a request came on k: while it waits among the silent, it goes to their end, so that
// a client that sends in pieces is not taken for one that says nothing and made to go first.
func (c *crowd) touch(k *client, now time.Time) {
	c.mu.Lock()
	if !k.gone && k.list == &c.silent {
		k.since = now
		c.silent.MoveToBack(k.at)
	}
	c.mu.Unlock()
}

// client is a client's connection.
type client struct {
	net.Conn
	in *crowd

	// The rest is guarded by in.mu.
	since time.Time  // that it is silent
	list  *list.List // the one that it waits in; nil: it has a request in hand
	at    *list.Element
	gone  bool
	spoke bool // the first bytes of a request were read; a drain leaves it

	// What tells, when the connection ends, whether a request was begun on it and never reached the handler.
	pending atomic.Int64 // bytes read since the last answer
	heard   atomic.Bool  // the handler has the request
	refused atomic.Bool  // net/http wrote an answer of its own
	lastErr atomic.Int32 // how the last read failed: one of the read constants
	frames  *framing
	// toldLate: the client was told that its head stopped coming; net/http reads again after a timeout.
	toldLate atomic.Bool

	dl      sync.Mutex // guards what follows: Read and SetReadDeadline come from several goroutines
	want    time.Time  // the read deadline that net/http set
	applied time.Time  // the one the socket has
	last    time.Time  // when the last bytes came, or the connection did
	phase   int        // one of waitFirst, waitNext, inRequest
}

// How a read failed.
const (
	readOK = iota
	readLate
	readBroken
)

func (k *client) Write(p []byte) (int, error) {
	if !k.heard.Load() && k.pending.Load() > 0 {
		k.refused.Store(true) // only net/http writes before the handler: its 4xx for a head it cannot read
	}
	return k.Conn.Write(p)
}

// lost tells why a request begun on the connection is given up as the connection ends, if one was; by is the
// reason where the dispatcher itself closes it.
func (k *client) lost(by string) (reason string, ok bool) {
	if k.heard.Load() || k.pending.Load() == 0 {
		return "", false
	}
	switch {
	case k.lastErr.Load() == readBroken: // net/http answers 400 to a head cut short, but nobody reads it
		return headLeft, true
	case k.refused.Load():
		return headRefused, true
	case by != "":
		return by, true
	case k.lastErr.Load() == readLate:
		return headSlow, true
	}
	return headClosed, true
}

// leave takes k out of the books, and counts a request given up with it; by is the reason where the dispatcher
// closes it. in.mu is held.
func (k *client) leave(by string) {
	if k.gone {
		return
	}
	if reason, ok := k.lost(by); ok && k.in.giveUps != nil {
		k.in.giveUps.add(reason)
	}
	k.gone = true
	k.in.open--
	if k.list != nil {
		k.list.Remove(k.at)
		k.list = nil
	} else {
		k.in.inHand--
	}
}

// take notes that a request was read whole, so that the connection stays. It is false for one that had to go.
func (k *client) take() bool {
	k.in.mu.Lock()
	defer k.in.mu.Unlock()
	if !k.gone && k.list != nil {
		k.list.Remove(k.at)
		k.list = nil
		k.in.inHand++
	}
	return !k.gone
}

// rest notes that the request in hand was answered.
func (k *client) rest() {
	k.in.mu.Lock()
	defer k.in.mu.Unlock()
	if !k.gone && k.list == nil {
		k.since = time.Now()
		k.at, k.list = k.in.idle.PushBack(k), &k.in.idle
		k.in.inHand--
	}
	k.spoke = false
	k.end()
	k.heard.Store(false)
	k.pending.Store(0)
	k.refused.Store(false)
}

// speak notes that a request has begun to arrive.
func (k *client) speak() {
	k.in.mu.Lock()
	k.spoke = true
	k.in.mu.Unlock()
}

// closeQuiet closes the connections that never brought a request and have been silent for at least least,
// unless a request has begun on them.
func (c *crowd) closeQuiet(now time.Time, least time.Duration) {
	var out []*client
	c.mu.Lock()
	for e := c.silent.Front(); e != nil; e = e.Next() {
		k := e.Value.(*client)
		if now.Sub(k.since) < least {
			break // the list is in the order of their coming
		}
		if !k.spoke {
			out = append(out, k)
		}
	}
	for _, k := range out {
		k.leave(headSwept)
	}
	c.mu.Unlock()
	for _, k := range out {
		_ = k.Conn.Close()
	}
}

func (k *client) Close() error {
	k.in.mu.Lock()
	k.leave("")
	k.in.mu.Unlock()
	return k.Conn.Close()
}

// CloseWrite lets net/http end its sending before it closes, so that a last answer is not lost with the bytes
// that nobody read.
func (k *client) CloseWrite() error {
	if c, ok := k.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}
