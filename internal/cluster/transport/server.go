package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// acceptBackoff is how long a server waits after an accept that failed for lack of a resource, such as file descriptors.
// Without it the loop would run without pause until one is free.
const acceptBackoff = 50 * time.Millisecond

// Server receives calls and one-way messages of other processes and passes them to its handlers.
type Server struct {
	options         ServerOptions
	handlers        map[string]handler // by name of the request's or message's type
	ctx             context.Context    // parent of the handlers' contexts; ends when the server is closed
	cancel          context.CancelFunc // ends ctx
	runningHandlers atomic.Int64       // goroutines that run handlers registered by Handle

	mutex        sync.Mutex
	sessions     map[*session]struct{}
	listeners    map[net.Listener]struct{}
	closed       bool
	sessionGroup sync.WaitGroup // counts the sessions
}

// NewServer returns a server. The caller must register all handlers before calling Serve.
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

// Serve accepts connections until ctx ends or the server is closed. The end of ctx closes the server, as Close does. Serve
// then waits until all connections are closed, and returns nil. It returns an error if accepting fails for another reason
// than a temporary lack of resources.
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
			return errors.Wrap(err, "accept a connection")
		default:
			s.options.Clock.Sleep(acceptBackoff)
		}
	}
}

// Close closes the listeners, and each connection once the responses queued on it are written. It waits until all
// connections are closed. After twice closeTimeout it closes the remaining connections even if responses are still
// queued. It ends the contexts of running handlers but does not wait for them; their later answers are dropped.
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

// addListener adds a listener that Close has to close. It reports whether the server is still open.
func (s *Server) addListener(listener net.Listener) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	s.listeners[listener] = struct{}{}
	return true
}

// addSession starts a session for conn, or closes conn if the server is closed or has MaxConnections sessions.
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

// removeSession records that a session's connection is closed and its last write has returned.
func (s *Server) removeSession(over *session) {
	s.mutex.Lock()
	delete(s.sessions, over)
	s.mutex.Unlock()
	s.sessionGroup.Done()
}
