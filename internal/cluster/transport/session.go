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
	out         *outbox
	in          *inbox
	from        string       // the client's name, or its address if it gave none
	outstanding atomic.Int64 // unanswered calls
}

func newSession(server *Server, conn net.Conn) *session {
	s := &session{server: server, conn: conn, from: conn.RemoteAddr().String()}
	options := &server.options
	s.out = newOutbox(options.MaxFrameBytes, options.MaxQueueBytes, options.WriteTimeout, "", s.ended)
	s.in = newInbox(conn, options.MaxFrameBytes)
	s.out.attach(conn)
	return s
}

// ended is called by the outbox once the connection has ended.
func (s *session) ended() { s.server.removeSession(s) }

// run handles frames until the connection ends.
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

// log logs an end that should not happen, but not that peers come and go.
func (s *session) log(cause error) {
	if isExpectedEnd(cause) || s.server.isClosed() {
		return
	}
	logger := level.Warn(s.server.options.Logger)
	_ = logger.Log("message", "connection closed by a fault", "peer", s.from, "address", s.conn.RemoteAddr(), "cause", cause)
}

// handleFrame handles one frame.
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
		return errors.Errorf("a client sent a frame of kind %d", h.kind)
	}
}

func (s *session) handleMessage(h header) error {
	found, ok := s.server.handlers[s.in.typeName(h.number)]
	if !ok || found.message == nil {
		return s.in.skip()
	}
	return found.message(s)
}

func (s *session) handleRequest(h header) error {
	name := s.in.typeName(h.number)
	found, ok := s.server.handlers[name]
	switch {
	case !ok || found.request == nil:
		s.sendFailure(h.id, failure.Newf(failure.Unavailable, "nothing here answers a %s", name))
		return s.in.skip()
	case s.outstanding.Load() >= int64(s.server.options.MaxOutstanding):
		s.sendFailure(h.id, failure.Newf(failure.Unavailable, "%d calls of one connection are pending", s.outstanding.Load()))
		return s.in.skip()
	}
	s.outstanding.Add(1)
	return found.request(&pendingCall{session: s, id: h.id, remainingMs: h.remainingMs})
}

// send queues a frame. The connection of a peer that has not read too many responses is closed.
func (s *session) send(h header, value any) {
	_, err := s.out.put(h, value)
	switch failure.KindOf(err) {
	case failure.None:
	case failure.Unavailable:
		s.out.close()
	default: // the response cannot be sent; what was requested may have been done
		s.sendFailure(h.id, failure.New(failure.UnknownOutcome, err.Error()))
	}
}

// sendFailure answers a call with an error. Only its kind, message and leader are sent.
func (s *session) sendFailure(id uint64, err error) {
	sent := &failure.Error{Kind: failure.KindOf(err), Message: err.Error(), Leader: failure.LeaderOf(err)}
	var known *failure.Error
	if errors.As(err, &known) {
		sent.Message = known.Message
	}
	if _, err := s.out.put(header{kind: frameFailure, id: id, failure: sent}, nil); err != nil {
		s.out.close()
	}
}

// isResourceShortage reports whether a connection was not accepted for lack of a resource that may be available again
// soon.
func isResourceShortage(err error) bool {
	for _, shortage := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}
