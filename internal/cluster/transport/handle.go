package transport

import (
	"context"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
)

// maxRemainingMs limits header.remainingMs as received, in milliseconds: one hour. It also keeps the conversion of a
// senseless value to a time.Duration from overflowing.
const maxRemainingMs = 3600 * 1000

// handler handles the frames of one type. Its functions decode the frame's value from the session's reader. An error that
// they return ends the session, since the gob stream cannot be read any further.
type handler struct {
	request func(call *pendingCall) error // for frameRequest; nil: calls with this type are refused
	message func(s *session) error        // for frameMessage; nil: messages of this type are ignored
}

// pendingCall is one unanswered call of a server.
type pendingCall struct {
	session     *session
	id          uint64
	remainingMs uint64 // milliseconds until the caller's deadline when the call was sent; 0: there is no deadline
	answered    atomic.Bool
}

// reply answers the call with err, or with response if err is nil. Only the first call of reply has an effect. response
// is nil or a pointer.
func (call *pendingCall) reply(response any, err error) {
	if call.answered.Swap(true) {
		return
	}
	call.session.outstanding.Add(-1)
	if err != nil {
		call.session.sendFailure(call.id, err)
		return
	}
	call.session.send(header{kind: frameResponse, id: call.id}, response)
}

// replyWith calls reply with a typed response. A nil one becomes an untyped nil, which reply sends without a value.
func replyWith[Resp any](call *pendingCall, response *Resp, err error) {
	if response == nil {
		call.reply(nil, err)
		return
	}
	call.reply(response, err)
}

// Handle registers the handler of calls whose request is a Req. f runs in a new goroutine for each call; at most
// MaxHandlers of these run at once. Its ctx ends at the caller's deadline or when the server is closed. A nil response
// without an error leaves the caller's response unchanged. Registering a type twice panics.
func Handle[Req, Resp any](s *Server, f func(ctx context.Context, from string, request *Req) (*Resp, error)) {
	register[Req](s, handler{request: func(call *pendingCall) error {
		request := new(Req)
		if err := call.session.in.value(request); err != nil {
			return err
		}
		if s.runningHandlers.Add(1) > int64(s.options.MaxHandlers) {
			s.runningHandlers.Add(-1)
			call.reply(nil, failure.Newf(failure.Unavailable, "the server runs %d handlers, which is its limit",
				s.options.MaxHandlers))
			return nil
		}
		go runHandler(s.ctx, s, call, request, f)
		return nil
	}})
}

// runHandler calls f and answers the call with the result. ctx is the server's context; the context of f also ends at the
// caller's deadline.
func runHandler[Req, Resp any](
	ctx context.Context, s *Server, call *pendingCall, request *Req, f func(context.Context, string, *Req) (*Resp, error),
) {
	defer s.runningHandlers.Add(-1)
	if call.remainingMs > 0 {
		var cancel context.CancelFunc
		remaining := time.Duration(min(call.remainingMs, maxRemainingMs)) * time.Millisecond
		ctx, cancel = context.WithTimeout(ctx, remaining)
		defer cancel()
	}
	response, err := f(ctx, call.session.from, request)
	replyWith(call, response, err)
}

// HandleAsync registers the handler of calls whose request is a Req. The handler answers by calling reply once, at any
// time and from any goroutine. f runs in the goroutine that reads the connection: it gets the calls of one connection in
// the order of sending, and while it blocks, no further frames are read, not even pings. Registering a type twice panics.
func HandleAsync[Req, Resp any](s *Server, f func(from string, request *Req, reply func(*Resp, error))) {
	register[Req](s, handler{request: func(call *pendingCall) error {
		request := new(Req)
		if err := call.session.in.value(request); err != nil {
			return err
		}
		f(call.session.from, request, func(response *Resp, err error) { replyWith(call, response, err) })
		return nil
	}})
}

// HandleOneWay registers the handler of one-way messages of type Msg. f runs in the goroutine that reads the connection:
// it gets the messages of one connection in the order of sending, and while it blocks, no further frames are read, not
// even pings. Registering a type twice panics.
func HandleOneWay[Msg any](s *Server, f func(from string, message *Msg)) {
	register[Msg](s, handler{message: func(s *session) error {
		message := new(Msg)
		if err := s.in.value(message); err != nil {
			return err
		}
		f(s.from, message)
		return nil
	}})
}

// register adds a handler for type T. A type may have one handler for calls and one for one-way messages.
func register[T any](s *Server, added handler) {
	name := reflect.TypeFor[T]().String()
	present := s.handlers[name]
	if added.request != nil {
		if present.request != nil {
			panic(errors.Errorf("two handlers are registered for calls with request type %s", name))
		}
		present.request = added.request
	}
	if added.message != nil {
		if present.message != nil {
			panic(errors.Errorf("two handlers are registered for one-way messages of type %s", name))
		}
		present.message = added.message
	}
	s.handlers[name] = present
}
