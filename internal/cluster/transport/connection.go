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

// call is one pending call of a client.
type call struct {
	kind         callKind
	response     any        // pointer that the response is decoded into
	responseName string     // name of the response's type, as the server has to send it
	readsBefore  uint64     // longCall: the connection's count of reads when the call started
	frameRange   byteRange  // position of the request's frame, which decides whether the request may have been sent
	done         chan error // gets the result; buffered, so that a reader does not wait for a caller that gave up
}

// callKind says whether the lack of a response shows that the peer may be dead.
type callKind int

const (
	shortCall callKind = iota // the peer has to respond at once; it is probed while it does not
	longCall                  // a long poll: the peer may delay the response, so it is not probed
)

// abandonedState says how far a call had come when its caller gave up.
type abandonedState int

const (
	abandonedMaybeSent abandonedState = iota // the writer has taken the request, so the server may read it
	abandonedUnsent                          // the request was canceled before the writer took any byte of it
	abandonedAnswered                        // the reader has removed the call: it has a response, or its connection ended
)

// connection is the client's side of one connection. It exists before the client dials, so that calls can queue their
// requests, until all its calls have ended.
type connection struct {
	peer *peer
	out  *sendQueue
	in   *frameDecoder // nil until the server's greeting has arrived; guarded by the mutex

	mutex        sync.Mutex
	calls        map[uint64]*call
	lastID       uint64 // id of the newest call; ids are never reused on a connection, so late responses match no other call
	shortCalls   int    // pending calls of kind shortCall
	suspect      bool   // the caller of a shortCall gave up and no bytes have arrived since; probing continues
	suspectReads uint64 // the count of reads when suspect was set
	established  bool   // the server's greeting has arrived
	ended        bool   // the pending calls were failed; no call may be added
	liveness     liveness
	cause        error // why the connection ended; nil until then. The first cause is kept
}

func newConnection(p *peer) *connection {
	options := &p.client.options
	c := &connection{peer: p, calls: map[uint64]*call{}}
	c.out = newSendQueue(options.MaxFrameBytes, options.MaxQueueBytes, options.WriteTimeout, options.Name, c.failCalls)
	return c
}

// run dials and then reads frames until the connection ends.
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

// read waits for the server's greeting, then handles frames. It returns the error that ends the connection.
func (c *connection) read(conn net.Conn) error {
	in := newFrameDecoder(conn, c.peer.client.options.MaxFrameBytes)
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

// greet waits for the server's greeting, for at most timeout. The limit is for a process that is frozen: its kernel still
// accepts connections, but no greeting comes.
func greet(conn net.Conn, in *frameDecoder, timeout time.Duration) error {
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := in.greeting(); err != nil {
		return err
	}
	return conn.SetReadDeadline(time.Time{})
}

// establish records that the server's greeting has arrived. From then on the connection is probed, and its end does not
// delay the next dial.
func (c *connection) establish(in *frameDecoder) {
	c.mutex.Lock()
	c.in = in
	c.established = true
	c.mutex.Unlock()
	c.peer.recordEstablished()
}

// handleFrame handles one frame from the server. Its error ends the connection.
func (c *connection) handleFrame(in *frameDecoder, h header) error {
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
		return errors.Errorf("server sent a frame of kind %d, which only clients send", h.kind)
	}
}

// handleResponse passes a response to its call, or discards it if the caller gave up. A response of another type than the
// caller's fails the call but not the connection, since gob can skip its value.
func (c *connection) handleResponse(in *frameDecoder, h header) error {
	pending := c.takeCall(h.id)
	if pending == nil {
		return in.skip()
	}
	name := in.typeName(h.typeNumber)
	if h.typeNumber != 0 && name != pending.responseName {
		pending.done <- failure.Newf(failure.UnknownOutcome, "server answered with a %s, expected a %s",
			name, pending.responseName)
		return in.skip()
	}
	err := in.value(pending.response)
	if err != nil {
		pending.done <- failure.Newf(failure.UnknownOutcome, "cannot decode the response: %v", err)
		return err
	}
	pending.done <- nil
	return nil
}

// takeCall removes a pending call and returns it, or nil if the call has ended. Whoever removes a call is the only one to
// send its result.
func (c *connection) takeCall(id uint64) *call {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.removeCall(id)
}

// removeCall is takeCall for callers that hold the mutex.
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

// start queues a call's request and returns the call's id. remaining is the time until the caller's deadline, 0 without
// one. After an error no request is queued, and the error is the call's.
func (c *connection) start(pending *call, request any, remaining time.Duration) (uint64, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ended {
		return 0, failure.New(failure.Unavailable, errEnded.Error())
	}
	c.lastID++
	h := header{kind: frameRequest, id: c.lastID, remainingMs: milliseconds(remaining)}
	frameRange, err := c.out.enqueue(h, request)
	if err != nil {
		return 0, err
	}
	pending.frameRange = frameRange
	c.calls[c.lastID] = pending
	if pending.kind == shortCall {
		c.shortCalls++
	}
	return c.lastID, nil
}

// milliseconds returns a remaining time as header.remainingMs: at least 1, or 0 if there is no deadline.
func milliseconds(remaining time.Duration) uint64 {
	if remaining <= 0 {
		return 0
	}
	return uint64(max(remaining.Milliseconds(), 1))
}

// abandon removes a call whose caller gave up, and cancels its request if the writer has not taken it. If a short call's
// request may have been sent, the connection becomes suspect, so that probes still notice a frozen peer though the call
// is no longer pending.
func (c *connection) abandon(id uint64) abandonedState {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	pending := c.removeCall(id)
	if pending == nil {
		return abandonedAnswered
	}
	if c.out.cancel(pending.frameRange) {
		return abandonedUnsent
	}
	if pending.kind == shortCall && c.established {
		c.suspect, c.suspectReads = true, c.in.source.count.Load()
	}
	return abandonedMaybeSent
}

// reads returns how many reads from the connection have returned bytes; 0 until the greeting has arrived.
func (c *connection) reads() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.in == nil {
		return 0
	}
	return c.in.source.count.Load()
}

// probe checks whether any bytes have arrived since the last probe. If not, it pings the peer, or closes the connection
// after maxUnansweredProbes intervals. It reports whether the connection has to be probed again.
func (c *connection) probe() bool {
	c.mutex.Lock()
	verdict := c.checkLiveness()
	busy := c.shortCalls > 0 || c.suspect
	c.mutex.Unlock()
	switch verdict {
	case verdictPing:
		_, _ = c.out.enqueue(header{kind: framePing}, nil)
	case verdictDead:
		c.end(errUnresponsive)
	}
	return busy
}

// checkLiveness returns the verdict on which probe acts. The caller must hold the mutex. A connection without a greeting
// is not probed, since DialTimeout and GreetingTimeout limit that phase.
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

// end closes the connection because of cause. Only the first call's cause is kept and logged.
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

// log logs the end of the connection unless the cause is usual while processes restart, see isExpectedEnd.
func (c *connection) log(cause error) {
	if isExpectedEnd(cause) || c.peer.client.isClosed() {
		return
	}
	logger := level.Warn(c.peer.client.options.Logger)
	_ = logger.Log("message", "connection closed by a fault", "peer", c.peer.address, "cause", cause)
}

// failCalls fails every pending call: with Unavailable if the kernel did not take the complete request, else with
// UnknownOutcome. The send queue calls it after its last write has returned, when the count of written bytes is final.
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
		if c.out.unsent(pending.frameRange) {
			kind = failure.Unavailable
		}
		pending.done <- failure.Newf(kind, "%s: %v", c.peer.address, cause)
	}
}
