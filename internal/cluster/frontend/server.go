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

// Times of a shutdown, which begins with SIGTERM.
const (
	// readinessDelay is how long after SIGTERM the platform may still send clients to this process. The platform
	// probes readiness every second, and stops sending clients after two probes that fail.
	readinessDelay = 2300 * time.Millisecond
	// killMargin is the time before the platform's SIGKILL that is reserved for closing connections that are still open.
	killMargin = 700 * time.Millisecond
	// firstRequestTimeout bounds the wait for the first request on a connection whose client has sent no data yet. It begins
	// after readinessDelay.
	firstRequestTimeout = 500 * time.Millisecond
	// defaultGrace is the time from SIGTERM to SIGKILL if the settings don't say it.
	defaultGrace = 6 * time.Second
)

// bodyTimeout bounds the time for the arrival of a request's body, in addition to the time for its head. It also
// bounds reading a readiness probe.
const bodyTimeout = 5 * time.Second

// readinessPath is the path of the platform's readiness probe.
const readinessPath = "/v1/readiness"

// Server serves clients and the platform's readiness probe. At a shutdown it gives each request that was read completely a
// response.
type Server struct {
	service  *Service
	logger   log.Logger
	clock    clockwork.Clock
	grace    time.Duration // time from SIGTERM to SIGKILL
	stopping atomic.Bool   // the shutdown has begun

	requests    context.Context // parent of the contexts of all requests; it ends when each must be answered without delay
	endRequests context.CancelFunc

	acceptor        *acceptor
	readinessServer *http.Server
	serving         sync.WaitGroup // goroutines of readinessServer and servers

	mutex    sync.Mutex
	limits   Limits          // limits of the last of servers
	servers  []*http.Server  // servers of clients; the last one gets new connections
	listener *serverListener // listener of the last of servers
}

// NewServer returns a Server of service. grace is the time from SIGTERM to SIGKILL; 0 stands for defaultGrace.
func NewServer(service *Service, grace time.Duration, logger log.Logger) *Server {
	if grace <= 0 {
		grace = defaultGrace
	}
	return &Server{service: service, logger: logger, clock: service.Clock, grace: grace, acceptor: newAcceptor()}
}

// Run serves clients and readiness probes on their listeners until ctx ends. Then it shuts down:
//
//  1. It answers readiness probes with 503, and serves clients until the platform sends no more of them.
//  2. It closes the clients' listener, and answers the requests that it has read.
//  3. killMargin before SIGKILL, it closes the connections that are still open, and returns an error if there were any.
//
// Run must be called once.
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

// start runs a server on a listener, in a goroutine, until the server is closed.
func (s *Server) start(server *http.Server, listener net.Listener) {
	s.serving.Go(func() {
		// Serve returns at the shutdown. If it fails before that for readiness probes, the platform sends clients to other
		// frontends. It doesn't fail for clients, as Accept of a serverListener fails only after Close.
		_ = server.Serve(listener)
	})
}

// followLimits applies the limits of each new version of the configuration, until ctx ends.
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

// applyLimits starts a server for new connections if the limits of the current view differ from those of the last server.
// Open connections stay with the servers that have them.
func (s *Server) applyLimits() {
	var limits Limits
	if view := s.service.Views.Current(); view != nil {
		limits = view.Limits
	}
	limits = limits.orDefaults()
	limits.MaxBodyBytes = 0 // Service checks it at each request, so a change needs no other server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.listener != nil {
		if limits == s.limits {
			return
		}
		_ = s.listener.Close() // Close of a serverListener returns no error
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

// discardLogger returns a logger that drops the log of net/http, which reports only faults of clients. They need no action
// of an operator.
func discardLogger() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

// serveReadiness responds to a readiness probe: 200 if the platform should send clients to this process, otherwise 503.
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

// Ready reports whether the platform should send clients to this process: it isn't shutting down, and has a configuration
// that was confirmed at most maxAgeNormal ago.
func (s *Server) Ready() bool {
	return !s.stopping.Load() && s.service.Views.Current() != nil && s.service.Directory.Fresh(s.service.maxAgeNormal)
}

// shutdown ends serving after ctx has ended; see Run. Each request that was read completely gets a response. responseMargin
// before the end, the contexts of all requests end, so that a request that is still being handled, or that arrives later,
// gets its response without further waiting.
func (s *Server) shutdown(ctx context.Context) error {
	_ = level.Info(s.logger).Log("msg", "stopping: not ready from now on")
	defer s.endRequests()
	end := s.grace - killMargin
	ctx, cancel := deadline.WithTimeout(context.WithoutCancel(ctx), s.clock, end)
	defer cancel()
	s.clock.AfterFunc(end-responseMargin, s.endRequests)
	clientsRedirected := s.clock.After(min(readinessDelay, s.grace/2))
	s.stopping.Store(true)
	s.service.Drain()
	<-clientsRedirected
	s.acceptor.close()
	err := s.drainConnections(ctx)
	_ = s.readinessServer.Close() // an error of its listener doesn't matter: the process is about to end
	s.serving.Wait()
	_ = level.Info(s.logger).Log("msg", "stopped", "cut", err != nil)
	return err
}

// drainConnections ends each connection as soon as no request is being read or answered on it, and waits until none is open.
// If ctx ends before that, it closes the connections that are left and returns the error of ctx.
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

// closeServers closes the servers of clients, and the connections that are still open.
func (s *Server) closeServers() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, server := range s.servers {
		_ = server.Close() // its error would be the listener's, and Close of a serverListener returns none
	}
}
