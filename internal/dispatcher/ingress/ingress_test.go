package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreypond/internal/dispatcher/coordinator"
	"ospreypond/internal/dispatcher/lifecycle"
	"ospreypond/policy"
)

// submitFunc is a function that serves as a Submitter.
type submitFunc func(ctx context.Context, r *coordinator.Request) coordinator.Response

func (f submitFunc) NotifyEnded(*coordinator.Request, coordinator.Response) {}

func (f submitFunc) Submit(ctx context.Context, r *coordinator.Request) coordinator.Response {
	return f(ctx, r)
}

// discard returns a logger without output.
func discard() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// testServer returns a server for the class c that keeps at most sockets connections and submits requests to submit.
func testServer(sockets int, submit submitFunc) (*Server, *lifecycle.Lifecycle) {
	phases := lifecycle.New(nil)
	return New(submit, phases, &policy.Settings{Classes: []policy.Class{{Name: "c"}}, MaxRetryAfter: 2 * time.Second}, sockets, 1<<20, discard()), phases
}

// addr waits until the server listens and returns its address.
func (s *Server) addr(t *testing.T) string {
	t.Helper()
	require.Eventually(t, func() bool { return s.listener.Load() != nil }, 20*time.Second, time.Millisecond)
	return s.listener.Load().Addr().String()
}

// newRequest returns a valid request of the class c.
func newRequest(t *testing.T) *http.Request {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/c/x?y=1", strings.NewReader("body"))
	r.Header.Set("X-Request-ID", "id")
	r.Header.Set("X-Timeout", "1500m")
	return r
}

// Each header that parseHead knows sets its field of the request; unknown names in X-Attrs are skipped.
func TestParseHead(t *testing.T) {
	r := newRequest(t)
	for k, v := range map[string]string{"X-Tenant-Id": "t", "X-Route-Key": "k", "Idempotency-Key": "i", "X-Cost": "2500",
		"X-Retried": "1", "X-Attrs": "slots=2, memory=0.5,new=x", "X-Timeout": "1500u"} {
		r.Header.Set(k, v)
	}
	s, _ := testServer(10, nil)
	got, wait, fault := s.parseHead(r, false)
	require.Nil(t, fault)
	assert.Equal(t, 1500*time.Microsecond, wait)
	assert.Equal(t, &coordinator.Request{ID: "id", Class: "c", Tenant: "t", Key: "k", IdempotencyKey: "i", Retry: true,
		Work: 2500 * time.Microsecond, Slots: 2, Memory: 0.5, Method: "POST", Target: "/c/x?y=1"}, got)
}

// X-Timeout is accepted only as a plain decimal number with the unit m or u, up to maxTimeout.
func TestParseTimeout(t *testing.T) {
	for s, want := range map[string]time.Duration{"480m": 480 * time.Millisecond, "0m": 0, "1.5m": 1500 * time.Microsecond,
		"3600000m": maxTimeout} {
		got, err := parseTimeout(s)
		assert.NoError(t, err, s)
		assert.Equal(t, want, got, s)
	}
	for _, s := range []string{"", "m", "12", "12s", "-1m", "NaNm", "Infm", "1e3m", "0x10m", "1_0m", "+1m", "3600001m",
		"99999999999999999999999m"} {
		_, err := parseTimeout(s)
		assert.Error(t, err, s)
	}
}

// Each kind of response has its status. While the phase is Draining each response closes its connection.
func TestResponses(t *testing.T) {
	for _, tt := range []struct {
		a      coordinator.Response
		status int
	}{
		{coordinator.Response{Kind: coordinator.Served, Result: []byte("r")}, 200},
		{coordinator.Response{Kind: coordinator.Shed, RetryAfter: 1500 * time.Millisecond}, 503},
		{coordinator.Response{Kind: coordinator.Failed}, 502},
		{coordinator.Response{Kind: coordinator.InternalFault}, 500},
	} {
		s, phases := testServer(10, func(context.Context, *coordinator.Request) coordinator.Response { return tt.a })
		phases.Advance(lifecycle.Serving)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, newRequest(t))
		assert.Equal(t, tt.status, w.Code)
		assert.Empty(t, w.Header().Get("Connection"))
		if tt.a.RetryAfter > 0 {
			assert.Equal(t, "1.500", w.Header().Get("Retry-After"))
		}
		phases.Advance(lifecycle.Draining)
		w = httptest.NewRecorder()
		s.ServeHTTP(w, newRequest(t))
		assert.Equal(t, "close", w.Header().Get("Connection"), "a response in phase Draining closes its connection")
	}
}

// A panic in the handler gives the client a 500. net/http alone would close the connection without a response.
func TestPanicGetsAResponse(t *testing.T) {
	s, _ := testServer(10, func(context.Context, *coordinator.Request) coordinator.Response { panic("fault") })
	w := httptest.NewRecorder()
	s.ServeHTTP(w, newRequest(t))
	assert.Equal(t, http.StatusInternalServerError, w.Code)
}

// The readiness probe succeeds only in phase Serving.
func TestReadyOnlyWhileServing(t *testing.T) {
	s, phases := testServer(10, nil)
	for _, p := range []lifecycle.Phase{lifecycle.Starting, lifecycle.Serving, lifecycle.Draining} {
		phases.Advance(p)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/health/ready", nil))
		assert.Equal(t, p == lifecycle.Serving, w.Code == http.StatusOK, p)
	}
}

// Header values that strconv or net/http would accept, but a runner or the decision module would not, are refused with a
// 400 that names the header. The request is not submitted.
func TestBadHeads(t *testing.T) {
	s, _ := testServer(10, func(context.Context, *coordinator.Request) coordinator.Response {
		t.Error("submitted")
		return coordinator.Response{}
	})
	for name, values := range map[string][]string{
		"X-Request-ID": {"", "two words", "a\"b", strings.Repeat("x", 129)}, "Idempotency-Key": {"k\xff"},
		"X-Timeout": {"", "soon", "-5", "1e3m", "Infm"}, "X-Cost": {"Inf", "0x1", "-1", "99999999999999"},
		"X-Retried": {"yes"}, "X-Attrs": {"slots=Inf", "slots=1e9", "slots=-1", "slots", "memory=x", "slots=2000"},
	} {
		for _, v := range values {
			r := newRequest(t)
			r.Header.Set(name, v)
			w := httptest.NewRecorder()
			s.ServeHTTP(w, r)
			assert.Equal(t, http.StatusBadRequest, w.Code, "%s: %q", name, v)
			assert.Contains(t, w.Body.String(), name)
			assert.Equal(t, "close", w.Header().Get("Connection"))
		}
		r := newRequest(t)
		r.Header[http.CanonicalHeaderKey(name)] = []string{"1", "1"}
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		assert.Equal(t, http.StatusBadRequest, w.Code, "%s twice", name)
	}
}

// If the settings name tenants, a request without a tenant or with an unknown one is refused, as it would count against
// no tenant's allowance.
func TestUnknownTenantsAreRefused(t *testing.T) {
	s, _ := testServer(10, func(context.Context, *coordinator.Request) coordinator.Response { return coordinator.Response{} })
	s.rules.Load().tenants["t"] = true
	for tenant, want := range map[string]int{"t": http.StatusOK, "u": http.StatusBadRequest, "": http.StatusBadRequest} {
		r := newRequest(t)
		r.Header.Set("X-Tenant-Id", tenant)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		assert.Equal(t, want, w.Code, "tenant %q", tenant)
	}
}

// listen starts the server on a TCP socket, with net/http in between, and returns its address.
func listen(t *testing.T, s *Server) string {
	t.Helper()
	l := newTCPListener(t)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.http.Close() })
	return l.Addr().String()
}

func newTCPListener(t *testing.T) net.Listener {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

// connect opens a connection that is closed at the end of the test.
func connect(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := new(net.Dialer).DialContext(t.Context(), "tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// dial opens a connection and sends text on it.
func dial(t *testing.T, addr, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c := connect(t, addr)
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
	return c, bufio.NewReader(c)
}

// response holds the parts of a response that tests check.
type response struct {
	status     int
	retryAfter string
	closes     bool // the server closes the connection after it
	body       string
}

func readResponse(t *testing.T, from *bufio.Reader) response {
	t.Helper()
	resp, err := http.ReadResponse(from, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return response{resp.StatusCode, resp.Header.Get("Retry-After"), resp.Close, string(body)}
}

// head is the head of a valid request without the header that says where the body ends.
const head = "POST /c HTTP/1.1\r\nHost: h\r\nX-Request-ID: i\r\nX-Timeout: 9000m\r\n"

// A request with invalid framing, which may be an attempt at request smuggling, gets an error response and its connection
// is closed within the timeouts. Neither the request nor one hidden in its body is submitted.
func TestBadFraming(t *testing.T) {
	s, _ := testServer(20, func(context.Context, *coordinator.Request) coordinator.Response {
		t.Error("submitted")
		return coordinator.Response{}
	})
	addr := listen(t, s)
	const hidden = head + "Content-Length: 0\r\n\r\n"
	for text, want := range map[string]int{
		head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden: http.StatusBadRequest,
		head + "Transfer-Encoding: chunked\r\nContent-length: 5\r\n\r\n0\r\n\r\n" + hidden: http.StatusBadRequest,
		head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nx\r\n0\r\n\r\n":                    http.StatusBadRequest,
		head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n" + hidden:                   http.StatusBadRequest,
		head + "Content-Length: -5\r\n\r\n" + hidden:                                       http.StatusBadRequest,
		head + "Content-Length: 60000000\r\n\r\nbegin":                                     http.StatusRequestEntityTooLarge,
		head + "Content-Length: 9\r\n\r\nhalf":                                             http.StatusRequestTimeout,
		"POST /other HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf":                 http.StatusNotFound,
		head + "X-Pad: " + strings.Repeat("p", 20_000) + "\r\n\r\n":                        http.StatusRequestHeaderFieldsTooLarge,
		head + "X-Never: ending":                                                           http.StatusRequestTimeout,
	} {
		t.Run(text[:min(len(text), 120)], func(t *testing.T) {
			t.Parallel()
			_, from := dial(t, addr, text)
			if want != 0 {
				assert.Equal(t, want, readResponse(t, from).status)
			}
			_, err := from.ReadByte()
			var timeout net.Error
			assert.Error(t, err, "the connection stays open")
			assert.False(t, errors.As(err, &timeout) && timeout.Timeout(), "the connection stays open")
		})
	}
}

// A request is refused with a 503 if its body would make all bodies exceed maxBodyBytes, so that bodies can't use up the
// memory together.
func TestBodyMemoryIsBounded(t *testing.T) {
	s, _ := testServer(10, func(context.Context, *coordinator.Request) coordinator.Response { return coordinator.Response{} })
	s.maxBodyBytes = 3
	w := httptest.NewRecorder()
	s.ServeHTTP(w, newRequest(t))
	assert.Equal(t, http.StatusServiceUnavailable, w.Code)
	assert.NotEmpty(t, w.Header().Get("Retry-After"))
	assert.Zero(t, s.bodyBytes.Load())
}

// Silent connections can't shut out other clients: to accept a new connection, the listener evicts the connection that has
// been quiet for the longest time. Connections with a request in the handler are not evicted, nor an idle one while there
// are quiet ones.
func TestQuietConnectionsAreEvictedFirst(t *testing.T) {
	const sockets = 4
	responses := make(chan coordinator.Response)
	s, _ := testServer(sockets, func(context.Context, *coordinator.Request) coordinator.Response { return <-responses })
	inFlight := func(n int64) {
		t.Helper()
		require.Eventually(t, func() bool { return s.inFlight.Load() == n }, 20*time.Second, time.Millisecond)
	}
	addr := listen(t, s)
	usual := head + "Content-Length: 0\r\n\r\n"
	idle, from := dial(t, addr, usual)
	responses <- coordinator.Response{Kind: coordinator.Served}
	require.Equal(t, http.StatusOK, readResponse(t, from).status)
	_, busy := dial(t, addr, usual)
	inFlight(1)
	for range 5 * sockets {
		dial(t, addr, "")
	}
	_, last := dial(t, addr, usual)
	inFlight(2)
	_, err := io.WriteString(idle, usual)
	require.NoError(t, err)
	inFlight(3)
	for _, r := range []*bufio.Reader{busy, last, from} {
		responses <- coordinator.Response{Kind: coordinator.Served}
		_ = r
	}
	for _, r := range []*bufio.Reader{busy, last, from} {
		assert.Equal(t, http.StatusOK, readResponse(t, r).status)
	}
}

// A connection is not evicted within minQuietToEvict after its accept, so a burst can't evict it before its first bytes
// are read.
func TestYoungConnectionsAreNotEvicted(t *testing.T) {
	c, now := newLimitedListener(nil, 2, noRetryAfter, nil, nil), time.Now()
	pipe := func() net.Conn { a, _ := net.Pipe(); return a }
	old, _ := c.admit(pipe(), now.Add(-time.Second))
	young, _ := c.admit(pipe(), now)
	third, wait := c.admit(pipe(), now)
	require.NotNil(t, third)
	assert.Zero(t, wait)
	assert.Equal(t, stateClosing, old.state)
	_, wait = c.admit(pipe(), now.Add(10*time.Millisecond))
	assert.Equal(t, minQuietToEvict-10*time.Millisecond, wait)
	assert.Equal(t, stateNew, young.state)
	_, wait = c.admit(pipe(), now.Add(minQuietToEvict))
	assert.Zero(t, wait)
	assert.Equal(t, stateClosing, young.state)
}

// Requests beyond maxBusyFraction of the sockets are shed with a 503 and a Retry-After.
func TestTooManyRequestsAreShed(t *testing.T) {
	const sockets = 10
	release := make(chan struct{})
	s, _ := testServer(sockets, func(context.Context, *coordinator.Request) coordinator.Response {
		<-release
		return coordinator.Response{Kind: coordinator.Served}
	})
	addr := listen(t, s)
	for range 8 {
		dial(t, addr, head+"Content-Length: 0\r\n\r\n")
	}
	require.Eventually(t, func() bool { return s.inFlight.Load() == 8 }, 20*time.Second, time.Millisecond)
	_, from := dial(t, addr, head+"Content-Length: 0\r\n\r\n")
	resp := readResponse(t, from)
	assert.Equal(t, http.StatusServiceUnavailable, resp.status)
	assert.NotEmpty(t, resp.retryAfter)
	close(release)
}
