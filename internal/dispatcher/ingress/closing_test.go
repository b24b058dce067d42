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

	"ospreypond/internal/dispatcher/coordinator"
	"ospreypond/internal/dispatcher/lifecycle"
	"ospreypond/policy"
)

// fullRequest is a request without a body.
const fullRequest = head + "Content-Length: 0\r\n\r\n"

// hookedListener wraps its connections, so that they call afterRead after each read of bytes from the socket.
type hookedListener struct {
	net.Listener
	afterRead atomic.Pointer[func()] // nil: no function is called
}

// hookedConn is a connection of a hookedListener.
type hookedConn struct {
	net.Conn
	in *hookedListener
}

func (s *hookedListener) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookedConn{c, s}, nil
}

func (c *hookedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if f := c.in.afterRead.Load(); f != nil && n > 0 {
		(*f)()
	}
	return n, err
}

func (c *hookedConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// serveHooked starts a server on a hookedListener. The response to each request is its id; submitted counts the requests.
func serveHooked(t *testing.T) (s *Server, phases *lifecycle.Lifecycle, at *hookedListener, submitted *atomic.Int64) {
	t.Helper()
	submitted = new(atomic.Int64)
	s, phases = testServer(20, func(_ context.Context, r *coordinator.Request) coordinator.Response {
		submitted.Add(1)
		return coordinator.Response{Kind: coordinator.Served, Result: []byte(r.ID)}
	})
	phases.Advance(lifecycle.Serving)
	at = &hookedListener{Listener: newTCPListener(t)}
	go func() { _ = s.Serve(at) }()
	t.Cleanup(func() { _ = s.http.Close() })
	return s, phases, at, submitted
}

// listLengths returns how many connections are in the listener's lists quiet, idle, busy and lingering.
func listLengths(s *Server) (lengths []int) {
	c := s.listener.Load()
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range []interface{ Len() int }{&c.quiet, &c.idle, &c.busy, &c.lingering} {
		lengths = append(lengths, l.Len())
	}
	return lengths
}

// requireStates waits until the listener's lists have these lengths, and fails the test if they don't.
func requireStates(t *testing.T, s *Server, quiet, idle, busy, lingering int) {
	t.Helper()
	require.Eventually(t, func() bool { return assert.ObjectsAreEqual([]int{quiet, idle, busy, lingering}, listLengths(s)) },
		20*time.Second, time.Millisecond)
}

// assertClosedCleanly asserts that no further byte arrives, and that the connection ends without a reset.
func assertClosedCleanly(t *testing.T, from *bufio.Reader) {
	t.Helper()
	_, err := from.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// If a single byte of the next request was read before a drain or a stop closes idle connections, the connection stays open
// until this request has its response. net/http's Shutdown would close it.
func TestOneByteReadKeepsConnectionOpen(t *testing.T) {
	for name, end := range map[string]func(s *Server, phases *lifecycle.Lifecycle) (ended func()){
		"a drain": func(s *Server, _ *lifecycle.Lifecycle) func() { s.Drain(); return func() {} },
		"a stop": func(s *Server, phases *lifecycle.Lifecycle) func() {
			phases.Advance(lifecycle.Draining)
			over := make(chan error, 1)
			go func() { over <- s.Shutdown(context.Background()) }()
			for !s.stopping.Load() {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(3 * stopSweepInterval)
			return func() { assert.NoError(t, <-over) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, phases, _, submitted := serveHooked(t)
			c, from := dial(t, s.addr(t), fullRequest)
			require.Equal(t, http.StatusOK, readResponse(t, from).status)
			requireStates(t, s, 0, 1, 0, 0)
			_, err := io.WriteString(c, fullRequest[:1])
			require.NoError(t, err)
			requireStates(t, s, 1, 0, 0, 0)
			ended := end(s, phases)
			requireStates(t, s, 1, 0, 0, 0)
			_, err = io.WriteString(c, fullRequest[1:])
			require.NoError(t, err)
			resp := readResponse(t, from)
			assert.Equal(t, http.StatusOK, resp.status)
			assert.True(t, resp.closes, "the response closes the connection")
			assertClosedCleanly(t, from)
			_ = c.Close()
			ended()
			assert.EqualValues(t, 2, submitted.Load())
		})
	}
}

// If the close begins while the bytes of a request are read from the socket, the request is not forwarded. Its client
// sees a close without a reset and without a response, and may send the request elsewhere.
func TestRequestReadAfterStartOfCloseIsNotForwarded(t *testing.T) {
	for name, first := range map[string]string{"an idle connection": fullRequest, "a new connection": ""} {
		t.Run(name, func(t *testing.T) {
			s, _, at, submitted := serveHooked(t)
			c, from := dial(t, s.addr(t), first)
			before := int64(0)
			if first != "" {
				require.Equal(t, http.StatusOK, readResponse(t, from).status)
				requireStates(t, s, 0, 1, 0, 0)
				before = 1
			} else {
				requireStates(t, s, 1, 0, 0, 0)
			}
			read, closing := make(chan bool, 9), make(chan bool)
			wait := func() { read <- true; <-closing }
			at.afterRead.Store(&wait)
			_, err := io.WriteString(c, fullRequest)
			require.NoError(t, err)
			<-read
			s.listener.Load().setDraining(true, time.Now().Add(quietTimeout)) // by then a new connection is quiet for long enough
			at.afterRead.Store(nil)
			close(closing)
			assertClosedCleanly(t, from)
			assert.EqualValues(t, before, submitted.Load())
		})
	}
}

// A close never destroys a response, even if the client has sent bytes after its request or is still sending.
func TestUnreadBytesDoNotDestroyResponse(t *testing.T) {
	flood := strings.Repeat("x", 200<<10)
	for name, c := range map[string]struct {
		text   string
		drain  bool
		status int
	}{
		"a bad header":                              {strings.Replace(fullRequest, "9000m", "soon", 1) + flood, false, http.StatusBadRequest},
		"an unknown class":                          {"POST /d HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n" + flood, false, http.StatusNotFound},
		"a line that is not HTTP":                   {"nonsense\r\n\r\n" + flood, false, http.StatusBadRequest},
		"an unknown transfer encoding":              {head + "Transfer-Encoding: odd\r\n\r\n" + flood, false, http.StatusNotImplemented},
		"an endless head":                           {head + "X-Pad: " + flood, false, http.StatusRequestHeaderFieldsTooLarge},
		"a body too large":                          {head + "Content-Length: 900000\r\n\r\n" + flood, false, http.StatusRequestEntityTooLarge},
		"a served request and unread bytes":         {fullRequest + flood[:3000], true, http.StatusOK},
		"a served request and half of the next one": {fullRequest + fullRequest[:30], true, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, _, _, _ := serveHooked(t)
			s.drained.Store(c.drain)
			conn := connect(t, s.addr(t))
			require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
			go func() { _, _ = io.WriteString(conn, c.text) }()
			time.Sleep(100 * time.Millisecond) // the response arrives before the client reads it, so a reset would destroy it
			from := bufio.NewReader(conn)
			assert.Equal(t, c.status, readResponse(t, from).status)
			assertClosedCleanly(t, from)
		})
	}
}

// The disconnect of a client with a request in the handler is noticed even if the client sent bytes early, before it.
func TestDisconnectIsNoticedBehindEarlyBytes(t *testing.T) {
	for name, c := range map[string]struct {
		early string
		reset bool
	}{
		"a close": {"", false}, "a reset": {"", true}, "a close after a byte": {"P", false}, "a reset after a byte": {"P", true},
		"a close after a request": {fullRequest, false}, "a reset after more bytes than are kept": {strings.Repeat("x", maxEarlyBytes+5000), true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			submitted, disconnected := make(chan bool), make(chan time.Time, 1)
			s, _ := testServer(20, func(ctx context.Context, _ *coordinator.Request) coordinator.Response {
				submitted <- true
				<-ctx.Done()
				disconnected <- time.Now()
				return coordinator.Response{Kind: coordinator.ClientDisconnected}
			})
			conn, _ := dial(t, listen(t, s), fullRequest)
			<-submitted
			_, err := io.WriteString(conn, c.early)
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond) // the server reads the early bytes before the disconnect
			if c.reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
			at := time.Now()
			select {
			case noticed := <-disconnected:
				assert.Less(t, noticed.Sub(at), 300*time.Millisecond)
			case <-time.After(20 * time.Second):
				t.Fatal("the disconnect was not noticed within 20 s")
			}
		})
	}
}

// Requests that arrive early are served in order. If more early bytes arrive than are kept, the connection is closed after
// the response.
func TestEarlyRequestsAreServedInOrder(t *testing.T) {
	release := make(chan bool)
	s, _ := testServer(20, func(_ context.Context, r *coordinator.Request) coordinator.Response {
		<-release
		return coordinator.Response{Kind: coordinator.Served, Result: r.Body}
	})
	addr := listen(t, s)
	conn, from := dial(t, addr, head+"Content-Length: 3\r\n\r\none")
	requireStates(t, s, 0, 0, 1, 0)
	for _, text := range []string{head + "Content-Length: 3", "\r\n\r\nt", "wo" + head + "Content-Length: 5\r\n\r\nthree"} {
		_, err := io.WriteString(conn, text)
		require.NoError(t, err)
		time.Sleep(10 * time.Millisecond)
	}
	for _, want := range []string{"one", "two", "three"} {
		release <- true
		assert.Equal(t, want, readResponse(t, from).body)
	}

	much, from := dial(t, addr, fullRequest)
	requireStates(t, s, 0, 1, 1, 0)
	_, err := io.WriteString(much, strings.Repeat("x", maxEarlyBytes+2000))
	require.NoError(t, err)
	k := s.listener.Load().busy.Front().Value.(*clientConn)
	require.Eventually(t, func() bool { s.listener.Load().mu.Lock(); defer s.listener.Load().mu.Unlock(); return k.earlyOverflow },
		20*time.Second, time.Millisecond)
	release <- true
	require.Equal(t, http.StatusOK, readResponse(t, from).status)
	assertClosedCleanly(t, from)
}

// While each open connection has a request in the handler, a new connection is refused with a 503. Its Retry-After is that
// of the current settings.
func TestNewConnectionIsRefusedWithRetryAfterWhenFull(t *testing.T) {
	release := make(chan bool)
	s, _ := testServer(2, func(context.Context, *coordinator.Request) coordinator.Response {
		<-release
		return coordinator.Response{Kind: coordinator.Served}
	})
	addr := listen(t, s)
	_, one := dial(t, addr, fullRequest)
	requireStates(t, s, 0, 0, 1, 0)
	s.listener.Load().mu.Lock()
	s.listener.Load().maxConns = 1
	s.listener.Load().mu.Unlock()
	for n, tt := range []struct {
		allowed time.Duration
		want    string
	}{{2 * time.Second, "1.000"}, {300 * time.Millisecond, "0.300"}, {0, ""}, {0, ""}, {time.Minute, "1.000"}} { // more connections than maxLingering
		s.UpdateSettings(&policy.Settings{Classes: []policy.Class{{Name: "c"}}, MaxRetryAfter: tt.allowed})
		_, from := dial(t, addr, fullRequest)
		resp := readResponse(t, from)
		assert.Equal(t, http.StatusServiceUnavailable, resp.status)
		assert.Equal(t, tt.want, resp.retryAfter, "the Retry-After by the current settings, connection %d", n)
	}
	assert.EqualValues(t, 5, s.GiveUps().Counts()[headEvicted])
	release <- true
	assert.Equal(t, http.StatusOK, readResponse(t, one).status)
}

// noRetryAfter is the retryAfter of a listener that sends no Retry-After in its responses.
func noRetryAfter() time.Duration { return 0 }

// Clients that never close their side keep each connection for lingerTimeout at most, and at most maxLingering connections
// together. Other clients are served during that time.
func TestLingeringIsBounded(t *testing.T) {
	s, _, _, _ := serveHooked(t)
	addr := s.addr(t)
	for range 20 {
		_, from := dial(t, addr, "nonsense\r\n\r\n")
		assert.Equal(t, http.StatusBadRequest, readResponse(t, from).status)
		assert.LessOrEqual(t, listLengths(s)[3], s.listener.Load().maxLingering)
	}
	usual, from := dial(t, addr, fullRequest)
	assert.Equal(t, http.StatusOK, readResponse(t, from).status)
	_ = usual.Close()
	at := time.Now()
	requireStates(t, s, 0, 0, 0, 0)
	assert.Less(t, time.Since(at), lingerTimeout+time.Second)
}

// Shutdown waits while a client reads its response, and returns when the client has closed the connection.
func TestShutdownWaitsForLastResponses(t *testing.T) {
	release := make(chan bool)
	s, phases := testServer(20, func(context.Context, *coordinator.Request) coordinator.Response {
		<-release
		return coordinator.Response{Kind: coordinator.Served, Result: []byte("r")}
	})
	phases.Advance(lifecycle.Serving)
	conn, from := dial(t, listen(t, s), fullRequest)
	requireStates(t, s, 0, 0, 1, 0)
	phases.Advance(lifecycle.Draining)
	over := make(chan error, 1)
	go func() { over <- s.Shutdown(context.Background()) }()
	require.Eventually(t, s.stopping.Load, 20*time.Second, time.Millisecond)
	close(release)
	requireStates(t, s, 0, 0, 0, 1)
	assert.Empty(t, over, "Shutdown waits for the client to read its response")
	assert.Equal(t, http.StatusOK, readResponse(t, from).status)
	_ = conn.Close()
	assert.NoError(t, <-over)
}
