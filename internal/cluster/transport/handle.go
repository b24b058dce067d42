package transport

import (
	"context"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
)

// longestWaitMs bounds what a caller may say it waits.
const longestWaitMs = 3600 * 1000

// handler is what a server does with one type. Its functions read the frame's value from the session; an error of
// theirs ends the session.
type handler struct {
	request func(answering *answering) error
	message func(s *session) error
}

// answering is one call that has no answer yet.
type answering struct {
	session     *session
	id          uint64
	remainingMs uint64
	answered    atomic.Bool
}

// answer sends the answer; only the first counts. response is nil or a pointer.
func (a *answering) answer(response any, err error) {
	if a.answered.Swap(true) {
		return
	}
	a.session.outstanding.Add(-1)
	if err != nil {
		a.session.fail(a.id, err)
		return
	}
	a.session.send(header{kind: frameResponse, id: a.id}, response)
}

// answerWith is answer for a typed response, which may be nil for one that holds nothing.
func answerWith[Resp any](a *answering, response *Resp, err error) {
	if response == nil {
		a.answer(nil, err)
		return
	}
	a.answer(response, err)
}

// Handle registers what answers calls with a Req. f runs in a goroutine of its own, one for each call; its ctx ends with
// the caller's deadline and with the server. Registering a type twice panics.
func Handle[Req, Resp any](s *Server, f func(ctx context.Context, from string, request *Req) (*Resp, error)) {
	register[Req](s, handler{request: func(a *answering) error {
		request := new(Req)
		if err := a.session.in.value(request); err != nil {
			return err
		}
		if s.running.Add(1) > int64(s.options.MaxHandlers) {
			s.running.Add(-1)
			a.answer(nil, failure.Newf(failure.Unavailable, "%d calls are being handled", s.options.MaxHandlers))
			return nil
		}
		go run(s, a, request, f)
		return nil
	}})
}

func run[Req, Resp any](s *Server, a *answering, request *Req, f func(context.Context, string, *Req) (*Resp, error)) {
	defer s.running.Add(-1)
	ctx := s.ctx
	if a.remainingMs > 0 {
		var cancel context.CancelFunc
		remaining := time.Duration(min(a.remainingMs, longestWaitMs)) * time.Millisecond
		ctx, cancel = context.WithTimeout(ctx, remaining)
		defer cancel()
	}
	response, err := f(ctx, a.session.from, request)
	answerWith(a, response, err)
}

// HandleAsync registers what answers calls with a Req, in any order and from any goroutine, by calling reply once. f
// runs in the connection's reader: it must not wait, and it gets the calls of one connection in their order.
// Registering a type twice panics.
func HandleAsync[Req, Resp any](s *Server, f func(from string, request *Req, reply func(*Resp, error))) {
	register[Req](s, handler{request: func(a *answering) error {
		request := new(Req)
		if err := a.session.in.value(request); err != nil {
			return err
		}
		f(a.session.from, request, func(response *Resp, err error) { answerWith(a, response, err) })
		return nil
	}})
}

// HandleOneWay registers what takes messages that want no answer. f runs in the connection's reader: it must not wait,
// and it gets the messages of one connection in their order. Registering a type twice panics.
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

// register adds a handler for a type. A type may have one that answers and one that does not.
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
