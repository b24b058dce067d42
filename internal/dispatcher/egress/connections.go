package egress

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// idleShare is the part of the runner's own limit for which an idle connection is kept. A runner closes at
	// that limit, and what is written as it does ends as a reset.
	idleShare = 0.85
	// idlePerTarget is more than one target's share of the attempts at once: a connection closed only because too
	// many are idle costs the runner a handshake when it is opened again.
	idlePerTarget = 256
)

// transport returns the target's own transport.
func (e *Egress) transport(target string) *http.Transport {
	e.mu.Lock()
	defer e.mu.Unlock()
	tr := e.targets[target]
	if tr == nil {
		tr = &http.Transport{
			DialContext:            e.dial,
			Proxy:                  nil,
			DisableCompression:     true,
			MaxIdleConnsPerHost:    idlePerTarget,
			IdleConnTimeout:        e.tuned.Load().idle,
			MaxResponseHeaderBytes: 64 << 10,
			Protocols:              new(http.Protocols),
		}
		tr.Protocols.SetHTTP1(true)
		e.targets[target] = tr
	}
	return tr
}

// dial opens a connection within the socket budget. Guards against running out of descriptors, which would
// also keep clients out: idle connections are closed first, then dials fail.
func (e *Egress) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if e.open.Add(1) > e.budget {
		e.closeAllIdle()
		if e.open.Load() > e.budget {
			e.open.Add(-1)
			if e.warned.due(time.Now()) {
				e.log.WithField("budget", e.budget).Warn("out of sockets for egress targets")
			}
			return nil, errNoSockets
		}
	}
	c, err := e.tuned.Load().dialer.DialContext(ctx, network, addr)
	if err != nil {
		e.open.Add(-1)
		return nil, err
	}
	return &conn{Conn: c, closed: func() { e.open.Add(-1) }}, nil
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

// Prune drops the state of targets that are gone from the route table.
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
