package frontend

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/jonboulle/clockwork"

	"ospreypond/internal/cluster/deadline"
)

// Times of a shutdown, from SIGTERM.
const (
	// readinessDelay is how long clients are still sent here: the platform asks every second and needs two misses.
	readinessDelay = 2300 * time.Millisecond
	// killMargin is reserved before the platform's SIGKILL for closing what is still open.
	killMargin = 700 * time.Millisecond
	// firstRequestTimeout is how long a client that has connected and sent nothing is waited for after readinessDelay.
	firstRequestTimeout = 500 * time.Millisecond
	// defaultGrace replaces a time from SIGTERM to SIGKILL that isn't known.
	defaultGrace = 6 * time.Second
)

// bodyTimeout bounds the time that a body takes after its headers.
const bodyTimeout = 5 * time.Second

// readinessPath is where the platform asks whether to send clients here.
const readinessPath = "/v1/readiness"

// Server serves clients and the platform's readiness probe, and shuts down so that each request that was read completely
// gets a response.
type Server struct {
	service  *Service
	logger   log.Logger
	clock    clockwork.Clock
	grace    time.Duration
	stopping atomic.Bool

	requests    context.Context // parent of all requests'; it ends when they must be answered at once
	endRequests context.CancelFunc

	acceptor        *acceptor
	readinessServer *http.Server
	serving         sync.WaitGroup // of readinessServer and servers

	mutex    sync.Mutex
	limits   Limits         // of the last server
	servers  []*http.Server // of clients; the last one gets new connections
	listener *serverListener
}

// NewServer returns a Server of service. grace is the time from SIGTERM to SIGKILL; 0: 6 s.
func NewServer(service *Service, grace time.Duration, logger log.Logger) *Server {
	if grace <= 0 {
		grace = defaultGrace
	}
	return &Server{service: service, logger: logger, clock: service.Clock, grace: grace, acceptor: newAcceptor()}
}

// Run serves clients and readiness on their listeners until ctx ends. Then it reports that it isn't ready, serves until the
// platform sends nobody here any more, finishes the requests it has read, and returns. The error is that of the context of
// the shutdown if connections had to be aborted. Run is called once.
func (s *Server) Run(ctx context.Context, clients, readiness net.Listener) error {
	s.requests, s.endRequests = context.WithCancel(context.WithoutCancel(ctx))
	s.readinessServer = &http.Server{
		Handler:     http.HandlerFunc(s.serveReadiness),
		ReadTimeout: bodyTimeout,
		IdleTimeout: defaultIdleTimeout,
		ErrorLog:    discardLogger(),
	}
	s.start(s.readinessServer, readiness)
	s.acceptor.start(clients)
	s.applyLimits()
	s.followLimits(ctx)
	return s.shutdown(ctx)
}

// start runs a server on a listener until the server is closed.
func (s *Server) start(server *http.Server, listener net.Listener) {
	s.serving.Go(func() {
		// It returns at the shutdown. If readiness is no longer served before, the platform sends clients elsewhere; a
		// serverListener doesn't fail.
		_ = server.Serve(listener)
	})
}

// followLimits applies each new configuration's limits until ctx ends.
func (s *Server) followLimits(ctx context.Context) {
	for {
		changed := s.service.Views.nextChange()
		s.applyLimits()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// applyLimits starts a server for new connections if the limits in force have changed. Open connections stay with their
// servers.
func (s *Server) applyLimits() {
	var limits Limits
	if view := s.service.Views.Current(); view != nil {
		limits = view.Limits
	}
	limits = limits.orDefaults()
	limits.MaxBodyBytes = 0 // checked at each request
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.listener != nil {
		if limits == s.limits {
			return
		}
		_ = s.listener.Close() // a serverListener's Close never fails
	}
	s.limits = limits
	s.listener = s.acceptor.newListener()
	server := &http.Server{
		Handler:           s.service,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		ReadTimeout:       limits.HeaderTimeout + bodyTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ErrorLog:          discardLogger(),
		BaseContext:       func(net.Listener) context.Context { return s.requests },
		ConnState:         s.acceptor.onConnState,
	}
	s.servers = append(s.servers, server)
	s.start(server, s.listener)
}

// discardLogger returns a logger for the faults of clients, which no operator has to know of.
func discardLogger() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

// serveReadiness responds to the platform: 200 if clients should be sent here, 503 if not.
func (s *Server) serveReadiness(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != readinessPath:
		w.WriteHeader(http.StatusNotFound)
	case s.Ready():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Ready reports whether clients should be sent here.
func (s *Server) Ready() bool {
	return !s.stopping.Load() && s.service.Views.Current() != nil && s.service.Directory.Fresh(s.service.maxAgeNormal)
}

// shutdown ends serving after ctx has ended. Each request that was read completely gets its response: one that is still
// being handled shortly before the end is answered with what is known of it by then, and so is one that comes later.
func (s *Server) shutdown(ctx context.Context) error {
	_ = level.Info(s.logger).Log("msg", "stopping: not ready from now on")
	defer s.endRequests()
	end := s.grace - killMargin
	ctx, cancel := deadline.WithTimeout(context.WithoutCancel(ctx), s.clock, end)
	defer cancel()
	s.clock.AfterFunc(end-responseMargin, s.endRequests)
	noticed := s.clock.After(min(readinessDelay, s.grace/2))
	s.stopping.Store(true)
	s.service.Drain()
	<-noticed
	s.acceptor.close()
	err := s.drainConnections(ctx)
	_ = s.readinessServer.Close() // the process ends in any case
	s.serving.Wait()
	_ = level.Info(s.logger).Log("msg", "stopped", "cut", err != nil)
	return err
}

// drainConnections ends each connection as soon as no request is being read or answered on it, and closes those that are
// left when ctx ends.
func (s *Server) drainConnections(ctx context.Context) error {
	unused := s.clock.AfterFunc(firstRequestTimeout, s.acceptor.endUnused)
	defer unused.Stop()
	s.acceptor.endConnections()
	defer s.closeServers()
	select {
	case <-s.acceptor.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// closeServers closes the servers of clients and their connections.
func (s *Server) closeServers() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, server := range s.servers {
		_ = server.Close() // its listener is a serverListener, whose Close never fails
	}
}
