// Package ingress serves the clients: it reads their requests over HTTP/1.1, passes them to a Submitter as
// coordinator.Request, and writes one response to each.
//
// A caller makes a Server, calls Serve with a listener in a goroutine, and calls Shutdown once the lifecycle is in phase
// Draining or later. Server's methods may be called from any goroutine. If the server calls Submit for a request, the
// client gets the response that Submit returns. GiveUps counts every other request; such a request never ran. The server
// never destroys a response by closing the connection, except when the context of Shutdown ends.
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
	// maxBody is the largest body of a request in bytes.
	maxBody = 64 << 10
	// maxHead bounds a request's head in bytes; net/http allows 4 KiB more. Usual heads have less than 1 KiB.
	maxHead = 4 << 10
	// responseWriteTimeout bounds the writing of a response, which takes long if the client doesn't read it.
	responseWriteTimeout = 5 * time.Second
	// idleTimeout is how long a connection may be open between two requests.
	idleTimeout = 2 * time.Minute
	// acceptAfterStop is how long connections are still accepted after the signal to stop. The load balancer sends new
	// ones for up to 0.4 s, and a connection that is in the kernel's backlog when the listener closes is lost.
	acceptAfterStop = 700 * time.Millisecond
	// maxBusyFraction is the fraction of the client sockets that may have a request in flight. Requests beyond it are
	// shed at once. The other sockets are for the responses to these.
	maxBusyFraction = 0.85
	// shedRetryAfter is the Retry-After of a request that this package sheds, unless the settings' limit is shorter.
	shedRetryAfter = time.Second
)

// Submitter is implemented by *coordinator.Coordinator.
type Submitter interface {
	// Submit serves a request and returns its final response. ctx ends when the client disconnects.
	Submit(ctx context.Context, r *coordinator.Request) coordinator.Response
	// NotifyEnded is called for a request that was accepted and then shed, with its response, instead of Submit.
	NotifyEnded(r *coordinator.Request, a coordinator.Response)
}

// Server reads clients' requests and writes their responses. Use New.
type Server struct {
	http         http.Server
	submitter    Submitter
	lifecycle    *lifecycle.Lifecycle
	rules        atomic.Pointer[requestRules] // by the current settings
	sockets      int                          // how many client connections may be open
	maxBodyBytes int64                        // bounds bodyBytes
	bodyBytes    atomic.Int64                 // the size of all bodies being served
	unanswered   atomic.Int64                 // number of requests in the handler
	inFlight     atomic.Int64                 // number of requests among them that were read and accepted
	shedding     atomic.Bool                  // requests are being shed, see shouldShed
	listener     atomic.Pointer[limitedListener]
	giveUps      *GiveUps
	drained      atomic.Bool // set by Drain; unlike the phase Draining it can be reversed
	stopping     atomic.Bool // set by Shutdown before it closes the listener
	log          *logrus.Logger
}

// New returns a server that accepts requests of the classes and tenants in set. At most sockets connections are open at
// once, and the bodies being served have at most maxBodyBytes together.
func New(submitter Submitter, phases *lifecycle.Lifecycle, set *policy.Settings, sockets int, maxBodyBytes int64, log *logrus.Logger) *Server {
	s := &Server{submitter: submitter, lifecycle: phases, sockets: sockets, maxBodyBytes: maxBodyBytes, giveUps: newGiveUps(log), log: log}
	s.UpdateSettings(set)
	s.http = http.Server{Handler: s, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHead,
		ConnState: connStateChanged, ConnContext: withClientConn, ErrorLog: stdlog.New(log.WriterLevel(logrus.DebugLevel), "", 0),
		Protocols: new(http.Protocols)}
	s.http.Protocols.SetHTTP1(true)
	return s
}

// Serve serves requests on connections from l until Shutdown closes l, and then returns nil. It must be called only once.
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

// GiveUps returns the counts of requests given up before the coordinator saw them.
func (s *Server) GiveUps() *GiveUps { return s.giveUps }

// requestRules are the parts of the settings that concern the acceptance of requests.
type requestRules struct {
	classes    map[string]bool // the names of the classes
	tenants    map[string]bool // the names of the tenants; empty: each request is accepted whatever its tenant
	retryAfter time.Duration   // the Retry-After of requests that this package sheds; 0: none is sent
}

// retryAfter returns the Retry-After of requests that this package sheds, by the current settings; 0: none is sent.
func (s *Server) retryAfter() time.Duration { return s.rules.Load().retryAfter }

// UpdateSettings applies the classes, the tenants and the longest Retry-After of set to the requests that arrive from now
// on.
func (s *Server) UpdateSettings(set *policy.Settings) {
	n := &requestRules{classes: map[string]bool{}, tenants: map[string]bool{}, retryAfter: min(shedRetryAfter, set.MaxRetryAfter)}
	for _, c := range set.Classes {
		n.classes[c.Name] = true
	}
	for _, t := range set.Tenants {
		n.tenants[t.Name] = true
	}
	s.rules.Store(n)
}

// clientConnKey is the key of the *clientConn in a request's context.
type clientConnKey struct{}

func withClientConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, c)
}

// connStateChanged is called by net/http when a connection's state changes. It reports a connection as idle after each
// response.
func connStateChanged(c net.Conn, state http.ConnState) {
	if k, ok := c.(*clientConn); ok && state == http.StateIdle {
		k.responded()
	}
}

// shouldShed reports whether the last of n requests in flight is to be shed, as n exceeds maxBusyFraction of the sockets.
func (s *Server) shouldShed(n int64) bool {
	limit := maxBusyFraction * float64(s.sockets)
	if s.shedding.Load() { // hysteresis: the lower limit prevents frequent changes; each change is logged
		limit *= 0.9
	}
	shed := float64(n) > limit
	if s.shedding.Swap(shed) != shed {
		s.log.WithField("requests", n).Warnf("too many requests in hand: %v", shed)
	}
	return shed
}

// ServeHTTP serves one request, or the readiness probe at /health/ready.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// After a panic net/http would close the connection without a response.
	defer func() {
		if p := recover(); p != nil {
			s.log.WithField("panic", p).WithField("stack", string(debug.Stack())).Error("request panicked")
			s.writeText(w, http.StatusInternalServerError, "internal fault")
		}
	}()
	s.unanswered.Add(1)
	defer s.unanswered.Add(-1)
	chunked := false // whether a chunked body may be read
	if k, ok := r.Context().Value(clientConnKey{}).(*clientConn); ok {
		chunked = k.startHandling() // from here on the handler, not the connection, counts the request if it is given up
	}
	if s.closesConnections() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/health/ready" {
		s.serveReady(w)
		return
	}
	s.serveRequest(w, r, chunked)
}

// serveReady responds to the readiness probe.
func (s *Server) serveReady(w http.ResponseWriter) {
	if ok, why := s.Ready(); !ok {
		s.writeText(w, http.StatusServiceUnavailable, why)
		return
	}
	s.writeText(w, http.StatusOK, "ready")
}

// Ready reports whether new clients may be sent to this dispatcher, and if not, why.
func (s *Server) Ready() (bool, string) {
	if p := s.lifecycle.Phase(); p != lifecycle.Serving {
		return false, p.String()
	}
	if s.drained.Load() {
		return false, "drained"
	}
	return true, ""
}

// closesConnections reports whether every response is to close its connection.
func (s *Server) closesConnections() bool {
	return s.drained.Load() || s.lifecycle.Phase() >= lifecycle.Draining
}

// serveRequest reads one request, submits it and writes its response. chunked is whether a chunked body may be read.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, chunked bool) {
	control := http.NewResponseController(w)
	// The deadline also applies to a body that isn't read here: net/http reads the rest of the body before it closes.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	k, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	if k != nil {
		k.setReadingBody(true)
	}
	req, timeout, fault := s.parseHead(r, chunked)
	if fault == nil {
		var release func()
		if release, fault = s.readBody(r, req); release != nil {
			defer release()
		}
	}
	if k != nil {
		k.setReadingBody(false)
	}
	// A request is not forwarded if the close of its connection began before it was read completely.
	if k != nil && !k.claim() {
		fault = &requestError{http.StatusServiceUnavailable, "", "this connection was closed to make room for another", connEvicted}
	}
	if fault != nil {
		// net/http reads the rest of the body before it closes. The deadline bounds this for a client that sends slowly.
		_ = control.SetReadDeadline(time.Now().Add(gapTimeout))
		s.giveUps.add(fault.giveUpReason())
		if s.log.IsLevelEnabled(logrus.DebugLevel) {
			s.log.WithError(fault).Debug("bad request")
		}
		w.Header().Set("Connection", "close")
		if after := s.retryAfter(); fault.status == http.StatusServiceUnavailable && after > 0 {
			w.Header().Set("Retry-After", formatRetryAfter(after))
		}
		s.writeText(w, fault.status, fault.Error())
		return
	}
	_ = control.SetReadDeadline(time.Time{})
	req.Arrived = time.Now()
	req.Deadline = req.Arrived.Add(timeout)
	a := coordinator.Response{Kind: coordinator.Shed, RetryAfter: s.retryAfter()}
	n := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if !s.shouldShed(n) {
		a = s.submitter.Submit(r.Context(), req)
	} else {
		s.giveUps.add(tooManyRequests)
		s.submitter.NotifyEnded(req, a)
	}
	_ = control.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	s.writeResponse(w, req, a)
}

// readBody reads a request's body, and counts its bytes in s.bodyBytes. If release is not nil, it must be called when the
// body is no longer used, also after a fault: it subtracts the bytes again. The limits maxBody and maxBodyBytes keep the
// bodies from using up the memory together, and a body from being endless.
func (s *Server) readBody(r *http.Request, req *coordinator.Request) (release func(), fault *requestError) {
	n := r.ContentLength
	if n < 0 {
		return s.readChunkedBody(r, req)
	}
	if n > maxBody {
		return nil, &requestError{http.StatusRequestEntityTooLarge, "Content-Length", fmt.Sprintf("is over the limit of %d bytes", maxBody), bodyTooLarge}
	}
	release = func() { s.bodyBytes.Add(-n) }
	if s.bodyBytes.Add(n) > s.maxBodyBytes {
		return release, &requestError{http.StatusServiceUnavailable, "", "the bodies of the requests in progress have used up the memory for bodies", bodyMemory}
	}
	req.Body = make([]byte, n)
	if _, err := io.ReadFull(r.Body, req.Body); err != nil {
		return release, bodyError(err, "Content-Length")
	}
	if n > 0 { // only after the body's end was read does net/http watch for the client's disconnect
		_, _ = r.Body.Read(make([]byte, 1))
	}
	return release, nil
}

// readChunkedBody is readBody for a body of unknown length. It counts the bytes as they arrive.
func (s *Server) readChunkedBody(r *http.Request, req *coordinator.Request) (release func(), fault *requestError) {
	var size int64
	release = func() { s.bodyBytes.Add(-size) }
	chunk := make([]byte, 4<<10)
	for {
		n, err := r.Body.Read(chunk)
		if size += int64(n); size > maxBody {
			return release, &requestError{http.StatusRequestEntityTooLarge, "", fmt.Sprintf("the body is over the limit of %d bytes", maxBody), bodyTooLarge}
		}
		if s.bodyBytes.Add(int64(n)) > s.maxBodyBytes {
			return release, &requestError{http.StatusServiceUnavailable, "", "the bodies of the requests in progress have used up the memory for bodies", bodyMemory}
		}
		req.Body = append(req.Body, chunk[:n]...)
		switch {
		case errors.Is(err, io.EOF):
			if req.Body == nil {
				req.Body = []byte{}
			}
			return release, nil
		case err != nil:
			return release, bodyError(err, "Transfer-Encoding")
		}
	}
}

// bodyError returns the error for a body that could not be read completely: it did not arrive in time, or the client
// disconnected. framing is the header that defines the body's end.
func bodyError(err error, framing string) *requestError {
	if late := net.Error(nil); errors.As(err, &late) && late.Timeout() {
		return &requestError{http.StatusRequestTimeout, "", "the body was not received in time", bodySlow}
	}
	return &requestError{http.StatusBadRequest, framing, "the body is incomplete or malformed", bodyDisconnected}
}

// writeResponse writes a request's final response.
func (s *Server) writeResponse(w http.ResponseWriter, req *coordinator.Request, a coordinator.Response) {
	if s.closesConnections() { // the drain may have begun after the request arrived
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
			w.Header().Set("Retry-After", formatRetryAfter(a.RetryAfter))
		}
		s.writeText(w, http.StatusServiceUnavailable, "refused; a retry is harmless")
	case coordinator.Failed:
		s.writeText(w, http.StatusBadGateway, "failed; it may have had its effect")
	case coordinator.InternalFault:
		s.writeText(w, http.StatusInternalServerError, "internal fault")
	case coordinator.InvalidRequest:
		s.writeText(w, http.StatusBadRequest, "a runner cannot use this request")
	case coordinator.DuplicateID:
		w.Header().Set("Connection", "close")
		s.writeText(w, http.StatusConflict, "X-Request-ID: a request with this id is open or was answered")
	case coordinator.ClientDisconnected:
		// The client may have closed its sending side only. Without this response net/http would write a 200.
		w.Header().Set("Connection", "close")
		s.writeText(w, http.StatusBadGateway, "the client has left")
	}
}

// writeText writes a response of one line.
func (s *Server) writeText(w http.ResponseWriter, status int, line string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(line)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, line+"\n")
}
