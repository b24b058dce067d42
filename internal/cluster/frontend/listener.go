package frontend

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// acceptPause is waited after a connection can't be accepted, as when all descriptors are in use.
const acceptPause = 50 * time.Millisecond

// listen opens a listener on address. Connections get no keep-alive probes: idle ones are closed by time.
func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	return config.Listen(ctx, "tcp", address)
}

// entrance accepts connections and hands each to whichever door is open, so that servers with other limits can take
// over without the listener being closed.
type entrance struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once

	mutex    sync.Mutex
	listener net.Listener // nil before run
	open     map[*clientConnection]struct{}
	ending   bool          // connections end with their present request
	empty    chan struct{} // closed once ending is true and no connection is open
}

func newEntrance() *entrance {
	return &entrance{
		connections: make(chan net.Conn),
		closed:      make(chan struct{}),
		open:        map[*clientConnection]struct{}{},
		empty:       make(chan struct{}),
	}
}

// run accepts until the entrance is closed.
func (e *entrance) run(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err == nil {
			e.hand(connection)
			continue
		}
		select {
		case <-e.closed:
			return
		case <-time.After(acceptPause):
		}
	}
}

func (e *entrance) hand(accepted net.Conn) {
	connection := e.add(accepted)
	select {
	case e.connections <- connection:
	case <-e.closed:
		connection.Close()
	}
}

func (e *entrance) add(accepted net.Conn) *clientConnection {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	connection := &clientConnection{Conn: accepted, entrance: e}
	e.open[connection] = struct{}{}
	return connection
}

// remove notes that a connection is closed.
func (e *entrance) remove(closed *clientConnection) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.open, closed)
	e.checkEmpty()
}

// changed is told by a server what its connections do.
func (e *entrance) changed(changed net.Conn, state http.ConnState) {
	connection, ok := changed.(*clientConnection)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		connection.begin()
	case http.StateIdle:
		connection.rest(e.isEnding())
	}
}

func (e *entrance) isEnding() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.ending
}

// end ends each connection between two requests: at once where none is being read or answered, else after that one. The
// entrance must be closed. Connections on which the client has never sent anything are left until endUnasked.
func (e *entrance) end() {
	for _, connection := range e.beginEnding() {
		connection.endIdle(false)
	}
}

// endUnasked ends the connections on which the client has never sent anything.
func (e *entrance) endUnasked() {
	for _, connection := range e.beginEnding() {
		connection.endIdle(true)
	}
}

// beginEnding returns the open connections; others that come to rest from now on end by themselves.
func (e *entrance) beginEnding() []*clientConnection {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.ending {
		e.ending = true
		e.checkEmpty()
	}
	return slices.Collect(maps.Keys(e.open))
}

// checkEmpty closes empty if it is time. The mutex is held.
func (e *entrance) checkEmpty() {
	if !e.ending || len(e.open) > 0 {
		return
	}
	select {
	case <-e.empty:
	default:
		close(e.empty)
	}
}

// start begins to accept on listener.
func (e *entrance) start(listener net.Listener) {
	e.mutex.Lock()
	e.listener = listener
	e.mutex.Unlock()
	go e.run(listener)
}

// close ends accepting.
func (e *entrance) close() {
	e.once.Do(func() {
		close(e.closed)
		e.present().Close()
	})
}

func (e *entrance) present() net.Listener {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.listener
}

// door is a listener of one server.
type door struct {
	entrance *entrance
	closed   chan struct{}
	once     sync.Once
}

func (e *entrance) door() *door { return &door{entrance: e, closed: make(chan struct{})} }

// Accept returns the next connection.
func (d *door) Accept() (net.Conn, error) {
	select {
	case <-d.closed:
		return nil, net.ErrClosed
	case connection := <-d.entrance.connections:
		return connection, nil
	}
}

// Close makes Accept return; the entrance stays open.
func (d *door) Close() error {
	d.once.Do(func() { close(d.closed) })
	return nil
}

// Addr returns the entrance's address.
func (d *door) Addr() net.Addr { return d.entrance.present().Addr() }
