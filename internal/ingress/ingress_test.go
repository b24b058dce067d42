package ingress

import (
	"bufio"
	"context"
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

	"ospreypond/internal/exchange"
	"ospreypond/internal/lifecycle"
)

// submitter answers as its function says.
type submitter func(ctx context.Context, r *exchange.Request) exchange.Answer

func (f submitter) Submit(ctx context.Context, r *exchange.Request) exchange.Answer { return f(ctx, r) }

func testServer(budget int, to submitter) (*Server, *lifecycle.Lifecycle) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	life := lifecycle.New(nil)
	return New(to, life, []string{"c"}, budget, log), life
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
	got, wait, err := parse(r)
	require.NoError(t, err)
	assert.Equal(t, 1500*time.Microsecond, wait)
	assert.Equal(t, &exchange.Request{ID: "id", Class: "c", Tenant: "t", Key: "k", IdempotencyKey: "i", Retry: true,
		Work: 2500 * time.Microsecond, Slots: 2, Memory: 0.5, Method: "POST", Target: "/c/x?y=1"}, got)
}

func TestWaits(t *testing.T) {
	for s, want := range map[string]time.Duration{"480m": 480 * time.Millisecond, "0m": 0, "1.5m": 1500 * time.Microsecond,
		"99999999999999m": maxWait} {
		got, err := parseWait(s)
		assert.NoError(t, err, s)
		assert.Equal(t, want, got, s)
	}
	for _, s := range []string{"", "m", "12", "12s", "-1m", "NaNm", "1e999m"} {
		_, err := parseWait(s)
		assert.Error(t, err, s)
	}
}

func TestAnswers(t *testing.T) {
	for _, tt := range []struct {
		a      exchange.Answer
		status int
	}{
		{exchange.Answer{Kind: exchange.Served, Result: []byte("r")}, 200},
		{exchange.Answer{Kind: exchange.Shed, RetryAfter: 1500 * time.Millisecond}, 503},
		{exchange.Answer{Kind: exchange.Failed}, 502},
		{exchange.Answer{Kind: exchange.Broken}, 500},
	} {
		s, life := testServer(10, func(context.Context, *exchange.Request) exchange.Answer { return tt.a })
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
	s, _ := testServer(10, func(context.Context, *exchange.Request) exchange.Answer { panic("fault") })
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

// Guards against clients that take all sockets: beyond its part of them the server still answers, with a refusal.
func TestCrowdIsToldSo(t *testing.T) {
	s, _ := testServer(10, func(context.Context, *exchange.Request) exchange.Answer {
		return exchange.Answer{Kind: exchange.Served}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.http.Close() })
	for n := range 10 {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = io.WriteString(c, "POST /c HTTP/1.1\r\nHost: h\r\nX-Request-ID: i\r\nX-Timeout: 9m\r\nContent-Length: 0\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		if n < 8 {
			assert.Equal(t, http.StatusOK, resp.StatusCode)
		} else {
			assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			assert.True(t, resp.Close)
			assert.NotEmpty(t, resp.Header.Get("Retry-After"))
		}
	}
}
