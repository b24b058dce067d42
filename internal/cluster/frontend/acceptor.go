package frontend

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// acceptRetryInterval is the pause after an error of Accept, as when all file descriptors are in use.
const acceptRetryInterval = 50 * time.Millisecond

// acceptor accepts clients' connections and passes each to the server that has an open serverListener. The limits of an
// http.Server can't change while it serves. New limits are therefore applied by another server, which gets the new
// connections while the clients' listener stays open. The acceptor also knows the open connections, and ends them at the
// shutdown. Several goroutines may use it at once.
type acceptor struct {
	connections chan net.Conn // accepted connections, on their way to a server
	closed      chan struct{} // closed by close
	once        sync.Once     // for close
	running     sync.WaitGroup

	mutex    sync.Mutex
	listener net.Listener // nil before start
	open     map[*clientConnection]struct{}
	ending   bool          // each connection ends after the request that is being read or answered on it
	empty    chan struct{} // closed when ending is true and no connection is open
}

// newAcceptor returns an acceptor that has not started.
func newAcceptor() *acceptor {
	return &acceptor{
		connections: make(chan net.Conn),
		closed:      make(chan struct{}),
		open:        map[*clientConnection]struct{}{},
		empty:       make(chan struct{}),
	}
}

// start begins to accept connections on listener. It must be called once, and close after it.
func (a *acceptor) start(listener net.Listener) {
	a.mutex.Lock()
	a.listener = listener
	a.mutex.Unlock()
	a.running.Go(func() { a.run(listener) })
}

// run accepts connections until the acceptor is closed.
func (a *acceptor) run(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err == nil {
			a.deliver(a.add(conn))
			continue
		}
		select {
		case <-a.closed:
			return
		case <-time.After(acceptRetryInterval):
		}
	}
}

// deliver passes a connection to the server that has an open listener.
func (a *acceptor) deliver(connection *clientConnection) {
	select {
	case a.connections <- connection:
	case <-a.closed:
		_ = connection.Close() // an error has no effect: no data was read or written on it
	}
}

// add records an open connection.
func (a *acceptor) add(conn net.Conn) *clientConnection {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	connection := &clientConnection{Conn: conn, acceptor: a}
	a.open[connection] = struct{}{}
	return connection
}

// remove records that a connection is closed.
func (a *acceptor) remove(connection *clientConnection) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.open, connection)
	a.checkEmpty()
}

// onConnState is the http.Server.ConnState of the servers. It tells a connection when a request was read and when it was
// answered.
func (a *acceptor) onConnState(conn net.Conn, state http.ConnState) {
	connection, ok := conn.(*clientConnection)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		connection.begin()
	case http.StateIdle:
		connection.markAnswered(a.isEnding())
	}
}

// isEnding reports whether connections are being ended.
func (a *acceptor) isEnding() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.ending
}

// endConnections ends each connection between two requests: at once if no request is being read or answered on it, and
// otherwise after that request. Connections on which the client has never sent anything stay open until endUnused, as their
// first request may be on the network. The acceptor must be closed, so that there are no new connections.
func (a *acceptor) endConnections() {
	for _, connection := range a.beginEnding() {
		connection.endIfIdle(false)
	}
}

// endUnused ends connections as endConnections does, and also those on which the client has never sent anything.
func (a *acceptor) endUnused() {
	for _, connection := range a.beginEnding() {
		connection.endIfIdle(true)
	}
}

// beginEnding returns the open connections. From now on, markAnswered ends a connection once its request was answered.
func (a *acceptor) beginEnding() []*clientConnection {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.ending {
		a.ending = true
		a.checkEmpty()
	}
	return slices.Collect(maps.Keys(a.open))
}

// checkEmpty closes empty if ending is true and no connection is open. The mutex must be locked.
func (a *acceptor) checkEmpty() {
	if !a.ending || len(a.open) > 0 {
		return
	}
	select {
	case <-a.empty:
	default:
		close(a.empty)
	}
}

// close closes the listener and waits until the acceptor accepts no more connections. Open connections stay open.
func (a *acceptor) close() {
	a.once.Do(func() {
		close(a.closed)
		_ = a.currentListener().Close() // an error doesn't matter: run ends at the next error of Accept
	})
	a.running.Wait()
}

// currentListener returns the clients' listener, or nil before start.
func (a *acceptor) currentListener() net.Listener {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.listener
}

// serverListener is the net.Listener of one server. Its Accept returns connections that the acceptor has accepted, until the
// serverListener is closed.
type serverListener struct {
	acceptor *acceptor
	closed   chan struct{} // closed by Close
	once     sync.Once     // for Close
}

// newListener returns an open serverListener.
func (a *acceptor) newListener() *serverListener {
	return &serverListener{acceptor: a, closed: make(chan struct{})}
}

// Accept waits for the next connection and returns it. After Close it returns net.ErrClosed.
func (l *serverListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case connection := <-l.acceptor.connections:
		return connection, nil
	}
}

// Close makes Accept fail. The acceptor stays open. Close returns nil.
func (l *serverListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address of the clients' listener.
func (l *serverListener) Addr() net.Addr { return l.acceptor.currentListener().Addr() }
