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

func applyList(t *routetable.Table, addr, health string) {
	t.Apply(&routetable.List{Seq: 1, Full: true, Hosts: []routetable.Host{{Host: "w", Dial: addr, Health: health}}})
}

func newListener(t *testing.T) net.Listener {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

// serveHTTP runs a runner that speaks HTTP and returns its address.
func serveHTTP(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	l := newListener(t)
	s := &http.Server{Handler: handler}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// runServer runs a runner; serve is called with each connection, in a goroutine.
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

func attemptOnce(ctx context.Context, e *Egress, body []byte) coordinator.AttemptEnd {
	return e.Attempt(ctx, &coordinator.Attempt{Target: "w", Deadline: time.Now().Add(time.Minute), OnProgress: func(policy.EventKind) {}, Begin: func(time.Time) error { return nil },
		Request: &coordinator.Request{ID: "id", Method: "POST", Target: "/c", IdempotencyKey: "k", Body: body}})
}

// Guards against a dial that bypasses a drain: the route was open when the attempt began, and is not when its first
// byte is due.
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

// An attempt whose bytes were sent never counts as unsent. Its headers and body are written at once: when they were
// written separately, a runner that broke off after the headers made the outcome unsent at times, and reset at
// others.
func TestBreakAfterTheRequestIsAReset(t *testing.T) {
	addr := runServer(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	e, _ := testEgress(t, addr)
	assert.Equal(t, policy.Reset, attemptOnce(context.Background(), e, []byte("x")).Outcome)
}

func TestRefusedConnection(t *testing.T) {
	l := newListener(t)
	require.NoError(t, l.Close())
	e, _ := testEgress(t, l.Addr().String())
	assert.Equal(t, policy.ConnectFailed, attemptOnce(context.Background(), e, nil).Outcome)
	assert.Zero(t, e.openConns.Load())
}

// respondOnce responds to the first request on a connection and resets it under the second one.
func respondOnce(c net.Conn) {
	if _, err := c.Read(make([]byte, 4096)); err == nil {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 39\r\n\r\n"+`{"id":"id","state":"done","result":"r"}`)
		_, _ = c.Read(make([]byte, 1))
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// Guards against runners that drop idle connections sooner than the settings say, without notice: once a reused one
// broke under a request, only younger ones are reused, and an attempt passes over the others without a resend.
func TestIdleLimitIsLearnedFromBrokenConnections(t *testing.T) {
	e, _ := testEgress(t, runServer(t, respondOnce))
	require.Equal(t, policy.OK, attemptOnce(context.Background(), e, nil).Outcome)
	require.Eventually(t, func() bool { // until the connection is in the pool and was used
		return attemptOnce(context.Background(), e, nil).Outcome == policy.Reset
	}, 20*time.Second, time.Millisecond)
	assert.Less(t, e.idleLimit.at(time.Now()), e.idleLimit.configured)
	e.idleLimit.learned = 0
	for range 20 {
		assert.Equal(t, policy.OK, attemptOnce(context.Background(), e, nil).Outcome)
	}
}

// The limit follows the last break, and grows back with time.
func TestIdleLimit(t *testing.T) {
	k, now := idleLimit{configured: 4 * time.Second, learned: 4 * time.Second}, time.Now()
	assert.Equal(t, k.configured, k.at(now))
	k.broke(now, time.Second)
	assert.Equal(t, 700*time.Millisecond, k.at(now))
	k.broke(now, 3*time.Second)
	assert.Equal(t, 700*time.Millisecond, k.at(now), "one after a longer time changes nothing")
	assert.Equal(t, 1400*time.Millisecond, k.at(now.Add(idleDoubling)))
	assert.Equal(t, k.configured, k.at(now.Add(time.Hour)))
}

// brokenWriter is a connection on which nothing can be written.
type brokenWriter struct{ net.Conn }

func (brokenWriter) Write([]byte) (int, error) { return 0, syscall.ECONNRESET }

// Guards against a network that resets single connections: a request that was not written completely goes to another
// one within its attempt, so that its runner does not look down. One that is down is detected.
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
				c, err := e.tuned.Load().dialer.DialContext(ctx, network, addr)
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

// Guards against blaming a runner for the dispatcher's own lack of sockets.
func TestOutOfSocketsIsMoot(t *testing.T) {
	e, _ := testEgress(t, "127.0.0.1:1")
	e.maxConns = 0
	assert.Equal(t, policy.Moot, attemptOnce(context.Background(), e, nil).Outcome)
	assert.Equal(t, policy.Moot, e.Probe(context.Background(), "w").Outcome)
}

// Guards against a log that one client's requests fill: one line per second.
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

// Guards against one client's invalid request making a runner look unhealthy.
func TestUnusableRequestIsReported(t *testing.T) {
	e, _ := testEgress(t, runServer(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
	}))
	end := attemptOnce(context.Background(), e, nil)
	assert.True(t, end.InvalidRequest)
	assert.Equal(t, policy.Cancelled, end.Outcome)
}

// An attempt has one end even if its cancellation and its response cross, and a result that arrived is not lost.
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
	assert.LessOrEqual(t, arrived.Load(), mayHaveRun.Load(), "an attempt that never ran by its outcome arrived")
}

func TestTimeout(t *testing.T) {
	addr := runServer(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	e, _ := testEgress(t, addr)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	assert.Equal(t, policy.TimedOut, attemptOnce(ctx, e, nil).Outcome)
}

// A result is returned with the response's last line; the rest is read for the connection's sake.
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

func TestTextReport(t *testing.T) {
	s := &config.Settings{}
	s.FamilyInfo.ReportX0 = "free slots"
	r := textReport(s, "TEXT inflight=7, queue=2,util=0.5, x0=3, odd=x, qps=NaN\n")
	assert.Equal(t, policy.Report{FreeSlots: 3, FreeMemory: -1, Queued: 2, InFlight: 7, Load: 0.5}, r)
	assert.Equal(t, policy.NoReport, textReport(s, "nothing, x0=NaN"))
}

// The state of a target that is not in the route table any more is dropped.
func TestPrune(t *testing.T) {
	e, table := testEgress(t, "127.0.0.1:1")
	e.transport("w")
	e.Prune()
	assert.Len(t, e.targets, 1)
	table.Apply(&routetable.List{Seq: 2, Full: true})
	e.Prune()
	assert.Empty(t, e.targets)
}
