package ingress

import (
	"net"
	"sync"
)

// limited is a listener that holds no more connections at once than it has room for.
type limited struct {
	net.Listener
	room chan struct{}
}

func (l *limited) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.room <- struct{}{}
	return &limitedConn{Conn: c, leave: func() { <-l.room }}, nil
}

type limitedConn struct {
	net.Conn
	once  sync.Once
	leave func()
}

func (c *limitedConn) Close() error {
	c.once.Do(c.leave)
	return c.Conn.Close()
}
