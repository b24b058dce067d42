// Package egress sends jobs (as attempts) and probes to the runners over HTTP/1.1 and returns how each ended. Which
// runner gets a job, and whether a job is tried again, is decided elsewhere.
//
// Two invariants hold. policy.NeverRan is true of an attempt's outcome only if the request's last byte was not written
// to a connection, or the runner said that it did not run the request. And each call writes at most one complete request:
// a request that was written completely is never resent.
package egress

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ospreypond/internal/dispatcher/config"
	"ospreypond/internal/dispatcher/routetable"
)

var (
	errNotOpen   = errors.New("the target is not open for new requests in the route table")
	errNoSockets = errors.New("out of sockets for egress targets")
)

// Egress makes attempts and probes. It is safe for concurrent use.
type Egress struct {
	table     *routetable.Table
	active    atomic.Pointer[activeSettings]
	maxConns  int64        // the limit on open connections to all targets
	openConns atomic.Int64 // open connections, and dials in progress
	idleLimit idleLimit
	warnings  logLimiter // limits the warnings about targets' responses and about sockets
	log       logrus.FieldLogger

	mu      sync.Mutex                 // guards targets
	targets map[string]*http.Transport // by target
}

// activeSettings are the parts of the current settings that concern connections and load reports.
type activeSettings struct {
	settings    *config.Settings
	dialer      net.Dialer
	idleTimeout time.Duration // how long a connection may be idle before it is closed
}

func newActiveSettings(c *config.Config) *activeSettings {
	return &activeSettings{&c.Settings, net.Dialer{Timeout: c.Policy.ConnectTimeout}, time.Duration(idleTimeoutFraction * float64(c.Policy.ConnIdleTimeout))}
}

// New returns an Egress that opens at most maxConns connections.
func New(t *routetable.Table, c *config.Config, maxConns int, log logrus.FieldLogger) *Egress {
	e := &Egress{table: t, maxConns: int64(maxConns), log: log, targets: map[string]*http.Transport{}}
	e.active.Store(newActiveSettings(c))
	e.idleLimit.reset(e.active.Load().idleTimeout)
	return e
}

// UpdateSettings applies c's settings to the dials, attempts and load reports from now on. Attempts in flight continue
// on their connections.
func (e *Egress) UpdateSettings(c *config.Config) {
	next := newActiveSettings(c)
	e.mu.Lock()
	defer e.mu.Unlock()
	if next.idleTimeout != e.active.Load().idleTimeout { // a transport's idle timeout can't be changed, so new ones are made
		for target, tr := range e.targets {
			tr.CloseIdleConnections()
			delete(e.targets, target)
		}
		e.idleLimit.reset(next.idleTimeout)
	}
	e.active.Store(next)
}

// logLimiter allows at most one log line per second, so that a single client or runner can't fill the log.
type logLimiter struct{ last atomic.Int64 } // last is the time of the last allowed line, Unix time in nanoseconds

// allow reports whether a line may be logged at now, and if so counts it as logged.
func (r *logLimiter) allow(now time.Time) bool {
	last := r.last.Load()
	return now.UnixNano()-last >= int64(time.Second) && r.last.CompareAndSwap(last, now.UnixNano())
}
