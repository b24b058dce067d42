// Package ingress is the clients' side: it reads their requests over HTTP/1.1, passes them on in a form without any
// protocol, and writes the one response to each.
//
// A caller makes a Server, calls Serve with a listener in a goroutine, and Shutdown once the lifecycle is at least
// Draining. Server's methods may be called from any goroutine. A request that Submit was called for gets the response
// that Submit returns; any other is counted by GiveUps, and it never ran. No response is lost to a close of its
// connection by this side, except by Shutdown whose context has ended.
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
	// maxHead bounds a request's head; net/http allows 4 KiB more. Usual heads have less than 1 KiB.
	maxHead = 4 << 10
	// responseWriteTimeout is how long a client may take to read its response.
	responseWriteTimeout = 5 * time.Second
	idleTimeout          = 2 * time.Minute
	// acceptAfterStop is how long connections are still accepted after the signal to stop: the front sends new ones
	// for up to 0.4 s, and one in the kernel's backlog when the listener closes is lost.
	acceptAfterStop = 700 * time.Millisecond
	// maxBusyFraction is the fraction of the clients' sockets with a request beyond which requests are shed at once.
	// The others are for the responses that say so.
	maxBusyFraction = 0.85
	// shedRetryAfter is the Retry-After of a request that is shed here, within the settings' limit.
	shedRetryAfter = time.Second
)

// Submitter takes requests and returns their final responses; *coordinator.Coordinator is one.
type Submitter interface {
	Submit(ctx context.Context, r *coordinator.Request) coordinator.Response
	// NotifyEnded is called with a request that got its response without Submit.
	NotifyEnded(r *coordinator.Request, a coordinator.Response)
}

// Server reads clients' requests and writes their responses. Use New.
type Server struct {
	http         http.Server
	submitter    Submitter
	lifecycle    *lifecycle.Lifecycle
	names        atomic.Pointer[names] // of the settings in force
	sockets      int
	maxBodyBytes int64        // of all bodies being served
	bodyBytes    atomic.Int64 // of the bodies being served
	unanswered   atomic.Int64 // requests without a response, however far they were read
	inFlight     atomic.Int64 // those among them that were read and accepted
	shedding     atomic.Bool
	listener     atomic.Pointer[limitedListener]
	giveUps      *GiveUps
	drained      atomic.Bool // by Drain; unlike the phase it is reversible
	stopping     atomic.Bool // Shutdown has closed the listener
	log          *logrus.Logger
}

// New returns a server that accepts the classes and tenants of set, and keeps at most so many sockets, and bodies of
// at most maxBodyBytes in all.
func New(submitter Submitter, phases *lifecycle.Lifecycle, set *policy.Settings, sockets int, maxBodyBytes int64, log *logrus.Logger) *Server {
	s := &Server{submitter: submitter, lifecycle: phases, sockets: sockets, maxBodyBytes: maxBodyBytes, giveUps: newGiveUps(log), log: log}
	s.UpdateSettings(set)
	s.http = http.Server{Handler: s, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHead,
		ConnState: connStateChanged, ConnContext: withClientConn, ErrorLog: stdlog.New(log.WriterLevel(logrus.DebugLevel), "", 0),
		Protocols: new(http.Protocols)}
	s.http.Protocols.SetHTTP1(true)
	return s
}

// Serve serves requests from l until Shutdown closes it, and returns nil then. It must be called once.
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

// names are the classes and tenants that requests may name.
type names struct {
	classes    map[string]bool
	tenants    map[string]bool // empty: any
	retryAfter time.Duration   // of requests shed here; 0: none is sent
}

// retryAfter returns the Retry-After of requests shed here by the settings in force; 0: none is sent.
func (s *Server) retryAfter() time.Duration { return s.names.Load().retryAfter }

// UpdateSettings applies the classes, the tenants and the longest Retry-After of new settings to requests that arrive from
// now on.
func (s *Server) UpdateSettings(set *policy.Settings) {
	n := &names{classes: map[string]bool{}, tenants: map[string]bool{}, retryAfter: min(shedRetryAfter, set.MaxRetryAfter)}
	for _, c := range set.Classes {
		n.classes[c.Name] = true
	}
	for _, t := range set.Tenants {
		n.tenants[t.Name] = true
	}
	s.names.Store(n)
}

type clientConnKey struct{}

func withClientConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, c)
}

// connStateChanged is net/http's hook: after a response it reports the connection as idle.
func connStateChanged(c net.Conn, state http.ConnState) {
	if k, ok := c.(*clientConn); ok && state == http.StateIdle {
		k.responded()
	}
}

// shouldShed reports whether n requests in flight are so many that the last one is shed.
func (s *Server) shouldShed(n int64) bool {
	limit := maxBusyFraction * float64(s.sockets)
	if s.shedding.Load() { // hysteresis, so that the log does not repeat the change
		limit *= 0.9
	}
	shed := float64(n) > limit
	if s.shedding.Swap(shed) != shed {
		s.log.WithField("requests", n).Warnf("too many requests in hand: %v", shed)
	}
	return shed
}

// ServeHTTP serves one request, or the probe of readiness.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Guards against a fault in the program: after a panic net/http would close the connection without a response.
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
		chunked = k.startHandling() // from here on the handler counts release-ups
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

func (s *Server) serveReady(w http.ResponseWriter) {
	if ok, why := s.Ready(); !ok {
		s.writeText(w, http.StatusServiceUnavailable, why)
		return
	}
	s.writeText(w, http.StatusOK, "ready")
}

// Ready reports whether clients are to be sent here, and if not, why not.
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

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, chunked bool) {
	control := http.NewResponseController(w)
	// Also for what is not read here: net/http reads the rest of a body before it closes.
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
	// Nothing is forwarded that was read after the close of its connection had begun.
	if k != nil && !k.claim() {
		fault = &requestError{http.StatusServiceUnavailable, "", "this connection had to make room", connEvicted}
	}
	if fault != nil {
		// net/http reads the rest of the body before it closes; a client that sends it slowly is not waited for.
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

// readBody reads a request's body. release, if it is not nil, returns the body's part of maxBodyBytes and must be
// called when the body is not used any more. Guards against bodies that use up the memory together, or that never
// end.
func (s *Server) readBody(r *http.Request, req *coordinator.Request) (release func(), fault *requestError) {
	n := r.ContentLength
	if n < 0 {
		return s.readChunkedBody(r, req)
	}
	if n > maxBody {
		return nil, &requestError{http.StatusRequestEntityTooLarge, "Content-Length", fmt.Sprintf("is over %d", maxBody), bodyTooLarge}
	}
	release = func() { s.bodyBytes.Add(-n) }
	if s.bodyBytes.Add(n) > s.maxBodyBytes {
		return release, &requestError{http.StatusServiceUnavailable, "", "no room for the body", bodyMemory}
	}
	req.Body = make([]byte, n)
	if _, err := io.ReadFull(r.Body, req.Body); err != nil {
		return release, bodyError(err, "Content-Length")
	}
	if n > 0 { // reads the end, so that net/http watches for the client's disconnect
		_, _ = r.Body.Read(make([]byte, 1))
	}
	return release, nil
}

// readChunkedBody reads a body of unknown length, and takes its part of maxBodyBytes as it grows.
func (s *Server) readChunkedBody(r *http.Request, req *coordinator.Request) (release func(), fault *requestError) {
	var size int64
	release = func() { s.bodyBytes.Add(-size) }
	chunk := make([]byte, 4<<10)
	for {
		n, err := r.Body.Read(chunk)
		if size += int64(n); size > maxBody {
			return release, &requestError{http.StatusRequestEntityTooLarge, "", fmt.Sprintf("the body is over %d", maxBody), bodyTooLarge}
		}
		if s.bodyBytes.Add(int64(n)) > s.maxBodyBytes {
			return release, &requestError{http.StatusServiceUnavailable, "", "no room for the body", bodyMemory}
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

// bodyError returns why a body could not be read completely: it did not arrive in time, or the client disconnected.
func bodyError(err error, framing string) *requestError {
	if late := net.Error(nil); errors.As(err, &late) && late.Timeout() {
		return &requestError{http.StatusRequestTimeout, "", "the body did not come in time", bodySlow}
	}
	return &requestError{http.StatusBadRequest, framing, "the body broke off", bodyDisconnected}
}

// writeResponse writes a request's final response.
func (s *Server) writeResponse(w http.ResponseWriter, req *coordinator.Request, a coordinator.Response) {
	if s.closesConnections() { // perhaps only since the request arrived
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
	case coordinator.ClientDisconnected: // perhaps only its sending side is closed; net/http would respond 200
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
