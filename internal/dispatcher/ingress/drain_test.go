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

// startServer starts a server that responds to each request at once, and returns its address.
func startServer(t *testing.T) (*Server, string) {
	t.Helper()
	s, phases := testServer(64, func(context.Context, *coordinator.Request) coordinator.Response {
		return coordinator.Response{Kind: coordinator.Served, Result: []byte("r")}
	})
	phases.Advance(lifecycle.Serving)
	l := newTCPListener(t)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.http.Shutdown(ctx)
	})
	return s, l.Addr().String()
}

// send sends a request, or the readiness probe, and returns the response.
func send(t *testing.T, c net.Conn, r *bufio.Reader, path string) response {
	t.Helper()
	head := "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n"
	if path != "/health/ready" {
		head = "POST " + path + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + path + "\r\nX-Timeout: 900m\r\n" +
			"Content-Length: 4\r\n\r\nbody"
	}
	_, err := c.Write([]byte(head))
	require.NoError(t, err)
	return readResponse(t, r)
}

// isClosed reports whether the server closes the connection within the given time.
func isClosed(c net.Conn, within time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := c.Read(make([]byte, 1))
	return err != nil && !strings.Contains(err.Error(), "timeout")
}

// During a drain the readiness probe fails, connections without a request are closed, each response closes its connection,
// and requests on new connections are still served. After Undrain the probe succeeds and connections stay open again.
func TestDrainClosesConnectionsAndUndrainKeepsThem(t *testing.T) {
	s, addr := startServer(t)
	idle := connect(t, addr)
	assert.Equal(t, 200, send(t, idle, bufio.NewReader(idle), "/c/1").status)
	busy := connect(t, addr) // its first request comes after the drain began
	quiet := connect(t, addr)
	dialed := time.Now()

	s.Drain()
	assert.True(t, isClosed(idle, 150*time.Millisecond), "an idle connection is closed at once")
	resp := send(t, busy, bufio.NewReader(busy), "/health/ready")
	assert.Equal(t, 503, resp.status)
	assert.True(t, resp.closes)
	fresh := connect(t, addr)
	resp = send(t, fresh, bufio.NewReader(fresh), "/c/2")
	assert.Equal(t, 200, resp.status, "clients on new connections are served")
	assert.True(t, resp.closes, "the response closes the connection")
	// firstByteTimeout (2.5 s) would close it too, but later than this.
	assert.True(t, isClosed(quiet, time.Until(dialed.Add(firstByteTimeout*3/4))), "a connection without a request is closed")

	s.Undrain()
	last := connect(t, addr)
	r := bufio.NewReader(last)
	resp = send(t, last, r, "/health/ready")
	assert.Equal(t, 200, resp.status)
	assert.False(t, resp.closes, "the response does not close the connection")
	assert.Equal(t, 200, send(t, last, r, "/c/3").status)
	assert.False(t, isClosed(last, 600*time.Millisecond), "the connection stays open")
}

// After UpdateSettings a request of a new class is accepted, and a request of a removed class is refused.
func TestUpdateSettingsChangesAcceptedClasses(t *testing.T) {
	s, phases := testServer(10, func(context.Context, *coordinator.Request) coordinator.Response {
		return coordinator.Response{Kind: coordinator.Served}
	})
	phases.Advance(lifecycle.Serving)
	s.UpdateSettings(&policy.Settings{Classes: []policy.Class{{Name: "d"}}})
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/d/x", strings.NewReader("body"))
	r.Header = newRequest(t).Header
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	assert.Equal(t, http.StatusOK, w.Code, "the new class")
	w = httptest.NewRecorder()
	s.ServeHTTP(w, newRequest(t))
	assert.Equal(t, http.StatusNotFound, w.Code, "the removed class")
	assert.Contains(t, w.Body.String(), `no class "c"`)
}
