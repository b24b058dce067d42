package frontend

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// acceptRetryInterval is waited after a connection could not be accepted, as when all file descriptors are in use.
const acceptRetryInterval = 50 * time.Millisecond

// acceptor accepts clients' connections and passes each to the server whose serverListener is open, so that a server with
// other limits can take over while the listener stays open. It knows the open connections, and ends them at the shutdown.
type acceptor struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
	running     sync.WaitGroup

	mutex    sync.Mutex
	listener net.Listener // nil before start
	open     map[*clientConnection]struct{}
	ending   bool          // connections end after their present request
	empty    chan struct{} // closed once ending is true and no connection is open
}

func newAcceptor() *acceptor {
	return &acceptor{
		connections: make(chan net.Conn),
		closed:      make(chan struct{}),
		open:        map[*clientConnection]struct{}{},
		empty:       make(chan struct{}),
	}
}

// start begins to accept on listener. It is called once. The acceptor must be closed.
func (a *acceptor) start(listener net.Listener) {
	a.mutex.Lock()
	a.listener = listener
	a.mutex.Unlock()
	a.running.Go(func() { a.run(listener) })
}

// run accepts until the acceptor is closed.
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

// deliver passes a connection to the server whose listener is open.
func (a *acceptor) deliver(connection *clientConnection) {
	select {
	case a.connections <- connection:
	case <-a.closed:
		_ = connection.Close() // nothing was read or written on it
	}
}

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

// onConnState is the http.Server.ConnState of the servers.
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

func (a *acceptor) isEnding() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.ending
}

// endConnections ends each connection between two requests: at once if none is being read or answered, otherwise after that
// one. Connections on which the client has never sent anything are left open until endUnused. The acceptor must be closed.
func (a *acceptor) endConnections() {
	for _, connection := range a.beginEnding() {
		connection.endIfIdle(false)
	}
}

// endUnused also ends the connections on which the client has never sent anything.
func (a *acceptor) endUnused() {
	for _, connection := range a.beginEnding() {
		connection.endIfIdle(true)
	}
}

// beginEnding returns the open connections. Those that become idle from now on end by themselves.
func (a *acceptor) beginEnding() []*clientConnection {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.ending {
		a.ending = true
		a.checkEmpty()
	}
	return slices.Collect(maps.Keys(a.open))
}

// checkEmpty closes empty if that is due. The mutex must be locked.
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

// close ends accepting, and waits for it. Open connections stay open.
func (a *acceptor) close() {
	a.once.Do(func() {
		close(a.closed)
		_ = a.currentListener().Close() // no further connection is wanted from it, whatever it says
	})
	a.running.Wait()
}

func (a *acceptor) currentListener() net.Listener {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.listener
}

// serverListener is the net.Listener of one server: it accepts the acceptor's connections while it is open.
type serverListener struct {
	acceptor *acceptor
	closed   chan struct{}
	once     sync.Once
}

func (a *acceptor) newListener() *serverListener {
	return &serverListener{acceptor: a, closed: make(chan struct{})}
}

// Accept returns the next connection.
func (l *serverListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case connection := <-l.acceptor.connections:
		return connection, nil
	}
}

// Close makes Accept return; the acceptor stays open. It never fails.
func (l *serverListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the acceptor's address.
func (l *serverListener) Addr() net.Addr { return l.acceptor.currentListener().Addr() }
