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
	outstanding atomic.Int64 // calls without an answer
}

func newSession(server *Server, conn net.Conn) *session {
	s := &session{server: server, conn: conn, from: conn.RemoteAddr().String()}
	options := &server.options
	s.out = newOutbox(options.MaxFrameBytes, options.MaxQueueBytes, options.WriteTimeout, "", s.over)
	s.in = newInbox(conn, options.MaxFrameBytes)
	s.out.attach(conn)
	return s
}

// over is called by the outbox once the connection has ended.
func (s *session) over() { s.server.remove(s) }

// run greets, and handles frames until the connection ends.
func (s *session) run() {
	err := s.greet()
	for err == nil {
		var h header
		h, err = s.in.next()
		if err == nil {
			err = s.take(h)
		}
	}
	s.log(err)
	s.out.close()
}

func (s *session) greet() error {
	if err := s.conn.SetReadDeadline(time.Now().Add(StandardGreetingTimeout)); err != nil {
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

// log tells of an end that should not happen; that peers come and go is no news.
func (s *session) log(cause error) {
	if isPlainEnd(cause) || s.server.isClosed() {
		return
	}
	logger := level.Warn(s.server.options.Logger)
	_ = logger.Log("message", "connection cut", "peer", s.from, "address", s.conn.RemoteAddr(), "cause", cause)
}

// take handles one frame.
func (s *session) take(h header) error {
	switch h.kind {
	case framePing:
		s.send(header{kind: framePong}, nil)
		return s.in.skip()
	case frameMessage:
		return s.message(h)
	case frameRequest:
		return s.request(h)
	default:
		return errors.Errorf("a client sent a frame of kind %d", h.kind)
	}
}

func (s *session) message(h header) error {
	found, ok := s.server.handlers[s.in.typeName(h.number)]
	if !ok || found.message == nil {
		return s.in.skip()
	}
	return found.message(s)
}

func (s *session) request(h header) error {
	name := s.in.typeName(h.number)
	found, ok := s.server.handlers[name]
	switch {
	case !ok || found.request == nil:
		s.fail(h.id, failure.Newf(failure.Unavailable, "nothing here answers a %s", name))
		return s.in.skip()
	case s.outstanding.Load() >= int64(s.server.options.MaxOutstanding):
		s.fail(h.id, failure.Newf(failure.Unavailable, "%d calls of one connection have no answer", s.outstanding.Load()))
		return s.in.skip()
	}
	s.outstanding.Add(1)
	return found.request(&answering{session: s, id: h.id, remainingMs: h.remainingMs})
}

// send queues a frame. A peer that has let too many answers pile up is cut.
func (s *session) send(h header, value any) {
	_, err := s.out.put(h, value)
	switch failure.KindOf(err) {
	case failure.None:
	case failure.Unavailable:
		s.out.close()
	default: // the handler's answer cannot be sent; what was asked for may have been done
		s.fail(h.id, failure.New(failure.UnknownOutcome, err.Error()))
	}
}

func (s *session) fail(id uint64, err error) {
	told := &failure.Error{Kind: failure.KindOf(err), Message: err.Error(), Leader: failure.LeaderOf(err)}
	var own *failure.Error
	if errors.As(err, &own) {
		told.Message = own.Message
	}
	if _, err := s.out.put(header{kind: frameFailure, id: id, failure: told}, nil); err != nil {
		s.out.close()
	}
}

// isShortage tells whether taking a connection failed for want of something that may be there again soon.
func isShortage(err error) bool {
	for _, shortage := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}
