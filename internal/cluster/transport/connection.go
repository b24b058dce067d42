package transport

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
)

// call is one call that waits for its answer.
type call struct {
	long         bool // bounds itself: its silence is no sign of a dead peer
	response     any  // pointer that the answer is decoded into
	responseName string
	readsBefore  uint64 // long: the connection's count of reads when the call began
	placed       span
	done         chan error // gets one result
}

// connection is the client's side of one connection, from before it stands until it is over.
type connection struct {
	peer *peer
	out  *outbox
	in   *inbox // set before standing

	mutex    sync.Mutex
	calls    map[uint64]*call
	newest   uint64 // id of the newest call
	short    int    // calls out that are not long
	doubtful bool   // a call was given up, and nothing was heard since
	doubtAt  uint64 // count of reads then
	standing bool   // the peer has greeted
	over     bool
	liveness liveness
	cause    error // why it ended
}

func newConnection(p *peer) *connection {
	options := &p.client.options
	c := &connection{peer: p, calls: map[uint64]*call{}}
	c.out = newOutbox(options.MaxFrameBytes, options.MaxQueueBytes, options.WriteTimeout, options.Name, c.finish)
	return c
}

// run connects, and reads until the connection is over.
func (c *connection) run(ctx context.Context) {
	options := &c.peer.client.options
	dialing, cancel := context.WithTimeout(ctx, options.DialTimeout)
	conn, err := options.Dial(dialing, c.peer.address)
	cancel()
	if err != nil {
		c.end(&dialError{err})
		return
	}
	if !c.out.attach(conn) {
		_ = conn.Close()
		return
	}
	c.end(c.read(conn))
}

func (c *connection) read(conn net.Conn) error {
	in := newInbox(conn, c.peer.client.options.MaxFrameBytes)
	if err := greet(conn, in, c.peer.client.options.GreetingTimeout); err != nil {
		return err
	}
	c.stand(in)
	for {
		h, err := in.next()
		if err != nil {
			return err
		}
		if err := c.take(in, h); err != nil {
			return err
		}
	}
}

// greet waits for the server's greeting, for a bounded time: a frozen process still has its connections taken.
func greet(conn net.Conn, in *inbox, patience time.Duration) error {
	if err := conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
		return err
	}
	if _, err := in.greeting(); err != nil {
		return err
	}
	return conn.SetReadDeadline(time.Time{})
}

func (c *connection) stand(in *inbox) {
	c.mutex.Lock()
	c.in = in
	c.standing = true
	c.mutex.Unlock()
	c.peer.stood()
}

// take handles one frame.
func (c *connection) take(in *inbox, h header) error {
	switch h.kind {
	case frameResponse:
		return c.answer(in, h)
	case frameFailure:
		if waiting := c.claim(h.id); waiting != nil {
			waiting.done <- h.failure
		}
		return in.skip()
	case framePong:
		return in.skip()
	default:
		return errors.Errorf("a server sent a frame of kind %d", h.kind)
	}
}

func (c *connection) answer(in *inbox, h header) error {
	waiting := c.claim(h.id)
	if waiting == nil {
		return in.skip()
	}
	name := in.typeName(h.number)
	if h.number != 0 && name != waiting.responseName {
		waiting.done <- failure.Newf(failure.UnknownOutcome, "answered by a %s, not a %s", name, waiting.responseName)
		return in.skip()
	}
	err := in.value(waiting.response)
	if err != nil {
		waiting.done <- failure.Newf(failure.UnknownOutcome, "the answer cannot be read: %v", err)
		return err
	}
	waiting.done <- nil
	return nil
}

// claim takes a call out of those that wait; nil: it is not there any more.
func (c *connection) claim(id uint64) *call {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.remove(id)
}

// remove is claim with the mutex held.
func (c *connection) remove(id uint64) *call {
	waiting := c.calls[id]
	if waiting == nil {
		return nil
	}
	delete(c.calls, id)
	if !waiting.long {
		c.short--
	}
	return waiting
}

// start sends a call off and returns its id.
func (c *connection) start(waiting *call, request any, remaining time.Duration) (uint64, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.over {
		return 0, failure.New(failure.Unavailable, errEnded.Error())
	}
	c.newest++
	h := header{kind: frameRequest, id: c.newest, remainingMs: milliseconds(remaining)}
	placed, err := c.out.put(h, request)
	if err != nil {
		return 0, err
	}
	waiting.placed = placed
	c.calls[c.newest] = waiting
	if !waiting.long {
		c.short++
	}
	return c.newest, nil
}

func milliseconds(remaining time.Duration) uint64 {
	if remaining <= 0 {
		return 0
	}
	return uint64(max(remaining.Milliseconds(), 1))
}

// giveUp ends a call whose caller waits no longer. gone: the answer was there first.
func (c *connection) giveUp(id uint64) (gone, neverLeft bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	waiting := c.remove(id)
	if waiting == nil {
		return true, false
	}
	if c.out.takeBack(waiting.placed) {
		return false, true
	}
	if !waiting.long && c.standing {
		c.doubtful, c.doubtAt = true, c.in.heard.count.Load()
	}
	return false, false
}

// reads returns how many reads brought something so far.
func (c *connection) reads() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.in == nil {
		return 0
	}
	return c.in.heard.count.Load()
}

// probe looks after a peer that may have fallen silent and tells whether it has to be looked after further.
func (c *connection) probe() bool {
	c.mutex.Lock()
	judged := c.judge()
	busy := c.short > 0 || c.doubtful
	c.mutex.Unlock()
	switch judged {
	case verdictPing:
		_, _ = c.out.put(header{kind: framePing}, nil)
	case verdictCut:
		c.end(errSilent)
	}
	return busy
}

// judge is the part of probe under the mutex. A connection that does not stand yet is bounded by the time-outs of
// dialing and greeting.
func (c *connection) judge() verdict {
	if c.over || c.in == nil {
		return verdictCalm
	}
	heard := c.in.heard.count.Load()
	if heard != c.doubtAt {
		c.doubtful = false
	}
	return c.liveness.probe(c.short > 0 || c.doubtful, heard)
}

// end closes the connection; the first cause counts.
func (c *connection) end(cause error) {
	c.mutex.Lock()
	first := c.cause == nil
	if first {
		c.cause = cause
	}
	stood := c.standing
	c.mutex.Unlock()
	if first {
		c.peer.ended(c, stood, cause)
		c.log(cause)
	}
	c.out.close()
}

// log tells of an end that should not happen; that peers come and go is no news.
func (c *connection) log(cause error) {
	if isPlainEnd(cause) || c.peer.client.isClosed() {
		return
	}
	logger := level.Warn(c.peer.client.options.Logger)
	_ = logger.Log("message", "connection cut", "peer", c.peer.address, "cause", cause)
}

// finish gives every call that waits its end. The outbox calls it once nothing is being written any more.
func (c *connection) finish() {
	c.mutex.Lock()
	calls := c.calls
	c.calls = nil
	c.short = 0
	c.over = true
	cause := c.cause
	c.mutex.Unlock()
	if cause == nil {
		cause = errEnded
		c.end(cause)
	}
	for _, waiting := range calls {
		kind := failure.UnknownOutcome
		if c.out.neverLeft(waiting.placed) {
			kind = failure.Unavailable
		}
		waiting.done <- failure.Newf(kind, "%s: %v", c.peer.address, cause)
	}
}
