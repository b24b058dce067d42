package egress

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreypond/internal/dispatcher/config"
	"ospreypond/internal/dispatcher/coordinator"
	"ospreypond/internal/dispatcher/routetable"
	"ospreypond/policy"
)

// testEgress returns an Egress and a route table that lists one runner, w, at addr.
func testEgress(t *testing.T, addr string) (*Egress, *routetable.Table) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	table := routetable.New()
	applyList(table, addr, "SERVING")
	c := &config.Config{Policy: policy.Settings{ConnectTimeout: 5 * time.Second, ConnIdleTimeout: 5 * time.Second}}
	c.Settings.FamilyInfo.ReportX0 = "free slots"
	return New(table, c, 100, log), table
}

// applyList sets the route table to a list with the runner w alone.
func applyList(t *routetable.Table, addr, health string) {
	t.Apply(&routetable.List{Seq: 1, Full: true, Hosts: []routetable.Host{{Host: "w", Dial: addr, Health: health}}})
}

func newListener(t *testing.T) net.Listener {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

// serveHTTP starts a runner that serves requests by handler, and returns its address.
func serveHTTP(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	l := newListener(t)
	s := &http.Server{Handler: handler}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// runServer starts a runner and returns its address. serve is called with each connection, in its own goroutine.
func runServer(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l := newListener(t)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// attemptOnce makes one attempt of a job with that body at the runner w.
func attemptOnce(ctx context.Context, e *Egress, body []byte) coordinator.AttemptEnd {
	return e.Attempt(ctx, &coordinator.Attempt{Target: "w", Deadline: time.Now().Add(time.Minute), OnProgress: func(policy.EventKind) {}, Begin: func(time.Time) error { return nil },
		Request: &coordinator.Request{ID: "id", Method: "POST", Target: "/c", IdempotencyKey: "k", Body: body}})
}

// No request is written to a runner that began to drain while its connection was being opened: the route is checked
// again right before the first byte.
func TestSlowDialDoesNotBypassADrain(t *testing.T) {
	got := make(chan int, 1)
	addr := runServer(t, func(c net.Conn) {
		b := make([]byte, 100)
		n, _ := c.Read(b)
		got <- n
	})
	e, table := testEgress(t, addr)
	dial := e.transport("w").DialContext
	e.transport("w").DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		applyList(table, addr, "DRAINING")
		return c, err
	}
	assert.Equal(t, policy.Moot, attemptOnce(context.Background(), e, []byte("x")).Outcome)
	assert.Zero(t, <-got, "bytes at a draining runner")
}

// If the connection breaks after the request was written, the attempt ends as a reset, never as unsent. Headers and body
// are written in one write. When they were written separately, a runner that closed after the headers made the outcome
// unsent in some runs and reset in others.
func TestBreakAfterTheRequestIsAReset(t *testing.T) {
	addr := runServer(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	e, _ := testEgress(t, addr)
	assert.Equal(t, policy.Reset, attemptOnce(context.Background(), e, []byte("x")).Outcome)
}

// A runner that refuses connections makes the attempt end as a failed connect, and no connection stays counted as open.
func TestRefusedConnection(t *testing.T) {
	l := newListener(t)
	require.NoError(t, l.Close())
	e, _ := testEgress(t, l.Addr().String())
	assert.Equal(t, policy.ConnectFailed, attemptOnce(context.Background(), e, nil).Outcome)
	assert.Zero(t, e.openConns.Load())
}

// respondOnce responds to the first request on a connection and resets the connection when the second one arrives.
func respondOnce(c net.Conn) {
	if _, err := c.Read(make([]byte, 4096)); err == nil {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 39\r\n\r\n"+`{"id":"id","state":"done","result":"r"}`)
		_, _ = c.Read(make([]byte, 1))
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// Some runners drop idle connections earlier than the settings say, without notice. After a reused connection broke, only
// connections that were idle for a shorter time are reused. Attempts skip the longer idle ones without resending a request.
func TestIdleLimitIsLearnedFromBrokenConnections(t *testing.T) {
	e, _ := testEgress(t, runServer(t, respondOnce))
	require.Equal(t, policy.OK, attemptOnce(context.Background(), e, nil).Outcome)
	require.Eventually(t, func() bool { // the connection takes a moment to return to the pool
		return attemptOnce(context.Background(), e, nil).Outcome == policy.Reset
	}, 20*time.Second, time.Millisecond)
	assert.Less(t, e.idleLimit.at(time.Now()), e.idleLimit.configured)
	e.idleLimit.learned = 0
	for range 20 {
		assert.Equal(t, policy.OK, attemptOnce(context.Background(), e, nil).Outcome)
	}
}

// The limit falls to a fraction of the idle time at which a connection broke, and doubles over time up to the setting.
func TestIdleLimit(t *testing.T) {
	k, now := idleLimit{configured: 4 * time.Second, learned: 4 * time.Second}, time.Now()
	assert.Equal(t, k.configured, k.at(now))
	k.recordBreak(now, time.Second)
	assert.Equal(t, 700*time.Millisecond, k.at(now))
	k.recordBreak(now, 3*time.Second)
	assert.Equal(t, 700*time.Millisecond, k.at(now), "a break after a longer idle time changes nothing")
	assert.Equal(t, 1400*time.Millisecond, k.at(now.Add(idleDoubling)))
	assert.Equal(t, k.configured, k.at(now.Add(time.Hour)))
}

// brokenWriter is a connection that fails all writes.
type brokenWriter struct{ net.Conn }

func (brokenWriter) Write([]byte) (int, error) { return 0, syscall.ECONNRESET }

// In a network that resets single connections, a request that was not written completely is written to another
// connection within the same attempt, so that the runner does not look down. A runner that refuses each dial is detected.
func TestUnwrittenRequestIsDialedAgain(t *testing.T) {
	addr := runServer(t, respondOnce)
	for name, bad := range map[string]func(net.Conn) (net.Conn, error){
		"refused": func(c net.Conn) (net.Conn, error) { _ = c.Close(); return nil, syscall.ECONNREFUSED },
		"broken":  func(c net.Conn) (net.Conn, error) { return brokenWriter{c}, nil },
	} {
		for times, want := range map[int]policy.Outcome{2: policy.OK, 3: policy.ConnectFailed} {
			e, _ := testEgress(t, addr)
			dials := 0
			e.transport("w").DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := e.active.Load().dialer.DialContext(ctx, network, addr)
				if dials++; err == nil && dials <= times {
					c, err = bad(c)
				}
				if err != nil {
					return nil, err
				}
				return &conn{Conn: c, onClose: func() {}}, nil
			}
			assert.Equal(t, want, attemptOnce(context.Background(), e, nil).Outcome, "%s %d times", name, times)
		}
	}
}

// A lack of sockets in the dispatcher is not counted against the runner.
func TestOutOfSocketsIsMoot(t *testing.T) {
	e, _ := testEgress(t, "127.0.0.1:1")
	e.maxConns = 0
	assert.Equal(t, policy.Moot, attemptOnce(context.Background(), e, nil).Outcome)
	assert.Equal(t, policy.Moot, e.Probe(context.Background(), "w").Outcome)
}

// At most one warning per second is logged, so that one client's requests can't fill the log.
func TestWarningsAreLimited(t *testing.T) {
	var r logLimiter
	now, lines := time.Now(), 0
	for n := range 100 {
		if r.allow(now.Add(time.Duration(n) * 20 * time.Millisecond)) {
			lines++
		}
	}
	assert.Equal(t, 2, lines)
}

// A request that the runner calls invalid by a 400 does not count against the runner.
func TestInvalidRequestIsReported(t *testing.T) {
	e, _ := testEgress(t, runServer(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
	}))
	end := attemptOnce(context.Background(), e, nil)
	assert.True(t, end.InvalidRequest)
	assert.Equal(t, policy.Cancelled, end.Outcome)
}

// When an attempt is cancelled at about the time of its response, it ends either with the result or as cancelled. It ends
// as moot only if the request did not reach the runner.
func TestCancelRacesTheResponse(t *testing.T) {
	var arrived, mayHaveRun atomic.Int64
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err == nil {
			arrived.Add(1)
		}
		_, _ = io.WriteString(w, `{"id":"id","state":"done","result":"r"}`+"\n")
	})}
	l := newListener(t)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	e, _ := testEgress(t, l.Addr().String())
	var wg sync.WaitGroup
	for n := range 200 {
		ctx, cancel := context.WithCancel(context.Background())
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 5 * time.Microsecond)
			cancel()
		})
		end := attemptOnce(ctx, e, nil)
		switch end.Outcome {
		case policy.OK:
			assert.Equal(t, "r", string(end.Result))
			mayHaveRun.Add(1)
		case policy.Cancelled:
			mayHaveRun.Add(1)
		default:
			assert.Equal(t, policy.Moot, end.Outcome)
		}
	}
	wg.Wait()
	require.NoError(t, s.Shutdown(context.Background()))
	assert.LessOrEqual(t, arrived.Load(), mayHaveRun.Load(), "a request reached the runner though its attempt's outcome says that it never ran")
}

// If a written request gets no response, the attempt ends as timed out at its deadline.
func TestTimeout(t *testing.T) {
	addr := runServer(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	e, _ := testEgress(t, addr)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	assert.Equal(t, policy.TimedOut, attemptOnce(ctx, e, nil).Outcome)
}

// A result is returned as soon as its line was read. The rest of the response is read afterwards, only so that the
// connection can be reused.
func TestResultIsNotDelayedByTheRestOfTheResponse(t *testing.T) {
	release := make(chan struct{})
	addr := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"id":"id","state":"done","result":{"a":1},"load":{"x0":3}}`+"\n")
		_ = http.NewResponseController(w).Flush()
		<-release
	})
	e, _ := testEgress(t, addr)
	end := attemptOnce(context.Background(), e, nil)
	close(release)
	assert.Equal(t, policy.OK, end.Outcome)
	assert.Equal(t, `{"a":1}`, string(end.Result))
	assert.InDelta(t, 3, end.Report.FreeSlots, 0)
}

// A load report's unknown names and invalid values are skipped.
func TestTextReport(t *testing.T) {
	s := &config.Settings{}
	s.FamilyInfo.ReportX0 = "free slots"
	r := textReport(s, "TEXT inflight=7, queue=2,util=0.5, x0=3, odd=x, qps=NaN\n")
	assert.Equal(t, policy.Report{FreeSlots: 3, FreeMemory: -1, Queued: 2, InFlight: 7, Load: 0.5}, r)
	assert.Equal(t, policy.NoReport, textReport(s, "nothing, x0=NaN"))
}

// Prune removes the transport of a target that is no longer in the route table.
func TestPrune(t *testing.T) {
	e, table := testEgress(t, "127.0.0.1:1")
	e.transport("w")
	e.Prune()
	assert.Len(t, e.targets, 1)
	table.Apply(&routetable.List{Seq: 2, Full: true})
	e.Prune()
	assert.Empty(t, e.targets)
}
