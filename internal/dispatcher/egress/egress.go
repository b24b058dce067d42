// Package egress speaks to the upstreams, which are the runners: it makes attempts and probes over HTTP and says how
// each ended. It decides nothing.
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

// Egress makes attempts and probes. It is safe for use by several goroutines.
type Egress struct {
	table  *routetable.Table
	tuned  atomic.Pointer[tuning]
	budget int64 // connections at once
	open   atomic.Int64
	kept   keep
	warned rarely
	log    logrus.FieldLogger

	mu      sync.Mutex
	targets map[string]*http.Transport
}

// tuning is what the settings in force say of connections and reports.
type tuning struct {
	settings *config.Settings
	dialer   net.Dialer
	idle     time.Duration // for which an idle connection is kept
}

func newTuning(c *config.Config) *tuning {
	return &tuning{&c.Settings, net.Dialer{Timeout: c.Policy.ConnectTimeout}, time.Duration(idleShare * float64(c.Policy.ConnIdle))}
}

// New returns an Egress that opens at most budget connections.
func New(t *routetable.Table, c *config.Config, budget int, log logrus.FieldLogger) *Egress {
	e := &Egress{table: t, budget: int64(budget), log: log, targets: map[string]*http.Transport{}}
	e.tuned.Store(newTuning(c))
	e.kept.allow(e.tuned.Load().idle)
	return e
}

// Retune goes by c's settings from now on: by them reports are read, connections dialled, and idle ones kept. Attempts under
// way are not touched.
func (e *Egress) Retune(c *config.Config) {
	next := newTuning(c)
	e.mu.Lock()
	defer e.mu.Unlock()
	if next.idle != e.tuned.Load().idle { // a transport keeps to the limit that it was made with
		for target, tr := range e.targets {
			tr.CloseIdleConnections()
			delete(e.targets, target)
		}
		e.kept.allow(next.idle)
	}
	e.tuned.Store(next)
}

// rarely lets one line through each second. Guards against a log that one client, or one runner, fills.
type rarely struct{ last atomic.Int64 }

func (r *rarely) due(now time.Time) bool {
	last := r.last.Load()
	return now.UnixNano()-last >= int64(time.Second) && r.last.CompareAndSwap(last, now.UnixNano())
}
