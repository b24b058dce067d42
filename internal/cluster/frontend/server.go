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

// Times of an orderly stop, from SIGTERM.
const (
	// noticeTime is how long clients are still sent here: the platform asks every second and needs two misses.
	noticeTime = 2300 * time.Millisecond
	// closeMargin is kept before the platform's SIGKILL for ending what is still open.
	closeMargin = 700 * time.Millisecond
	// firstRequestTime is how long a client that has connected and sent nothing is waited for after noticeTime.
	firstRequestTime = 500 * time.Millisecond
	// defaultGrace stands for the time from SIGTERM to SIGKILL where it isn't known.
	defaultGrace = 6 * time.Second
)

// bodyTime is how long a body may take after its headers.
const bodyTime = 5 * time.Second

// readinessPath is where the platform asks.
const readinessPath = "/v1/readiness"

// Server serves clients and the platform's question for readiness, and stops in order.
type Server struct {
	service  *Service
	logger   log.Logger
	clock    clockwork.Clock
	grace    time.Duration
	stopping atomic.Bool

	requests    context.Context // of all requests; it ends when they must be answered at once
	endRequests context.CancelFunc

	clients *entrance

	mutex   sync.Mutex
	limits  Limits
	servers []*http.Server // of clients; the last one takes new connections
	open    *door
	asking  *http.Server
}

// NewServer returns a Server of service. grace is the time from SIGTERM to SIGKILL.
func NewServer(service *Service, grace time.Duration, logger log.Logger) *Server {
	if grace <= 0 {
		grace = defaultGrace
	}
	s := &Server{service: service, logger: logger, clock: service.Clock, grace: grace, clients: newEntrance()}
	s.requests, s.endRequests = context.WithCancel(context.Background())
	return s
}

// Run serves clients on the one listener and readiness on the other until ctx ends, then stops in order: it says that
// it isn't ready, serves on until nobody is sent here, and finishes what it has begun.
func (s *Server) Run(ctx context.Context, clients, readiness net.Listener) error {
	s.asking = &http.Server{Handler: http.HandlerFunc(s.serveReadiness), ReadTimeout: bodyTime,
		IdleTimeout: defaultIdleTimeout, ErrorLog: silent()}
	go s.asking.Serve(readiness)
	s.clients.start(clients)
	s.apply()
	s.follow(ctx)
	return s.stop()
}

// follow applies each new configuration's limits until ctx ends.
func (s *Server) follow(ctx context.Context) {
	for {
		changed := s.service.Views.next()
		s.apply()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// apply makes new connections be served under the limits in force.
func (s *Server) apply() {
	var limits Limits
	if view := s.service.Views.Current(); view != nil {
		limits = view.Limits
	}
	limits = limits.orDefaults()
	limits.MaxBodyBytes = 0 // checked for each request
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.open != nil && limits == s.limits {
		return
	}
	if s.open != nil {
		s.open.Close()
	}
	s.limits = limits
	s.open = s.clients.door()
	server := &http.Server{
		Handler:           s.service,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		ReadTimeout:       limits.HeaderTimeout + bodyTime,
		IdleTimeout:       limits.IdleTimeout,
		ErrorLog:          silent(),
		BaseContext:       func(net.Listener) context.Context { return s.requests },
		ConnState:         s.clients.changed,
	}
	s.servers = append(s.servers, server)
	go server.Serve(s.open)
}

// silent returns a logger for what clients do wrong, which is no news.
func silent() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

// serveReadiness answers the platform.
func (s *Server) serveReadiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != readinessPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if s.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Ready tells whether clients should be sent here.
func (s *Server) Ready() bool {
	return !s.stopping.Load() && s.service.Views.Current() != nil && s.service.Directory.Fresh(s.service.calm)
}

// stop ends serving in order. Each request that was read whole gets its answer: what is still in work shortly before the
// end is answered with what is known of it by then, as is what comes later.
func (s *Server) stop() error {
	level.Info(s.logger).Log("msg", "stopping: not ready from now on")
	defer s.endRequests()
	end := s.grace - closeMargin
	ctx, cancel := deadline.WithTimeout(context.Background(), s.clock, end)
	defer cancel()
	s.clock.AfterFunc(end-answerMargin, s.endRequests)
	noticed := s.clock.After(min(noticeTime, s.grace/2))
	s.stopping.Store(true)
	s.service.Drain()
	<-noticed
	s.clients.close()
	err := s.finish(ctx)
	s.asking.Close()
	level.Info(s.logger).Log("msg", "stopped", "cut", err != nil)
	return err
}

// finish ends connections as soon as no request is being read or answered on them, and cuts what is left when ctx ends.
func (s *Server) finish(ctx context.Context) error {
	unasked := s.clock.AfterFunc(firstRequestTime, s.clients.endUnasked)
	defer unasked.Stop()
	s.clients.end()
	defer s.closeServers()
	select {
	case <-s.clients.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// closeServers ends the servers of clients and their connections.
func (s *Server) closeServers() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, server := range s.servers {
		_ = server.Close() // its listener is a door, which closes without an error
	}
}
