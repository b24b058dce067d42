package transport

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
)

// session is the server's side of one connection.
type session struct {
	server      *Server
	conn        net.Conn
	out         *sendQueue
	in          *frameDecoder
	from        string       // the client's name, or its address until the greeting or if that has no name
	outstanding atomic.Int64 // calls that were received and not answered yet
}

func newSession(server *Server, conn net.Conn) *session {
	s := &session{server: server, conn: conn, from: conn.RemoteAddr().String()}
	options := &server.options
	s.out = newSendQueue(options.MaxFrameBytes, options.MaxQueueBytes, options.WriteTimeout, "", s.ended)
	s.in = newFrameDecoder(conn, options.MaxFrameBytes)
	s.out.attach(conn)
	return s
}

// ended removes the session from the server. The send queue calls it once, as its onEnd.
func (s *session) ended() { s.server.removeSession(s) }

// run reads the client's greeting and then handles frames until the connection ends.
func (s *session) run() {
	err := s.greet()
	for err == nil {
		var h header
		h, err = s.in.next()
		if err == nil {
			err = s.handleFrame(h)
		}
	}
	s.log(err)
	s.out.close()
}

// greet reads the client's greeting, for at most DefaultGreetingTimeout, so that idle connections of other programs don't
// count against MaxConnections for long.
func (s *session) greet() error {
	if err := s.conn.SetReadDeadline(time.Now().Add(DefaultGreetingTimeout)); err != nil {
		return err
	}
	name, err := s.in.greeting()
	if err != nil {
		return err
	}
	if name != "" {
		s.from = name
	}
	return s.conn.SetReadDeadline(time.Time{})
}

// log logs the end of the connection unless the cause is usual while processes restart, see isExpectedEnd.
func (s *session) log(cause error) {
	if isExpectedEnd(cause) || s.server.isClosed() {
		return
	}
	logger := level.Warn(s.server.options.Logger)
	_ = logger.Log("message", "connection closed by a fault", "peer", s.from, "address", s.conn.RemoteAddr(), "cause", cause)
}

// handleFrame handles one frame from the client. Its error ends the connection.
func (s *session) handleFrame(h header) error {
	switch h.kind {
	case framePing:
		s.send(header{kind: framePong}, nil)
		return s.in.skip()
	case frameMessage:
		return s.handleMessage(h)
	case frameRequest:
		return s.handleRequest(h)
	default:
		return errors.Errorf("client sent a frame of kind %d, which only servers send", h.kind)
	}
}

// handleMessage passes a one-way message to its handler. It skips messages without a handler, such as messages that only
// a newer version knows.
func (s *session) handleMessage(h header) error {
	found, ok := s.server.handlers[s.in.typeName(h.typeNumber)]
	if !ok || found.message == nil {
		return s.in.skip()
	}
	return found.message(s)
}

// handleRequest passes a call to its handler. It answers Unavailable if there is no handler, as for a call of a newer
// version, or if MaxOutstanding calls of the connection are unanswered.
func (s *session) handleRequest(h header) error {
	name := s.in.typeName(h.typeNumber)
	found, ok := s.server.handlers[name]
	switch {
	case !ok || found.request == nil:
		s.sendFailure(h.id, failure.Newf(failure.Unavailable, "this process has no handler for calls with request type %s", name))
		return s.in.skip()
	case s.outstanding.Load() >= int64(s.server.options.MaxOutstanding):
		s.sendFailure(h.id, failure.Newf(failure.Unavailable, "the connection has %d unanswered calls, limit is %d",
			s.outstanding.Load(), s.server.options.MaxOutstanding))
		return s.in.skip()
	}
	s.outstanding.Add(1)
	return found.request(&pendingCall{session: s, id: h.id, remainingMs: h.remainingMs})
}

// send queues a frame. If the queue is full because the client does not read its responses, send closes the connection.
func (s *session) send(h header, value any) {
	_, err := s.out.enqueue(h, value)
	switch failure.KindOf(err) {
	case failure.None:
	case failure.Unavailable:
		s.out.close()
	default: // the response is too large or cannot be encoded, but the handler may have executed the request
		s.sendFailure(h.id, failure.New(failure.UnknownOutcome, err.Error()))
	}
}

// sendFailure answers a call with an error: it sends the error's kind, message and leader. It closes the connection if
// the queue is full.
func (s *session) sendFailure(id uint64, err error) {
	sent := &failure.Error{Kind: failure.KindOf(err), Message: err.Error(), Leader: failure.LeaderOf(err)}
	var known *failure.Error
	if errors.As(err, &known) {
		sent.Message = known.Message
	}
	if _, err := s.out.enqueue(header{kind: frameFailure, id: id, failure: sent}, nil); err != nil {
		s.out.close()
	}
}

// isResourceShortage reports whether accepting a connection failed for a reason that may pass soon: a lack of file
// descriptors or memory, or a client that gave up first (ECONNABORTED).
func isResourceShortage(err error) bool {
	for _, shortage := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}
