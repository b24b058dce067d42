// Package ingress speaks to the clients: it takes their requests over HTTP/1.1, hands them on in a form that
// knows no protocol, and writes the one answer to each.
package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ospreypond/internal/exchange"
	"ospreypond/internal/lifecycle"
)

const (
	maxBody     = 64 << 10
	headerLimit = 10 * time.Second // for a client to send its headers, and again its body
	idleLimit   = 2 * time.Minute
	// linger is how long connections are still accepted after the signal to stop: the front sends new ones
	// for up to 0.4 s, and one that is in the kernel's backlog when the listener closes is lost.
	linger = 700 * time.Millisecond
	// crowd is the part of the clients' sockets from which on requests are refused at once. The rest is
	// there so that the connections beyond can still be told so: one left waiting in the backlog is lost.
	crowd = 0.85
)

// Submitter takes requests and brings their final answers; exchange.Exchange is one.
type Submitter interface {
	Submit(ctx context.Context, r *exchange.Request) exchange.Answer
}

// Server takes clients' requests.
type Server struct {
	http     http.Server
	to       Submitter
	life     *lifecycle.Lifecycle
	classes  map[string]bool
	maxRetry time.Duration
	budget   int64
	open     atomic.Int64 // clients' connections
	inHand   atomic.Int64 // requests that have no answer yet
	crowded  atomic.Bool
	log      logrus.FieldLogger
}

// New returns a server of the named classes that holds at most budget connections.
func New(to Submitter, life *lifecycle.Lifecycle, classes []string, budget int, log *logrus.Logger) *Server {
	s := &Server{to: to, life: life, classes: map[string]bool{}, budget: int64(budget), log: log}
	for _, c := range classes {
		s.classes[c] = true
	}
	s.http = http.Server{Handler: s, ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit,
		ConnState: s.count, Protocols: new(http.Protocols)}
	s.http.Protocols.SetHTTP1(true)
	return s
}

// Serve takes requests from l until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(&limited{Listener: l, room: make(chan struct{}, s.budget)}); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving clients: %w", err)
	}
	return nil
}

// Shutdown goes on accepting for a while, as clients still come, then takes nothing new and returns when all
// that was taken is answered or ctx ends. The phase must be Draining, so that answers close connections.
func (s *Server) Shutdown(ctx context.Context) error {
	select {
	case <-time.After(linger):
	case <-ctx.Done():
	}
	// A connection that never carried a request keeps net/http waiting to the end; nothing is lost with it.
	if err := s.http.Shutdown(ctx); err != nil && s.inHand.Load() > 0 {
		return fmt.Errorf("%d requests without an answer: %w", s.inHand.Load(), err)
	}
	return nil
}

func (s *Server) count(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	}
}

// full tells whether clients hold so many connections that a request is refused unseen.
func (s *Server) full() bool {
	limit := crowd * float64(s.budget)
	if s.crowded.Load() { // so that the log does not flutter
		limit *= 0.9
	}
	full := float64(s.open.Load()) > limit
	if s.crowded.Swap(full) != full {
		s.log.WithField("connections", s.open.Load()).Warnf("too many client connections: %v", full)
	}
	return full
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Guards against a fault in the program: a panic that reached net/http would cut the client's connection.
	defer func() {
		if p := recover(); p != nil {
			s.log.WithField("panic", p).WithField("stack", string(debug.Stack())).Error("request panicked")
			s.text(w, http.StatusInternalServerError, "internal fault")
		}
	}()
	s.inHand.Add(1)
	defer s.inHand.Add(-1)
	if s.life.Phase() >= lifecycle.Draining {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/health/ready" {
		s.ready(w)
		return
	}
	s.request(w, r)
}

func (s *Server) ready(w http.ResponseWriter) {
	if p := s.life.Phase(); p != lifecycle.Serving {
		s.text(w, http.StatusServiceUnavailable, p.String())
		return
	}
	s.text(w, http.StatusOK, "ready")
}

func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	req, wait, err := parse(r)
	var bad *badHeader
	switch {
	case errors.As(err, &bad):
		s.log.WithError(err).Debug("bad request")
		s.text(w, http.StatusBadRequest, err.Error())
		return
	case r.Method != http.MethodPost:
		w.Header().Set("Allow", http.MethodPost)
		s.text(w, http.StatusMethodNotAllowed, "jobs arrive by POST")
		return
	case !s.classes[req.Class]:
		s.text(w, http.StatusNotFound, fmt.Sprintf("no class %q", req.Class))
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(headerLimit))
	req.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			s.text(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is over %d bytes", maxBody))
			return
		}
		s.text(w, http.StatusBadRequest, "the body broke off")
		return
	}
	_ = control.SetReadDeadline(time.Time{})
	req.Arrived = time.Now()
	req.Deadline = req.Arrived.Add(wait)
	if s.full() {
		w.Header().Set("Connection", "close")
		s.answer(w, req, exchange.Answer{Kind: exchange.Shed, RetryAfter: time.Second})
		return
	}
	s.answer(w, req, s.to.Submit(r.Context(), req))
}

// answer writes a request's final answer.
func (s *Server) answer(w http.ResponseWriter, req *exchange.Request, a exchange.Answer) {
	if s.life.Phase() >= lifecycle.Draining { // it may have begun since the request came
		w.Header().Set("Connection", "close")
	}
	s.log.WithFields(logrus.Fields{"request": req.ID, "answer": a.Kind, "took": time.Since(req.Arrived)}).
		Debug("request ended")
	switch a.Kind {
	case exchange.Served:
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Result)))
		_, _ = w.Write(a.Result)
	case exchange.Shed:
		if a.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
		}
		s.text(w, http.StatusServiceUnavailable, "refused; a retry is harmless")
	case exchange.Failed:
		s.text(w, http.StatusBadGateway, "failed; it may have had its effect")
	case exchange.Broken:
		s.text(w, http.StatusInternalServerError, "internal fault")
	case exchange.Left: // there is nobody to write to
	}
}

// text writes a short answer of one line.
func (s *Server) text(w http.ResponseWriter, status int, line string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(line)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, line+"\n")
}
