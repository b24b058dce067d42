package frontend

import (
	"context"
	"net"
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
	listener    net.Listener
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func newEntrance(listener net.Listener) *entrance {
	return &entrance{listener: listener, connections: make(chan net.Conn), closed: make(chan struct{})}
}

// run accepts until the entrance is closed.
func (e *entrance) run() {
	for {
		connection, err := e.listener.Accept()
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

func (e *entrance) hand(connection net.Conn) {
	select {
	case e.connections <- connection:
	case <-e.closed:
		connection.Close()
	}
}

// close ends accepting.
func (e *entrance) close() {
	e.once.Do(func() {
		close(e.closed)
		e.listener.Close()
	})
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
func (d *door) Addr() net.Addr { return d.entrance.listener.Addr() }
