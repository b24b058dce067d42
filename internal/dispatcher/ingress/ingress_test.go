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

// submitter answers as its function says.
type submitter func(ctx context.Context, r *coordinator.Request) coordinator.Response

func (f submitter) NotifyEnded(*coordinator.Request, coordinator.Response) {}

func (f submitter) Submit(ctx context.Context, r *coordinator.Request) coordinator.Response {
	return f(ctx, r)
}

func discard() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func testServer(budget int, to submitter) (*Server, *lifecycle.Lifecycle) {
	life := lifecycle.New(nil)
	return New(to, life, &policy.Settings{Classes: []policy.Class{{Name: "c"}}, MaxRetryAfter: 2 * time.Second}, budget, 1<<20, discard()), life
}

// addr waits until the server listens and tells where.
func (s *Server) addr(t *testing.T) string {
	require.Eventually(t, func() bool { return s.listener.Load() != nil }, 20*time.Second, time.Millisecond)
	return s.listener.Load().Addr().String()
}

func job() *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/c/x?y=1", strings.NewReader("body"))
	r.Header.Set("X-Request-ID", "id")
	r.Header.Set("X-Timeout", "1500m")
	return r
}

func TestParsing(t *testing.T) {
	r := job()
	for k, v := range map[string]string{"X-Tenant-Id": "t", "X-Route-Key": "k", "Idempotency-Key": "i", "X-Cost": "2500",
		"X-Retried": "1", "X-Attrs": "slots=2, memory=0.5,new=x", "X-Timeout": "1500u"} {
		r.Header.Set(k, v)
	}
	s, _ := testServer(10, nil)
	got, wait, fault := s.head(r, false)
	require.Nil(t, fault)
	assert.Equal(t, 1500*time.Microsecond, wait)
	assert.Equal(t, &coordinator.Request{ID: "id", Class: "c", Tenant: "t", Key: "k", IdempotencyKey: "i", Retry: true,
		Work: 2500 * time.Microsecond, Slots: 2, Memory: 0.5, Method: "POST", Target: "/c/x?y=1"}, got)
}

func TestWaits(t *testing.T) {
	for s, want := range map[string]time.Duration{"480m": 480 * time.Millisecond, "0m": 0, "1.5m": 1500 * time.Microsecond,
		"3600000m": maxWait} {
		got, err := parseWait(s)
		assert.NoError(t, err, s)
		assert.Equal(t, want, got, s)
	}
	for _, s := range []string{"", "m", "12", "12s", "-1m", "NaNm", "Infm", "1e3m", "0x10m", "1_0m", "+1m", "3600001m",
		"99999999999999999999999m"} {
		_, err := parseWait(s)
		assert.Error(t, err, s)
	}
}

func TestAnswers(t *testing.T) {
	for _, tt := range []struct {
		a      coordinator.Response
		status int
	}{
		{coordinator.Response{Kind: coordinator.Served, Result: []byte("r")}, 200},
		{coordinator.Response{Kind: coordinator.Shed, RetryAfter: 1500 * time.Millisecond}, 503},
		{coordinator.Response{Kind: coordinator.Failed}, 502},
		{coordinator.Response{Kind: coordinator.InternalFault}, 500},
	} {
		s, life := testServer(10, func(context.Context, *coordinator.Request) coordinator.Response { return tt.a })
		life.Advance(lifecycle.Serving)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, job())
		assert.Equal(t, tt.status, w.Code)
		assert.Empty(t, w.Header().Get("Connection"))
		if tt.a.RetryAfter > 0 {
			assert.Equal(t, "1.500", w.Header().Get("Retry-After"))
		}
		life.Advance(lifecycle.Draining)
		w = httptest.NewRecorder()
		s.ServeHTTP(w, job())
		assert.Equal(t, "close", w.Header().Get("Connection"), "an answer while draining keeps its connection")
	}
}

// Guards against a panic that cuts a client's connection: net/http would close it without an answer.
func TestPanicIsAnswered(t *testing.T) {
	s, _ := testServer(10, func(context.Context, *coordinator.Request) coordinator.Response { panic("fault") })
	w := httptest.NewRecorder()
	s.ServeHTTP(w, job())
	assert.Equal(t, http.StatusInternalServerError, w.Code)
}

func TestReadyOnlyWhileServing(t *testing.T) {
	s, life := testServer(10, nil)
	for _, p := range []lifecycle.Phase{lifecycle.Starting, lifecycle.Serving, lifecycle.Draining} {
		life.Advance(p)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/health/ready", nil))
		assert.Equal(t, p == lifecycle.Serving, w.Code == http.StatusOK, p)
	}
}

// Guards against input that strconv or net/http takes and that a runner or the module would choke on: each is
// turned away with a 4xx that names its header, and never submitted.
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
			r := job()
			r.Header.Set(name, v)
			w := httptest.NewRecorder()
			s.ServeHTTP(w, r)
			assert.Equal(t, http.StatusBadRequest, w.Code, "%s: %q", name, v)
			assert.Contains(t, w.Body.String(), name)
			assert.Equal(t, "close", w.Header().Get("Connection"))
		}
		r := job()
		r.Header[http.CanonicalHeaderKey(name)] = []string{"1", "1"}
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		assert.Equal(t, http.StatusBadRequest, w.Code, "%s twice", name)
	}
}

// Guards against traffic that names no tenant, or an unknown one, and so would escape every allowance.
func TestTenantsAreKnown(t *testing.T) {
	s, _ := testServer(10, func(context.Context, *coordinator.Request) coordinator.Response { return coordinator.Response{} })
	s.names.Load().tenants["t"] = true
	for tenant, want := range map[string]int{"t": http.StatusOK, "u": http.StatusBadRequest, "": http.StatusBadRequest} {
		r := job()
		r.Header.Set("X-Tenant-Id", tenant)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		assert.Equal(t, want, w.Code, "tenant %q", tenant)
	}
}

// listen serves on a socket, as only there net/http does its part.
func listen(t *testing.T, s *Server) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.http.Close() })
	return l.Addr().String()
}

func dial(t *testing.T, addr, text string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	return c, bufio.NewReader(c)
}

func response(t *testing.T, from *bufio.Reader) *http.Response {
	resp, err := http.ReadResponse(from, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	return resp
}

const head = "POST /c HTTP/1.1\r\nHost: h\r\nX-Request-ID: i\r\nX-Timeout: 9000m\r\n"

// Guards against what stands on the wire and cannot be read: it gets an error and a close, in time, and nothing
// of it is submitted. First of all a request hidden in the body of another.
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
				assert.Equal(t, want, response(t, from).StatusCode)
			}
			_, err := from.ReadByte()
			var late net.Error
			assert.Error(t, err, "the connection stays")
			assert.False(t, errors.As(err, &late) && late.Timeout(), "the connection stays")
		})
	}
}

// Guards against bodies that together use up the memory.
func TestBodiesInHandAreBounded(t *testing.T) {
	s, _ := testServer(10, func(context.Context, *coordinator.Request) coordinator.Response { return coordinator.Response{} })
	s.memory = 3
	w := httptest.NewRecorder()
	s.ServeHTTP(w, job())
	assert.Equal(t, http.StatusServiceUnavailable, w.Code)
	assert.NotEmpty(t, w.Header().Get("Retry-After"))
	assert.Zero(t, s.held.Load())
}

// Guards against connections that say nothing and shut others out: the longest silent of them go, but none with
// a request in hand, nor an idle one of a usual client while others are there.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	const room = 4
	answers := make(chan coordinator.Response)
	s, _ := testServer(room, func(context.Context, *coordinator.Request) coordinator.Response { return <-answers })
	taken := func(n int64) {
		require.Eventually(t, func() bool { return s.taken.Load() == n }, 20*time.Second, time.Millisecond)
	}
	addr := listen(t, s)
	usual := head + "Content-Length: 0\r\n\r\n"
	kept, from := dial(t, addr, usual)
	answers <- coordinator.Response{Kind: coordinator.Served}
	require.Equal(t, http.StatusOK, response(t, from).StatusCode)
	_, busy := dial(t, addr, usual)
	taken(1)
	for range 5 * room {
		dial(t, addr, "")
	}
	_, last := dial(t, addr, usual)
	taken(2)
	_, err := io.WriteString(kept, usual)
	require.NoError(t, err)
	taken(3)
	for _, r := range []*bufio.Reader{busy, last, from} {
		answers <- coordinator.Response{Kind: coordinator.Served}
		_ = r
	}
	for _, r := range []*bufio.Reader{busy, last, from} {
		assert.Equal(t, http.StatusOK, response(t, r).StatusCode)
	}
}

// Guards against a burst that pushes out connections before their first bytes are read.
func TestYoungConnectionsAreNotPushedOut(t *testing.T) {
	c, now := newLimitedListener(nil, 2, untold, nil, nil), time.Now()
	pipe := func() net.Conn { a, _ := net.Pipe(); return a }
	old, _ := c.admit(pipe(), now.Add(-time.Second))
	young, _ := c.admit(pipe(), now)
	third, wait := c.admit(pipe(), now)
	require.NotNil(t, third)
	assert.Zero(t, wait)
	assert.Equal(t, stateClosing, old.state)
	_, wait = c.admit(pipe(), now.Add(10*time.Millisecond))
	assert.Equal(t, speakIn-10*time.Millisecond, wait)
	assert.Equal(t, stateNew, young.state)
	_, wait = c.admit(pipe(), now.Add(speakIn))
	assert.Zero(t, wait)
	assert.Equal(t, stateClosing, young.state)
}

// Guards against more requests than there are sockets for: the last ones are told so.
func TestTooManyRequestsAreRefused(t *testing.T) {
	const room = 10
	release := make(chan struct{})
	s, _ := testServer(room, func(context.Context, *coordinator.Request) coordinator.Response {
		<-release
		return coordinator.Response{Kind: coordinator.Served}
	})
	addr := listen(t, s)
	for range 8 {
		dial(t, addr, head+"Content-Length: 0\r\n\r\n")
	}
	require.Eventually(t, func() bool { return s.taken.Load() == 8 }, 20*time.Second, time.Millisecond)
	_, from := dial(t, addr, head+"Content-Length: 0\r\n\r\n")
	resp := response(t, from)
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	assert.NotEmpty(t, resp.Header.Get("Retry-After"))
	close(release)
}
