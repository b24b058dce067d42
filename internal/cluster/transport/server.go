package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// acceptPause is how long a server that is out of descriptors waits before it takes connections again.
const acceptPause = 50 * time.Millisecond

// Server answers the calls of other processes. Its handlers are registered before Serve.
type Server struct {
	options  ServerOptions
	handlers map[string]handler // by name of the request's type
	ctx      context.Context    // of handlers
	cancel   context.CancelFunc
	running  atomic.Int64 // goroutines of Handle

	mutex     sync.Mutex
	sessions  map[*session]struct{}
	listeners map[net.Listener]struct{}
	closed    bool
	waiting   sync.WaitGroup // sessions
}

// NewServer returns a server without handlers.
func NewServer(options ServerOptions) *Server {
	s := &Server{
		options:   options.complete(),
		handlers:  map[string]handler{},
		sessions:  map[*session]struct{}{},
		listeners: map[net.Listener]struct{}{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Serve takes connections until ctx ends or the server is closed. Then it ends the listener and the connections, as
// Close does, and returns nil.
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
			s.add(conn)
		case s.isClosed():
			s.waiting.Wait()
			return nil
		case !isShortage(err):
			return errors.Wrap(err, "taking connections")
		default:
			s.options.Clock.Sleep(acceptPause)
		}
	}
}

// Close ends the listeners and, once the answers that are there are written, the connections. It waits for that, which
// takes a fraction of a second at most; it does not wait for handlers.
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
		each.out.finish()
	}
	farewell := time.AfterFunc(2*farewellLimit, func() {
		for _, each := range sessions {
			each.out.close()
		}
	})
	defer farewell.Stop()
	s.waiting.Wait()
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

// add starts a session, unless there are too many.
func (s *Server) add(conn net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed || len(s.sessions) >= s.options.MaxConnections {
		_ = conn.Close()
		return
	}
	opened := newSession(s, conn)
	s.sessions[opened] = struct{}{}
	s.waiting.Add(1)
	go opened.run()
}

// remove takes note that a session is over.
func (s *Server) remove(over *session) {
	s.mutex.Lock()
	delete(s.sessions, over)
	s.mutex.Unlock()
	s.waiting.Done()
}
