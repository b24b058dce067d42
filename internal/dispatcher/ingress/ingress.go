// Package ingress speaks to the clients: it takes their requests over HTTP/1.1, hands them on in a form that
// knows no protocol, and writes the one answer to each.
package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ospreypond/internal/dispatcher/coordinator"
	"ospreypond/internal/dispatcher/lifecycle"
	"ospreypond/policy"
)

const (
	maxBody = 64 << 10
	// maxHead bounds a request's head; net/http allows 4 KiB more. Usual heads have under 1 KiB.
	maxHead = 4 << 10
	// answerLimit is for a client to take its answer.
	answerLimit = 5 * time.Second
	idleLimit   = 2 * time.Minute
	// acceptFor is how long connections are still accepted after the signal to stop: the front sends new ones
	// for up to 0.4 s, and one that is in the kernel's backlog when the listener closes is lost.
	acceptFor = 700 * time.Millisecond
	// busyShare is the part of the clients' sockets from which on requests in hand are refused at once. The rest
	// is there so that those beyond can still be told so.
	busyShare = 0.85
	// refusedRetry is when the client of such a request may come back, within what the settings allow to tell.
	refusedRetry = time.Second
)

// Submitter takes requests and brings their final answers; coordinator.Coordinator is one.
type Submitter interface {
	Submit(ctx context.Context, r *coordinator.Request) coordinator.Response
	// Turned is told of a request that was answered without it.
	NotifyEnded(r *coordinator.Request, a coordinator.Response)
}

// Server takes clients' requests.
type Server struct {
	http     http.Server
	to       Submitter
	life     *lifecycle.Lifecycle
	names    atomic.Pointer[names] // of the settings in force
	sockets  int
	memory   int64        // for the bodies in hand
	held     atomic.Int64 // bytes of them
	inHand   atomic.Int64 // requests that have no answer yet
	taken    atomic.Int64 // those among them that were read whole and are no client's fault
	full     atomic.Bool
	listener atomic.Pointer[limitedListener]
	giveUps  *GiveUps
	drained  atomic.Bool // asked by an operator to take nothing new, and reversible unlike the phase
	// stopping: Shutdown has closed the listener.
	stopping atomic.Bool
	log      *logrus.Logger
}

// New returns a server of the configured classes and tenants that holds at most so many sockets, and bodies of at
// most so many bytes in all.
func New(to Submitter, life *lifecycle.Lifecycle, set *policy.Settings, sockets int, memory int64, log *logrus.Logger) *Server {
	s := &Server{to: to, life: life, sockets: sockets, memory: memory, giveUps: newGiveUps(log), log: log}
	s.Retune(set)
	s.http = http.Server{Handler: s, ReadHeaderTimeout: headWithin, IdleTimeout: idleLimit, MaxHeaderBytes: maxHead,
		ConnState: rested, ConnContext: withClient, ErrorLog: stdlog.New(log.WriterLevel(logrus.DebugLevel), "", 0),
		Protocols: new(http.Protocols)}
	s.http.Protocols.SetHTTP1(true)
	return s
}

// Serve takes requests from l until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	c := newLimitedListener(l, s.sockets, s.retryAfter, s.giveUps, s.log)
	s.listener.Store(c)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go s.giveUps.summarise(ctx)
	if err := s.http.Serve(c); !s.stopping.Load() && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving clients: %w", err)
	}
	return nil
}

// GiveUps counts the requests given up before the coordinator saw them.
func (s *Server) GiveUps() *GiveUps { return s.giveUps }

// names are the classes and tenants that requests may name.
type names struct {
	classes    map[string]bool
	tenants    map[string]bool // empty: there are none to tell
	retryAfter time.Duration   // that clients refused here are told; 0: nothing
}

// retryAfter is what a client refused here is told by the settings in force; 0: nothing.
func (s *Server) retryAfter() time.Duration { return s.names.Load().retryAfter }

// Retune takes the classes, the tenants and the longest Retry-After of new settings: requests that come from now on
// are checked against them and refused by them.
func (s *Server) Retune(set *policy.Settings) {
	n := &names{classes: map[string]bool{}, tenants: map[string]bool{}, retryAfter: min(refusedRetry, set.MaxRetryAfter)}
	for _, c := range set.Classes {
		n.classes[c.Name] = true
	}
	for _, t := range set.Tenants {
		n.tenants[t.Name] = true
	}
	s.names.Store(n)
}

type clientKey struct{}

func withClient(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, c)
}

func rested(c net.Conn, state http.ConnState) {
	if k, ok := c.(*client); ok && state == http.StateIdle {
		k.rest()
	}
}

// tooMany tells whether n requests in hand are so many that the last one is refused unseen.
func (s *Server) tooMany(n int64) bool {
	limit := busyShare * float64(s.sockets)
	if s.full.Load() { // hysteresis: the log must not repeat the change again and again
		limit *= 0.9
	}
	full := float64(n) > limit
	if s.full.Swap(full) != full {
		s.log.WithField("requests", n).Warnf("too many requests in hand: %v", full)
	}
	return full
}

// ServeHTTP takes one request and writes its final answer.
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
	chunked := false // whether a chunked body may be read
	if k, ok := r.Context().Value(clientKey{}).(*client); ok {
		chunked = k.hear() // from here on the handler counts what it gives up
	}
	if s.closing() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/health/ready" {
		s.ready(w)
		return
	}
	s.request(w, r, chunked)
}

func (s *Server) ready(w http.ResponseWriter) {
	if ok, why := s.Ready(); !ok {
		s.text(w, http.StatusServiceUnavailable, why)
		return
	}
	s.text(w, http.StatusOK, "ready")
}

// Ready tells whether clients are to be sent here, and if not, why not.
func (s *Server) Ready() (bool, string) {
	if p := s.life.Phase(); p != lifecycle.Serving {
		return false, p.String()
	}
	if s.drained.Load() {
		return false, "drained"
	}
	return true, ""
}

// closing tells whether every answer is to close its connection.
func (s *Server) closing() bool { return s.drained.Load() || s.life.Phase() >= lifecycle.Draining }

func (s *Server) request(w http.ResponseWriter, r *http.Request, chunked bool) {
	control := http.NewResponseController(w)
	// Also for what is not read here: net/http reads the rest of a body before it closes.
	_ = control.SetReadDeadline(time.Now().Add(bodyWithin))
	k, _ := r.Context().Value(clientKey{}).(*client)
	if k != nil {
		k.reads(true)
	}
	req, wait, fault := s.head(r, chunked)
	if fault == nil {
		var give func()
		if give, fault = s.body(w, r, req); give != nil {
			defer give()
		}
	}
	if k != nil {
		k.reads(false)
	}
	// Nothing is sent on that was read after the decision to close its connection.
	if k != nil && !k.take() {
		fault = &badRequest{http.StatusServiceUnavailable, "", "this connection had to make room", madeRoom}
	}
	if fault != nil {
		// net/http reads what is left of the body before it closes; a client that sends it slowly is not waited for.
		_ = control.SetReadDeadline(time.Now().Add(gapWithin))
		s.giveUps.add(fault.reason())
		if s.log.IsLevelEnabled(logrus.DebugLevel) {
			s.log.WithError(fault).Debug("bad request")
		}
		w.Header().Set("Connection", "close")
		if after := s.retryAfter(); fault.status == http.StatusServiceUnavailable && after > 0 {
			w.Header().Set("Retry-After", retryText(after))
		}
		s.text(w, fault.status, fault.Error())
		return
	}
	_ = control.SetReadDeadline(time.Time{})
	req.Arrived = time.Now()
	req.Deadline = req.Arrived.Add(wait)
	a := coordinator.Response{Kind: coordinator.Shed, RetryAfter: s.retryAfter()}
	n := s.taken.Add(1)
	defer s.taken.Add(-1)
	if !s.tooMany(n) {
		a = s.to.Submit(r.Context(), req)
	} else {
		s.giveUps.add(tooMany)
		s.to.NotifyEnded(req, a)
	}
	_ = control.SetWriteDeadline(time.Now().Add(answerLimit))
	s.answer(w, req, a)
}

// body reads a request's body, whose length must be told. What it takes of the memory for bodies is given back
// by give. Guards against bodies that use up the memory together, or that never end.
func (s *Server) body(w http.ResponseWriter, r *http.Request, req *coordinator.Request) (give func(), fault *badRequest) {
	n := r.ContentLength
	if n < 0 {
		return s.chunkedBody(r, req)
	}
	if n > maxBody {
		return nil, &badRequest{http.StatusRequestEntityTooLarge, "Content-Length", fmt.Sprintf("is over %d", maxBody), bodyLarge}
	}
	give = func() { s.held.Add(-n) }
	if s.held.Add(n) > s.memory {
		return give, &badRequest{http.StatusServiceUnavailable, "", "no room for the body", bodyRoom}
	}
	req.Body = make([]byte, n)
	if _, err := io.ReadFull(r.Body, req.Body); err != nil {
		return give, brokenBody(err, "Content-Length")
	}
	if n > 0 { // sees the end, so that net/http watches for the client's leaving
		_, _ = r.Body.Read(make([]byte, 1))
	}
	return give, nil
}

// chunkedBody reads a body of unknown length, taking of the memory for bodies as it grows.
func (s *Server) chunkedBody(r *http.Request, req *coordinator.Request) (give func(), fault *badRequest) {
	var held int64
	give = func() { s.held.Add(-held) }
	piece := make([]byte, 4<<10)
	for {
		n, err := r.Body.Read(piece)
		if held += int64(n); held > maxBody {
			return give, &badRequest{http.StatusRequestEntityTooLarge, "", fmt.Sprintf("the body is over %d", maxBody), bodyLarge}
		}
		if s.held.Add(int64(n)) > s.memory {
			return give, &badRequest{http.StatusServiceUnavailable, "", "no room for the body", bodyRoom}
		}
		req.Body = append(req.Body, piece[:n]...)
		switch {
		case errors.Is(err, io.EOF):
			if req.Body == nil {
				req.Body = []byte{}
			}
			return give, nil
		case err != nil:
			return give, brokenBody(err, "Transfer-Encoding")
		}
	}
}

// brokenBody tells why a body could not be read whole: it did not come in time, or it broke off.
func brokenBody(err error, framing string) *badRequest {
	if late := net.Error(nil); errors.As(err, &late) && late.Timeout() {
		return &badRequest{http.StatusRequestTimeout, "", "the body did not come in time", bodySlow}
	}
	return &badRequest{http.StatusBadRequest, framing, "the body broke off", bodyLeft}
}

// answer writes a request's final answer.
func (s *Server) answer(w http.ResponseWriter, req *coordinator.Request, a coordinator.Response) {
	if s.closing() { // it may have begun since the request came
		w.Header().Set("Connection", "close")
	}
	if s.log.IsLevelEnabled(logrus.DebugLevel) {
		s.log.WithFields(logrus.Fields{"request": req.ID, "answer": a.Kind, "took": time.Since(req.Arrived)}).
			Debug("request ended")
	}
	switch a.Kind {
	case coordinator.Served:
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Result)))
		_, _ = w.Write(a.Result)
	case coordinator.Shed:
		if a.RetryAfter > 0 {
			w.Header().Set("Retry-After", retryText(a.RetryAfter))
		}
		s.text(w, http.StatusServiceUnavailable, "refused; a retry is harmless")
	case coordinator.Failed:
		s.text(w, http.StatusBadGateway, "failed; it may have had its effect")
	case coordinator.InternalFault:
		s.text(w, http.StatusInternalServerError, "internal fault")
	case coordinator.Unusable:
		s.text(w, http.StatusBadRequest, "a runner cannot use this request")
	case coordinator.DuplicateID:
		w.Header().Set("Connection", "close")
		s.text(w, http.StatusConflict, "X-Request-ID: a request with this id is open or was answered")
	case coordinator.ClientDisconnected: // nobody reads it, or one that has closed only its sending: net/http would say 200
		w.Header().Set("Connection", "close")
		s.text(w, http.StatusBadGateway, "the client has left")
	}
}

// text writes a short answer of one line.
func (s *Server) text(w http.ResponseWriter, status int, line string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(line)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, line+"\n")
}
