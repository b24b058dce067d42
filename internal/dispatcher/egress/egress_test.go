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
	list(table, addr, "SERVING")
	c := &config.Config{Policy: policy.Settings{ConnectTimeout: 5 * time.Second, ConnIdle: 5 * time.Second}}
	c.Settings.FamilyInfo.ReportX0 = "free slots"
	return New(table, c, 100, log), table
}

func list(t *routetable.Table, addr, health string) {
	t.Apply(&routetable.List{Seq: 1, Whole: true, Hosts: []routetable.Host{{Host: "w", Dial: addr, Health: health}}})
}

// serve runs a runner; each connection it accepts is handed to do.
func serve(t *testing.T, do func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go do(c)
		}
	}()
	return l.Addr().String()
}

func attempt(ctx context.Context, e *Egress, body []byte) coordinator.AttemptEnd {
	return e.Attempt(ctx, &coordinator.Attempt{Target: "w", Deadline: time.Now().Add(time.Minute), OnProgress: func(policy.EventKind) {}, Begin: func(time.Time) error { return nil },
		Request: &coordinator.Request{ID: "id", Method: "POST", Target: "/c", IdempotencyKey: "k", Body: body}})
}

// Guards against a dial that outruns a drain: the route was open when the attempt began and is not when its first
// byte would go out.
func TestSlowDialDoesNotOutrunADrain(t *testing.T) {
	got := make(chan int, 1)
	addr := serve(t, func(c net.Conn) {
		b := make([]byte, 100)
		n, _ := c.Read(b)
		got <- n
	})
	e, table := testEgress(t, addr)
	dial := e.transport("w").DialContext
	e.transport("w").DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		list(table, addr, "DRAINING")
		return c, err
	}
	assert.Equal(t, policy.Moot, attempt(context.Background(), e, []byte("x")).Outcome)
	assert.Zero(t, <-got, "bytes at a runner that drains")
}

// An attempt whose bytes are out is never called unsent. Its headers and body go out in one write: when they went
// apart, a runner that had read the headers and broke off made this end one time as unsent, another as reset.
func TestBreakAfterTheRequestIsAReset(t *testing.T) {
	addr := serve(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	e, _ := testEgress(t, addr)
	assert.Equal(t, policy.Reset, attempt(context.Background(), e, []byte("x")).Outcome)
}

func TestRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	e, _ := testEgress(t, l.Addr().String())
	assert.Equal(t, policy.ConnectFailed, attempt(context.Background(), e, nil).Outcome)
	assert.Zero(t, e.open.Load())
}

// oneAnswer answers the first request on each connection and resets it under the second one.
func oneAnswer(c net.Conn) {
	if _, err := c.Read(make([]byte, 4096)); err == nil {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 39\r\n\r\n"+`{"id":"id","state":"done","result":"r"}`)
		_, _ = c.Read(make([]byte, 1))
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// Guards against runners that drop idle connections sooner than the settings say, in silence: once a kept one
// broke under a request, only younger ones are used, and an attempt passes over the others without a resend.
func TestKeptConnectionsThatBreak(t *testing.T) {
	e, _ := testEgress(t, serve(t, oneAnswer))
	require.Equal(t, policy.OK, attempt(context.Background(), e, nil).Outcome)
	require.Eventually(t, func() bool { // until the connection is in the pool and was used
		return attempt(context.Background(), e, nil).Outcome == policy.Reset
	}, 20*time.Second, time.Millisecond)
	assert.Less(t, e.kept.limit(time.Now()), e.kept.most)
	e.kept.least = 0
	for range 20 {
		assert.Equal(t, policy.OK, attempt(context.Background(), e, nil).Outcome)
	}
}

// The age that is allowed follows what broke, and comes back with time.
func TestKeep(t *testing.T) {
	k, now := keep{most: 4 * time.Second, least: 4 * time.Second}, time.Now()
	assert.Equal(t, k.most, k.limit(now))
	k.broke(now, time.Second)
	assert.Equal(t, 700*time.Millisecond, k.limit(now))
	k.broke(now, 3*time.Second)
	assert.Equal(t, 700*time.Millisecond, k.limit(now), "an older one tells nothing new")
	assert.Equal(t, 1400*time.Millisecond, k.limit(now.Add(keptDoubles)))
	assert.Equal(t, k.most, k.limit(now.Add(time.Hour)))
}

// deaf is a connection on which nothing can be written.
type deaf struct{ net.Conn }

func (deaf) Write([]byte) (int, error) { return 0, syscall.ECONNRESET }

// Guards against a network that resets single connections: a request that was not written whole goes on
// another within its attempt, so that its runner does not look as if it were down. One that is down is found out.
func TestDialsAgainWhatWasNotWritten(t *testing.T) {
	addr := serve(t, oneAnswer)
	for name, bad := range map[string]func(net.Conn) (net.Conn, error){
		"refused": func(c net.Conn) (net.Conn, error) { _ = c.Close(); return nil, syscall.ECONNREFUSED },
		"broken":  func(c net.Conn) (net.Conn, error) { return deaf{c}, nil },
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
				return &conn{Conn: c, closed: func() {}}, nil
			}
			assert.Equal(t, want, attempt(context.Background(), e, nil).Outcome, "%s %d times", name, times)
		}
	}
}

// Guards against blaming a runner for the dispatcher's own lack of sockets.
func TestOutOfSocketsIsNotTheTargetsFault(t *testing.T) {
	e, _ := testEgress(t, "127.0.0.1:1")
	e.budget = 0
	assert.Equal(t, policy.Moot, attempt(context.Background(), e, nil).Outcome)
	assert.Equal(t, policy.Moot, e.Probe(context.Background(), "w").Outcome)
}

// Guards against a log that one client's requests fill: one line a second.
func TestWarningsAreRare(t *testing.T) {
	var r rarely
	now, lines := time.Now(), 0
	for n := range 100 {
		if r.due(now.Add(time.Duration(n) * 20 * time.Millisecond)) {
			lines++
		}
	}
	assert.Equal(t, 2, lines)
}

// Guards against one client's faulty request making a runner look sick.
func TestUnusableRequestIsRejected(t *testing.T) {
	e, _ := testEgress(t, serve(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
	}))
	end := attempt(context.Background(), e, nil)
	assert.True(t, end.Unusable)
	assert.Equal(t, policy.Cancelled, end.Outcome)
}

// An attempt has one end also where its cancelling and its answer cross, and a result that came is not lost.
func TestCancelRacesTheAnswer(t *testing.T) {
	var arrived, mayHaveRun atomic.Int64
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err == nil {
			arrived.Add(1)
		}
		_, _ = io.WriteString(w, `{"id":"id","state":"done","result":"r"}`+"\n")
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
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
		end := attempt(ctx, e, nil)
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
	assert.LessOrEqual(t, arrived.Load(), mayHaveRun.Load(), "one that is said never to have run arrived")
}

func TestTimeOut(t *testing.T) {
	addr := serve(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	e, _ := testEgress(t, addr)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	assert.Equal(t, policy.TimedOut, attempt(ctx, e, nil).Outcome)
}

// A result goes to the client with the answer's last line; the rest is read for the connection's sake.
func TestAnswerDoesNotWaitForTheEnd(t *testing.T) {
	release := make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"id":"id","state":"done","result":{"a":1},"load":{"x0":3}}`+"\n")
		_ = http.NewResponseController(w).Flush()
		<-release
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	e, _ := testEgress(t, l.Addr().String())
	end := attempt(context.Background(), e, nil)
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

// The state of a target that has left the list is dropped.
func TestPrune(t *testing.T) {
	e, table := testEgress(t, "127.0.0.1:1")
	e.transport("w")
	e.Prune()
	assert.Len(t, e.targets, 1)
	table.Apply(&routetable.List{Seq: 2, Whole: true})
	e.Prune()
	assert.Empty(t, e.targets)
}
