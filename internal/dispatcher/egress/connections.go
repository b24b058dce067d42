package egress

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// idleTimeoutFraction is the fraction of the runner's own limit for which an idle connection is kept. A runner
	// closes at that limit, and a request written at that moment ends as a reset.
	idleTimeoutFraction = 0.85
	// maxIdlePerTarget is more than one target's part of the attempts at once: a connection that is closed only
	// because too many are idle costs the runner a handshake when it is opened again.
	maxIdlePerTarget = 256
)

// transport returns the target's own transport, which it makes at the first call.
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
			IdleConnTimeout:        e.tuned.Load().idleTimeout,
			MaxResponseHeaderBytes: 64 << 10,
			Protocols:              new(http.Protocols),
		}
		tr.Protocols.SetHTTP1(true)
		e.targets[target] = tr
	}
	return tr
}

// dial opens a connection if fewer than maxConns are open. Guards against running out of descriptors, which would
// shut out clients too: first idle connections are closed, then dials fail.
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
	c, err := e.tuned.Load().dialer.DialContext(ctx, network, addr)
	if err != nil {
		e.openConns.Add(-1)
		return nil, err
	}
	return &conn{Conn: c, onClose: func() { e.openConns.Add(-1) }}, nil
}

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

// Prune drops the state of targets that are not in the route table any more.
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
