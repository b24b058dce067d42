package integration

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// discovery is an HTTP server that stands for the discovery service. It serves the list of runners as numbered changes. A
// call that asks for changes after the current version waits for the next change, for at most hold_ms milliseconds.
type discovery struct {
	addr string
	mu   sync.Mutex
	cond *sync.Cond
	seq  int              // the current version: the number of changes in log
	log  []map[string]any // the changes; log[n] leads from version n to version n+1
	down bool             // every call gets status 503
	seen int              // the highest version after which the program has requested changes: it has all up to there
	// calls, if not nil, receives each call, which then waits until release is closed.
	calls   chan struct{}
	release chan struct{}
}

func newDiscovery(t *testing.T) *discovery {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &discovery{addr: l.Addr().String()}
	d.cond = sync.NewCond(&d.mu)
	s := &http.Server{Handler: d}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return d
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.calls != nil {
		d.calls <- struct{}{}
		select {
		case <-d.release:
		case <-r.Context().Done():
			return
		}
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	holdMs, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	end := time.Now().Add(time.Duration(holdMs) * time.Millisecond)
	wake := time.AfterFunc(time.Until(end), d.cond.Broadcast)
	defer wake.Stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.seen = max(d.seen, from); d.seen > 0 {
		d.cond.Broadcast()
	}
	for !d.down && d.seq <= from && time.Now().Before(end) {
		d.cond.Wait()
	}
	if d.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"seq": d.seq, "whole": false, "hosts": d.log[min(from, d.seq):d.seq]})
}

// change lists a runner with a new health state. It waits until the program requests the changes after this one, which shows
// that the program has received this one.
func (d *discovery) change(t *testing.T, rn *runner, health string) {
	t.Helper()
	d.mu.Lock()
	d.seq++
	d.log = append(d.log, rn.entry(health))
	version := d.seq
	d.cond.Broadcast()
	d.mu.Unlock()
	require.Eventually(t, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.seen >= version
	}, testTimeout, time.Millisecond, "the program never requested the changes since version %d", version)
}

func (d *discovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.cond.Broadcast()
}
