package transport

import (
	"context"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
)

// maxRemainingMs bounds how long a caller may state that it waits.
const maxRemainingMs = 3600 * 1000

// handler is what a server does with one type. Its functions read the frame's value from the session; their errors end
// the session.
type handler struct {
	request func(call *pendingCall) error
	message func(s *session) error
}

// pendingCall is one unanswered call.
type pendingCall struct {
	session     *session
	id          uint64
	remainingMs uint64
	answered    atomic.Bool
}

// reply sends the response or the error; only the first one counts. response is nil or a pointer.
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

// replyWith is reply with a typed response, which may be nil if it has no fields.
func replyWith[Resp any](call *pendingCall, response *Resp, err error) {
	if response == nil {
		call.reply(nil, err)
		return
	}
	call.reply(response, err)
}

// Handle registers the handler of calls with a Req. f runs in a goroutine of its own for each call; its ctx ends with
// the caller's deadline and with the server. The response may be nil if it has no fields. Registering a type twice
// panics.
func Handle[Req, Resp any](s *Server, f func(ctx context.Context, from string, request *Req) (*Resp, error)) {
	register[Req](s, handler{request: func(call *pendingCall) error {
		request := new(Req)
		if err := call.session.in.value(request); err != nil {
			return err
		}
		if s.runningHandlers.Add(1) > int64(s.options.MaxHandlers) {
			s.runningHandlers.Add(-1)
			call.reply(nil, failure.Newf(failure.Unavailable, "%d calls are being handled", s.options.MaxHandlers))
			return nil
		}
		go runHandler(s.ctx, s, call, request, f)
		return nil
	}})
}

// runHandler responds to a call with what f returns. ctx is the server's; the call's own ends with its caller's deadline.
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

// HandleAsync registers the handler of calls with a Req that responds by calling reply once, at any time and from any
// goroutine. f runs in the connection's reader: it must not block, and gets the calls of one connection in their
// order. Registering a type twice panics.
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

// HandleOneWay registers the handler of one-way messages. f runs in the connection's reader: it must not block, and
// gets the messages of one connection in their order. Registering a type twice panics.
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

// register adds a handler for a type. A type may have one for calls and one for messages.
func register[T any](s *Server, added handler) {
	name := reflect.TypeFor[T]().String()
	present := s.handlers[name]
	if added.request != nil {
		if present.request != nil {
			panic(errors.Errorf("calls with %s are handled twice", name))
		}
		present.request = added.request
	}
	if added.message != nil {
		if present.message != nil {
			panic(errors.Errorf("messages %s are handled twice", name))
		}
		present.message = added.message
	}
	s.handlers[name] = present
}
