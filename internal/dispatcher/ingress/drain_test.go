package ingress

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreypond/internal/dispatcher/coordinator"
	"ospreypond/internal/dispatcher/lifecycle"
	"ospreypond/policy"
)

// serving starts a server on a socket of its own, answering every job at once.
func serving(t *testing.T) (*Server, string) {
	t.Helper()
	s, life := testServer(64, func(context.Context, *coordinator.Request) coordinator.Response {
		return coordinator.Response{Kind: coordinator.Served, Result: []byte("r")}
	})
	life.Advance(lifecycle.Serving)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.http.Shutdown(ctx)
	})
	return s, l.Addr().String()
}

func send(t *testing.T, c net.Conn, r *bufio.Reader, path string) *http.Response {
	t.Helper()
	head := "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n"
	if path != "/health/ready" {
		head = "POST " + path + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + path + "\r\nX-Timeout: 900m\r\n" +
			"Content-Length: 4\r\n\r\nbody"
	}
	_, err := c.Write([]byte(head))
	require.NoError(t, err)
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	resp.Body.Close()
	return resp
}

func closed(c net.Conn, within time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := c.Read(make([]byte, 1))
	return err != nil && !strings.Contains(err.Error(), "timeout")
}

// After a drain: ready says no, an idle kept connection is closed, a silent one too, an answer closes its
// connection, and new connections are still served. After an undrain: all as before.
func TestDrainSendsClientsElsewhere(t *testing.T) {
	s, addr := serving(t)
	idle, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer idle.Close()
	assert.Equal(t, 200, send(t, idle, bufio.NewReader(idle), "/c/1").StatusCode)
	busy, err := net.Dial("tcp", addr) // asks again and again: every answer after the drain closes it
	require.NoError(t, err)
	defer busy.Close()
	silent, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	dialed := time.Now()
	defer silent.Close()

	s.Drain()
	assert.True(t, closed(idle, 150*time.Millisecond), "an idle kept connection is closed at once")
	resp := send(t, busy, bufio.NewReader(busy), "/health/ready")
	assert.Equal(t, 503, resp.StatusCode)
	assert.True(t, resp.Close)
	fresh, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer fresh.Close()
	resp = send(t, fresh, bufio.NewReader(fresh), "/c/2")
	assert.Equal(t, 200, resp.StatusCode, "clients the front still sends are served")
	assert.True(t, resp.Close, "and told to go")
	// Sooner than the limit on a first byte (2.5 s) would have closed it.
	assert.True(t, closed(silent, time.Until(dialed.Add(firstWithin*3/4))), "a connection that never brought a request is closed")

	s.Undrain()
	again, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer again.Close()
	r := bufio.NewReader(again)
	resp = send(t, again, r, "/health/ready")
	assert.Equal(t, 200, resp.StatusCode)
	assert.False(t, resp.Close, "connections are kept again")
	assert.Equal(t, 200, send(t, again, r, "/c/3").StatusCode)
	assert.False(t, closed(again, 600*time.Millisecond), "and stay")
}

// New settings: a request of a new class is taken at once, one of a class that vanished is told so.
func TestRetuneChangesTheClassesTaken(t *testing.T) {
	s, life := testServer(10, func(context.Context, *coordinator.Request) coordinator.Response {
		return coordinator.Response{Kind: coordinator.Served}
	})
	life.Advance(lifecycle.Serving)
	s.Retune(&policy.Settings{Classes: []policy.Class{{Name: "d"}}})
	r := httptest.NewRequest(http.MethodPost, "/d/x", strings.NewReader("body"))
	r.Header = job().Header
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	assert.Equal(t, http.StatusOK, w.Code, "the new class")
	w = httptest.NewRecorder()
	s.ServeHTTP(w, job())
	assert.Equal(t, http.StatusNotFound, w.Code, "the class that vanished")
	assert.Contains(t, w.Body.String(), `no class "c"`)
}
