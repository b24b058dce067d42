package egress

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// idleTimeoutFraction is how long an idle connection is kept, as a fraction of the setting ConnIdleTimeout, at which
	// runners close idle connections. A request written at the moment of the runner's close would end as a reset.
	idleTimeoutFraction = 0.85
	// maxIdlePerTarget is how many idle connections are kept to one target. It is more than the number of attempts that
	// one target gets at the same time. If it were less, connections would be closed only because of their number, and
	// opening them again costs the runner a handshake each.
	maxIdlePerTarget = 256
)

// transport returns the target's transport. The first call for a target creates it.
func (e *Egress) transport(target string) *http.Transport {
	e.mu.Lock()
	defer e.mu.Unlock()
	tr := e.targets[target]
	if tr == nil {
		tr = &http.Transport{
			DialContext:            e.dial,
			Proxy:                  nil,
			DisableCompression:     true,
			MaxIdleConnsPerHost:    maxIdlePerTarget,
			IdleConnTimeout:        e.active.Load().idleTimeout,
			MaxResponseHeaderBytes: 64 << 10,
			Protocols:              new(http.Protocols),
		}
		tr.Protocols.SetHTTP1(true)
		e.targets[target] = tr
	}
	return tr
}

// dial opens a connection if fewer than maxConns are open. Otherwise it first closes the idle connections of all targets,
// and if that doesn't help, it fails with errNoSockets. Without this limit the process could run out of file descriptors,
// and could then accept no clients either.
func (e *Egress) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if e.openConns.Add(1) > e.maxConns {
		e.closeAllIdle()
		if e.openConns.Load() > e.maxConns {
			e.openConns.Add(-1)
			if e.warnings.allow(time.Now()) {
				e.log.WithField("budget", e.maxConns).Warn("out of sockets for egress targets")
			}
			return nil, errNoSockets
		}
	}
	c, err := e.active.Load().dialer.DialContext(ctx, network, addr)
	if err != nil {
		e.openConns.Add(-1)
		return nil, err
	}
	return &conn{Conn: c, onClose: func() { e.openConns.Add(-1) }}, nil
}

// closeAllIdle closes the idle connections to all targets.
func (e *Egress) closeAllIdle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, tr := range e.targets {
		tr.CloseIdleConnections()
	}
}

// CloseIdle closes the idle connections to a target.
func (e *Egress) CloseIdle(target string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if tr := e.targets[target]; tr != nil {
		tr.CloseIdleConnections()
	}
}

// Prune removes the transports of targets that are no longer in the route table, and closes their idle connections.
func (e *Egress) Prune() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for target, tr := range e.targets {
		if _, ok := e.table.Lookup(target); !ok {
			tr.CloseIdleConnections()
			delete(e.targets, target)
		}
	}
}
