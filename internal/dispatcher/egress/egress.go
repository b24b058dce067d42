// Package egress is the upstreams' side: it makes attempts and probes of runners over HTTP and returns how each
// ended. It decides nothing.
//
// An attempt returns an outcome for which policy.NeverRan holds only if not all of its request was written to a
// connection, or the runner said so. Each call makes at most one complete request; nothing is resent.
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
	errNotOpen   = errors.New("the target takes nothing new")
	errNoSockets = errors.New("out of sockets for egress targets")
)

// Egress makes attempts and probes. It is safe for concurrent use.
type Egress struct {
	table     *routetable.Table
	tuned     atomic.Pointer[tuning]
	maxConns  int64
	openConns atomic.Int64
	idleLimit idleLimit
	warnings  logLimiter
	log       logrus.FieldLogger

	mu      sync.Mutex
	targets map[string]*http.Transport
}

// tuning is what the settings in force say of connections and reports.
type tuning struct {
	settings    *config.Settings
	dialer      net.Dialer
	idleTimeout time.Duration // after which an idle connection is closed
}

func newTuning(c *config.Config) *tuning {
	return &tuning{&c.Settings, net.Dialer{Timeout: c.Policy.ConnectTimeout}, time.Duration(idleTimeoutFraction * float64(c.Policy.ConnIdleTimeout))}
}

// New returns an Egress that opens at most maxConns connections.
func New(t *routetable.Table, c *config.Config, maxConns int, log logrus.FieldLogger) *Egress {
	e := &Egress{table: t, maxConns: int64(maxConns), log: log, targets: map[string]*http.Transport{}}
	e.tuned.Store(newTuning(c))
	e.idleLimit.reset(e.tuned.Load().idleTimeout)
	return e
}

// Retune applies c's settings to attempts, dials and reports from now on. Attempts in flight are not affected.
func (e *Egress) Retune(c *config.Config) {
	next := newTuning(c)
	e.mu.Lock()
	defer e.mu.Unlock()
	if next.idleTimeout != e.tuned.Load().idleTimeout { // a transport keeps to the limit that it was made with
		for target, tr := range e.targets {
			tr.CloseIdleConnections()
			delete(e.targets, target)
		}
		e.idleLimit.reset(next.idleTimeout)
	}
	e.tuned.Store(next)
}

// logLimiter lets one line per second through. Guards against a log that one client, or one runner, fills.
type logLimiter struct{ last atomic.Int64 }

// allow reports whether a line may be logged now.
func (r *logLimiter) allow(now time.Time) bool {
	last := r.last.Load()
	return now.UnixNano()-last >= int64(time.Second) && r.last.CompareAndSwap(last, now.UnixNano())
}
