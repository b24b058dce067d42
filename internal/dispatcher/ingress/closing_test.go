package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ospreypond/internal/dispatcher/coordinator"
	"ospreypond/internal/dispatcher/lifecycle"
	"ospreypond/policy"
)

// whole is a request that is read whole with its head.
const whole = head + "Content-Length: 0\r\n\r\n"

// seam is a listener whose connections let the test stand between the bytes that came off the socket and what
// becomes of them.
type seam struct {
	net.Listener
	read atomic.Pointer[func()] // called after bytes were read; nil: nothing
}

type seamConn struct {
	net.Conn
	in *seam
}

func (s *seam) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &seamConn{c, s}, nil
}

func (c *seamConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if f := c.in.read.Load(); f != nil && n > 0 {
		(*f)()
	}
	return n, err
}

func (c *seamConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// atSeam serves at a seam; each request is counted and answered with its id.
func atSeam(t *testing.T) (s *Server, life *lifecycle.Lifecycle, at *seam, submitted *atomic.Int64) {
	t.Helper()
	submitted = new(atomic.Int64)
	s, life = testServer(20, func(_ context.Context, r *coordinator.Request) coordinator.Response {
		submitted.Add(1)
		return coordinator.Response{Kind: coordinator.Served, Result: []byte(r.ID)}
	})
	life.Advance(lifecycle.Serving)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	at = &seam{Listener: l}
	go func() { _ = s.Serve(at) }()
	t.Cleanup(func() { _ = s.http.Close() })
	return s, life, at, submitted
}

// states tells in which states the server's connections are.
func states(s *Server) (in []int) {
	c := s.listener.Load()
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range []interface{ Len() int }{&c.silent, &c.idle, &c.busy, &c.lingering} {
		in = append(in, l.Len())
	}
	return in
}

func becomes(t *testing.T, s *Server, silent, idle, busy, lingering int) {
	t.Helper()
	require.Eventually(t, func() bool { return assert.ObjectsAreEqual([]int{silent, idle, busy, lingering}, states(s)) },
		20*time.Second, time.Millisecond)
}

// inOrder tells whether the connection was closed with no further byte, and not by a reset.
func inOrder(t *testing.T, from *bufio.Reader) {
	t.Helper()
	_, err := from.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// A connection of whose next request a single byte was read before it was decided to close what rests, by a drain, a
// stop, or for want of room, stays until that request is answered. net/http's own Shutdown closes it.
func TestOneByteReadKeepsTheConnection(t *testing.T) {
	for name, end := range map[string]func(s *Server, life *lifecycle.Lifecycle) (ended func()){
		"drain": func(s *Server, _ *lifecycle.Lifecycle) func() { s.Drain(); return func() {} },
		"stop": func(s *Server, life *lifecycle.Lifecycle) func() {
			life.Advance(lifecycle.Draining)
			over := make(chan error, 1)
			go func() { over <- s.Shutdown(context.Background()) }()
			for !s.stopping.Load() {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(3 * stopSweep)
			return func() { assert.NoError(t, <-over) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, life, _, submitted := atSeam(t)
			c, from := dial(t, s.addr(t), whole)
			require.Equal(t, http.StatusOK, response(t, from).StatusCode)
			becomes(t, s, 0, 1, 0, 0)
			_, err := io.WriteString(c, whole[:1])
			require.NoError(t, err)
			becomes(t, s, 1, 0, 0, 0)
			ended := end(s, life)
			becomes(t, s, 1, 0, 0, 0)
			_, err = io.WriteString(c, whole[1:])
			require.NoError(t, err)
			resp := response(t, from)
			assert.Equal(t, http.StatusOK, resp.StatusCode)
			assert.True(t, resp.Close, "the last answer on it")
			inOrder(t, from)
			_ = c.Close()
			ended()
			assert.EqualValues(t, 2, submitted.Load())
		})
	}
}

// A request whose bytes come off the socket as the decision to close is made is never sent on, and its client sees a
// close in order, on which it may ask elsewhere.
func TestReadAfterTheDecisionIsNeverSentOn(t *testing.T) {
	for name, first := range map[string]string{"resting": whole, "new": ""} {
		t.Run(name, func(t *testing.T) {
			s, _, at, submitted := atSeam(t)
			c, from := dial(t, s.addr(t), first)
			before := int64(0)
			if first != "" {
				require.Equal(t, http.StatusOK, response(t, from).StatusCode)
				becomes(t, s, 0, 1, 0, 0)
				before = 1
			} else {
				becomes(t, s, 1, 0, 0, 0)
			}
			came, decided := make(chan bool, 9), make(chan bool)
			hold := func() { came <- true; <-decided }
			at.read.Store(&hold)
			_, err := io.WriteString(c, whole)
			require.NoError(t, err)
			<-came
			s.listener.Load().drain(true, time.Now().Add(quietFor)) // so that a new one has been quiet for long
			at.read.Store(nil)
			close(decided)
			inOrder(t, from)
			assert.EqualValues(t, before, submitted.Load())
		})
	}
}

// A close never destroys an answer, whatever its client still sends or has sent behind its request.
func TestNoAnswerIsDestroyedByWhatIsStillSent(t *testing.T) {
	flood := strings.Repeat("x", 200<<10)
	for name, c := range map[string]struct {
		text   string
		drain  bool
		status int
	}{
		"a bad header":            {strings.Replace(whole, "9000m", "soon", 1) + flood, false, http.StatusBadRequest},
		"no such class":           {"POST /d HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n" + flood, false, http.StatusNotFound},
		"no HTTP":                 {"nonsense\r\n\r\n" + flood, false, http.StatusBadRequest},
		"an unknown encoding":     {head + "Transfer-Encoding: odd\r\n\r\n" + flood, false, http.StatusNotImplemented},
		"an endless head":         {head + "X-Pad: " + flood, false, http.StatusRequestHeaderFieldsTooLarge},
		"a body too large":        {head + "Content-Length: 900000\r\n\r\n" + flood, false, http.StatusRequestEntityTooLarge},
		"served, and the last":    {whole + flood[:3000], true, http.StatusOK},
		"served, and a next half": {whole + whole[:30], true, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, _, _, _ := atSeam(t)
			s.drained.Store(c.drain)
			conn, err := net.Dial("tcp", s.addr(t))
			require.NoError(t, err)
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
			go func() { _, _ = io.WriteString(conn, c.text) }()
			time.Sleep(100 * time.Millisecond) // the answer is there before it is read: a reset would take it away
			from := bufio.NewReader(conn)
			assert.Equal(t, c.status, response(t, from).StatusCode)
			inOrder(t, from)
		})
	}
}

// A client that leaves while its request waits is noticed also behind bytes that it sent early.
func TestLeavingIsNoticedBehindEarlyBytes(t *testing.T) {
	for name, c := range map[string]struct {
		early string
		reset bool
	}{
		"nothing early": {"", false}, "reset": {"", true}, "a byte": {"P", false}, "a byte and reset": {"P", true},
		"a request": {whole, false}, "a lot": {strings.Repeat("x", earlyMost+5000), true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			held, left := make(chan bool), make(chan time.Time, 1)
			s, _ := testServer(20, func(ctx context.Context, _ *coordinator.Request) coordinator.Response {
				held <- true
				<-ctx.Done()
				left <- time.Now()
				return coordinator.Response{Kind: coordinator.ClientDisconnected}
			})
			conn, _ := dial(t, listen(t, s), whole)
			<-held
			_, err := io.WriteString(conn, c.early)
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond) // the early bytes are read by themselves
			if c.reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
			at := time.Now()
			select {
			case noticed := <-left:
				assert.Less(t, noticed.Sub(at), 300*time.Millisecond)
			case <-time.After(20 * time.Second):
				t.Fatal("the leaving is not noticed")
			}
		})
	}
}

// What came early is the next request, in order; where more came than is kept, the connection ends with the answer.
func TestEarlyRequestsAreServedInOrder(t *testing.T) {
	release := make(chan bool)
	s, _ := testServer(20, func(_ context.Context, r *coordinator.Request) coordinator.Response {
		<-release
		return coordinator.Response{Kind: coordinator.Served, Result: r.Body}
	})
	addr := listen(t, s)
	conn, from := dial(t, addr, head+"Content-Length: 3\r\n\r\none")
	becomes(t, s, 0, 0, 1, 0)
	for _, text := range []string{head + "Content-Length: 3", "\r\n\r\nt", "wo" + head + "Content-Length: 5\r\n\r\nthree"} {
		_, err := io.WriteString(conn, text)
		require.NoError(t, err)
		time.Sleep(10 * time.Millisecond)
	}
	for _, want := range []string{"one", "two", "three"} {
		release <- true
		resp, err := http.ReadResponse(from, nil)
		require.NoError(t, err)
		got, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		assert.Equal(t, want, string(got))
	}

	much, from := dial(t, addr, whole)
	becomes(t, s, 0, 1, 1, 0)
	_, err := io.WriteString(much, strings.Repeat("x", earlyMost+2000))
	require.NoError(t, err)
	k := s.listener.Load().busy.Front().Value.(*client)
	require.Eventually(t, func() bool { s.listener.Load().mu.Lock(); defer s.listener.Load().mu.Unlock(); return k.over },
		20*time.Second, time.Millisecond)
	release <- true
	require.Equal(t, http.StatusOK, response(t, from).StatusCode)
	inOrder(t, from)
}

// A newcomer for whom there is no room, as every connection has a request in hand, is told so, and may come again.
func TestNewcomersAreToldThatThereIsNoRoom(t *testing.T) {
	release := make(chan bool)
	s, _ := testServer(2, func(context.Context, *coordinator.Request) coordinator.Response {
		<-release
		return coordinator.Response{Kind: coordinator.Served}
	})
	addr := listen(t, s)
	_, one := dial(t, addr, whole)
	becomes(t, s, 0, 0, 1, 0)
	s.listener.Load().mu.Lock()
	s.listener.Load().most = 1
	s.listener.Load().mu.Unlock()
	for n, told := range []struct {
		allowed time.Duration
		want    string
	}{{2 * time.Second, "1.000"}, {300 * time.Millisecond, "0.300"}, {0, ""}, {0, ""}, {time.Minute, "1.000"}} { // more than may linger
		s.Retune(&policy.Settings{Classes: []policy.Class{{Name: "c"}}, MaxRetryAfter: told.allowed})
		_, from := dial(t, addr, whole)
		resp := response(t, from)
		assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		assert.Equal(t, told.want, resp.Header.Get("Retry-After"), "by the settings in force, newcomer %d", n)
	}
	assert.EqualValues(t, 5, s.GiveUps().Counts()[headRoom])
	release <- true
	assert.Equal(t, http.StatusOK, response(t, one).StatusCode)
}

// untold is the Retry-After of settings that allow none.
func untold() time.Duration { return 0 }

// Clients that never close their side hold a connection for no longer than it may linger, and no more of them at once
// than may; a usual client is served all the while.
func TestLingeringIsBounded(t *testing.T) {
	s, _, _, _ := atSeam(t)
	addr := s.addr(t)
	for range 20 {
		_, from := dial(t, addr, "nonsense\r\n\r\n")
		assert.Equal(t, http.StatusBadRequest, response(t, from).StatusCode)
		assert.LessOrEqual(t, states(s)[3], s.listener.Load().linger)
	}
	usual, from := dial(t, addr, whole)
	assert.Equal(t, http.StatusOK, response(t, from).StatusCode)
	_ = usual.Close()
	at := time.Now()
	becomes(t, s, 0, 0, 0, 0)
	assert.Less(t, time.Since(at), lingerWithin+time.Second)
}

// A stop returns once the last answer was taken and each connection has ended: not while a client still reads.
func TestStopWaitsForTheLastAnswers(t *testing.T) {
	release := make(chan bool)
	s, life := testServer(20, func(context.Context, *coordinator.Request) coordinator.Response {
		<-release
		return coordinator.Response{Kind: coordinator.Served, Result: []byte("r")}
	})
	life.Advance(lifecycle.Serving)
	conn, from := dial(t, listen(t, s), whole)
	becomes(t, s, 0, 0, 1, 0)
	life.Advance(lifecycle.Draining)
	over := make(chan error, 1)
	go func() { over <- s.Shutdown(context.Background()) }()
	require.Eventually(t, s.stopping.Load, 20*time.Second, time.Millisecond)
	close(release)
	becomes(t, s, 0, 0, 0, 1)
	assert.Empty(t, over, "it lingers for the client to take its answer")
	assert.Equal(t, http.StatusOK, response(t, from).StatusCode)
	_ = conn.Close()
	assert.NoError(t, <-over)
}

// fakeConn is a connection of which only the closing counts.
type fakeConn struct{ net.Conn }

func (fakeConn) Close() error                     { return nil }
func (fakeConn) SetReadDeadline(time.Time) error  { return nil }
func (fakeConn) SetWriteDeadline(time.Time) error { return nil }
func (fakeConn) Write(p []byte) (int, error)      { return len(p), nil }

// All orders of what happens to connections: bytes read, requests taken and answered, room made, drains on and off, and
// closes. No request that was begun before the decision is shut out by a drain, none is taken after it, and the lists
// hold what the states say.
func TestAllOrdersOfReadingAndClosing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newLimitedListener(nil, rapid.IntRange(1, 3).Draw(t, "most"), untold, newGiveUps(discard()), discard())
		var all []*client
		now := time.Now()
		pick := func(what string, ok func(k *client) bool) *client {
			var fit []*client
			for _, k := range all {
				if ok(k) {
					fit = append(fit, k)
				}
			}
			if len(fit) == 0 {
				t.Skip("none")
			}
			return rapid.SampledFrom(fit).Draw(t, what)
		}
		open := func(k *client) bool { return k.state < stateClosing }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				c.mu.Lock()
				defer c.mu.Unlock()
				if c.open() > c.most || c.lingering.Len() > c.linger {
					t.Fatal("more than there is room for")
				}
				for _, k := range all {
					want := map[int]any{stateNew: &c.silent, stateReading: &c.silent, stateInHand: &c.busy, stateResting: &c.idle,
						stateClosing: &c.lingering, stateLingering: &c.lingering}[k.state]
					if k.state == stateClosed && k.list != nil || k.state != stateClosed && any(k.list) != want {
						t.Fatalf("state %d in another list", k.state)
					}
				}
			},
			"comes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				var held []*client
				for _, k := range all {
					if k.state == stateInHand {
						held = append(held, k)
					}
				}
				if k, _ := c.admit(fakeConn{}, now); k != nil {
					all = append(all, k)
				}
				for _, k := range held {
					if k.state != stateInHand {
						t.Fatal("one with a request in hand made room")
					}
				}
			},
			"bytes": func(t *rapid.T) {
				k := pick("reader", func(k *client) bool { return k.state != stateInHand && k.state != stateClosed })
				closing := k.state >= stateClosing
				n, err := k.came([]byte(whole), nil, false)
				if closing != (n == 0 && err == io.EOF) {
					t.Fatal("bytes after the decision to close became a request, or some before it did not")
				}
			},
			"taken": func(t *rapid.T) {
				k := pick("taken", func(k *client) bool { return k.begun && k.state != stateInHand && k.state != stateClosed })
				k.hear()
				if closing := k.state >= stateClosing; k.take() == closing {
					t.Fatal("a request was taken on a connection that closes, or not on one that stays")
				}
			},
			"answered": func(t *rapid.T) {
				k := pick("answered", func(k *client) bool { return k.state == stateInHand })
				k.rest()
				if open(k) && c.draining && k.state == stateResting {
					t.Fatal("it rests in a drain")
				}
			},
			"drain": func(t *rapid.T) {
				var begun []*client
				for _, k := range all {
					if k.state == stateReading || k.state == stateInHand {
						begun = append(begun, k)
					}
				}
				c.drain(rapid.Bool().Draw(t, "on"), now)
				for _, k := range begun {
					if !open(k) {
						t.Fatal("a drain closed a connection with a request begun on it")
					}
				}
			},
			"closes": func(t *rapid.T) {
				k := pick("closes", func(k *client) bool { return k.state != stateClosed })
				_ = k.Close()
				if k.state != stateClosed {
					t.Fatal("it stays")
				}
			},
		})
	})
}
