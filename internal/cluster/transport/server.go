package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// acceptBackoff is how long a server that is out of descriptors waits before it accepts connections again.
const acceptBackoff = 50 * time.Millisecond

// Server answers the calls of other processes.
type Server struct {
	options         ServerOptions
	handlers        map[string]handler // by name of the request's type
	ctx             context.Context    // of handlers
	cancel          context.CancelFunc
	runningHandlers atomic.Int64 // goroutines of Handle

	mutex        sync.Mutex
	sessions     map[*session]struct{}
	listeners    map[net.Listener]struct{}
	closed       bool
	sessionGroup sync.WaitGroup // sessions
}

// NewServer returns a server. Its handlers must be registered before Serve.
func NewServer(options ServerOptions) *Server {
	s := &Server{
		options:   options.withDefaults(),
		handlers:  map[string]handler{},
		sessions:  map[*session]struct{}{},
		listeners: map[net.Listener]struct{}{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Serve accepts connections until ctx ends or the server is closed. Then it closes the listener and the connections,
// as Close does, and returns nil. Any other end is an error.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	if !s.addListener(listener) {
		_ = listener.Close()
		return nil
	}
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			s.addSession(conn)
		case s.isClosed():
			s.sessionGroup.Wait()
			return nil
		case !isResourceShortage(err):
			return errors.Wrap(err, "taking connections")
		default:
			s.options.Clock.Sleep(acceptBackoff)
		}
	}
}

// Close closes the listeners and, once the responses that are there are written, the connections. It waits for that,
// twice closeTimeout at most. It ends the contexts of handlers but does not wait for them.
func (s *Server) Close() {
	s.mutex.Lock()
	s.closed = true
	listeners, sessions := s.listeners, make([]*session, 0, len(s.sessions))
	s.listeners = map[net.Listener]struct{}{}
	for each := range s.sessions {
		sessions = append(sessions, each)
	}
	s.mutex.Unlock()
	s.cancel()
	for listener := range listeners {
		_ = listener.Close()
	}
	for _, each := range sessions {
		each.out.closeAfterFlush()
	}
	forced := time.AfterFunc(2*closeTimeout, func() {
		for _, each := range sessions {
			each.out.close()
		}
	})
	defer forced.Stop()
	s.sessionGroup.Wait()
}

func (s *Server) isClosed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closed
}

func (s *Server) addListener(listener net.Listener) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	s.listeners[listener] = struct{}{}
	return true
}

// addSession starts a session, unless there are too many.
func (s *Server) addSession(conn net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed || len(s.sessions) >= s.options.MaxConnections {
		_ = conn.Close()
		return
	}
	opened := newSession(s, conn)
	s.sessions[opened] = struct{}{}
	s.sessionGroup.Add(1)
	go opened.run()
}

// removeSession records that a session has ended.
func (s *Server) removeSession(over *session) {
	s.mutex.Lock()
	delete(s.sessions, over)
	s.mutex.Unlock()
	s.sessionGroup.Done()
}
