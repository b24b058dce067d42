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

// call is one pending call.
type call struct {
	kind         callKind
	response     any // pointer that the response is decoded into
	responseName string
	readsBefore  uint64 // longCall: the connection's count of reads when the call started
	placed       span
	done         chan error // buffered; gets the result
}

// callKind is whether the peer must respond at once.
type callKind int

const (
	shortCall callKind = iota
	longCall           // its response may be delayed, so the lack of one does not show that the peer is dead
)

// abandonedState is what became of a call that was abandoned.
type abandonedState int

const (
	abandonedSent     abandonedState = iota // it may have been sent
	abandonedUnsent                         // it certainly was not sent
	abandonedAnswered                       // it was answered just before
)

// connection is the client's side of one connection, from before it is dialed until all of its calls have ended.
type connection struct {
	peer *peer
	out  *outbox
	in   *inbox // nil until the connection is established

	mutex        sync.Mutex
	calls        map[uint64]*call
	lastID       uint64 // id of the newest call
	shortCalls   int    // pending calls that are no longCall
	suspect      bool   // a shortCall was abandoned, and nothing was received since
	suspectReads uint64 // the count of reads at that time
	established  bool   // the peer has greeted
	ended        bool
	liveness     liveness
	cause        error // why it ended
}

func newConnection(p *peer) *connection {
	options := &p.client.options
	c := &connection{peer: p, calls: map[uint64]*call{}}
	c.out = newOutbox(options.MaxFrameBytes, options.MaxQueueBytes, options.WriteTimeout, options.Name, c.failCalls)
	return c
}

// run dials, and reads until the connection ends.
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
	c.establish(in)
	for {
		h, err := in.next()
		if err != nil {
			return err
		}
		if err := c.handleFrame(in, h); err != nil {
			return err
		}
	}
}

// greet waits for the server's greeting, for a bounded time: connections to a frozen process are accepted by its
// kernel.
func greet(conn net.Conn, in *inbox, timeout time.Duration) error {
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := in.greeting(); err != nil {
		return err
	}
	return conn.SetReadDeadline(time.Time{})
}

// establish records that the peer has greeted.
func (c *connection) establish(in *inbox) {
	c.mutex.Lock()
	c.in = in
	c.established = true
	c.mutex.Unlock()
	c.peer.recordEstablished()
}

// handleFrame handles one frame.
func (c *connection) handleFrame(in *inbox, h header) error {
	switch h.kind {
	case frameResponse:
		return c.handleResponse(in, h)
	case frameFailure:
		if pending := c.takeCall(h.id); pending != nil {
			pending.done <- h.failure
		}
		return in.skip()
	case framePong:
		return in.skip()
	default:
		return errors.Errorf("a server sent a frame of kind %d", h.kind)
	}
}

func (c *connection) handleResponse(in *inbox, h header) error {
	pending := c.takeCall(h.id)
	if pending == nil {
		return in.skip()
	}
	name := in.typeName(h.number)
	if h.number != 0 && name != pending.responseName {
		pending.done <- failure.Newf(failure.UnknownOutcome, "the response is a %s, not a %s", name, pending.responseName)
		return in.skip()
	}
	err := in.value(pending.response)
	if err != nil {
		pending.done <- failure.Newf(failure.UnknownOutcome, "the response cannot be decoded: %v", err)
		return err
	}
	pending.done <- nil
	return nil
}

// takeCall removes a call from the pending ones and returns it, or nil if it is not pending any more.
func (c *connection) takeCall(id uint64) *call {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.removeCall(id)
}

// removeCall is takeCall with the mutex locked.
func (c *connection) removeCall(id uint64) *call {
	pending := c.calls[id]
	if pending == nil {
		return nil
	}
	delete(c.calls, id)
	if pending.kind == shortCall {
		c.shortCalls--
	}
	return pending
}

// start sends a call and returns its id.
func (c *connection) start(pending *call, request any, remaining time.Duration) (uint64, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ended {
		return 0, failure.New(failure.Unavailable, errEnded.Error())
	}
	c.lastID++
	h := header{kind: frameRequest, id: c.lastID, remainingMs: milliseconds(remaining)}
	placed, err := c.out.put(h, request)
	if err != nil {
		return 0, err
	}
	pending.placed = placed
	c.calls[c.lastID] = pending
	if pending.kind == shortCall {
		c.shortCalls++
	}
	return c.lastID, nil
}

func milliseconds(remaining time.Duration) uint64 {
	if remaining <= 0 {
		return 0
	}
	return uint64(max(remaining.Milliseconds(), 1))
}

// abandon removes a call whose caller does not wait any longer.
func (c *connection) abandon(id uint64) abandonedState {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	pending := c.removeCall(id)
	if pending == nil {
		return abandonedAnswered
	}
	if c.out.cancel(pending.placed) {
		return abandonedUnsent
	}
	if pending.kind == shortCall && c.established {
		c.suspect, c.suspectReads = true, c.in.source.count.Load()
	}
	return abandonedSent
}

// reads returns how many reads of the connection have returned bytes.
func (c *connection) reads() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.in == nil {
		return 0
	}
	return c.in.source.count.Load()
}

// probe pings a peer that may be unresponsive, or closes the connection. It reports whether the connection has to be
// probed again.
func (c *connection) probe() bool {
	c.mutex.Lock()
	verdict := c.checkLiveness()
	busy := c.shortCalls > 0 || c.suspect
	c.mutex.Unlock()
	switch verdict {
	case verdictPing:
		_, _ = c.out.put(header{kind: framePing}, nil)
	case verdictDead:
		c.end(errUnresponsive)
	}
	return busy
}

// checkLiveness is the part of probe that needs the mutex locked. A connection that is not established yet is bounded
// by the timeouts of dialing and greeting.
func (c *connection) checkLiveness() verdict {
	if c.ended || c.in == nil {
		return verdictIdle
	}
	reads := c.in.source.count.Load()
	if reads != c.suspectReads {
		c.suspect = false
	}
	return c.liveness.probe(c.shortCalls > 0 || c.suspect, reads)
}

// end closes the connection. The first cause counts.
func (c *connection) end(cause error) {
	c.mutex.Lock()
	first := c.cause == nil
	if first {
		c.cause = cause
	}
	established := c.established
	c.mutex.Unlock()
	if first {
		c.peer.recordEnd(c, established, cause)
		c.log(cause)
	}
	c.out.close()
}

// log logs an end that should not happen, but not that peers come and go.
func (c *connection) log(cause error) {
	if isExpectedEnd(cause) || c.peer.client.isClosed() {
		return
	}
	logger := level.Warn(c.peer.client.options.Logger)
	_ = logger.Log("message", "connection closed by a fault", "peer", c.peer.address, "cause", cause)
}

// failCalls ends every pending call. The outbox calls it once nothing is being written any more.
func (c *connection) failCalls() {
	c.mutex.Lock()
	calls := c.calls
	c.calls = nil
	c.shortCalls = 0
	c.ended = true
	cause := c.cause
	c.mutex.Unlock()
	if cause == nil {
		cause = errEnded
		c.end(cause)
	}
	for _, pending := range calls {
		kind := failure.UnknownOutcome
		if c.out.unsent(pending.placed) {
			kind = failure.Unavailable
		}
		pending.done <- failure.Newf(kind, "%s: %v", c.peer.address, cause)
	}
}
