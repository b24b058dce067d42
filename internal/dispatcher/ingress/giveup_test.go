package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreypond/internal/dispatcher/coordinator"
)

// Each request that is given up before the coordinator sees it is counted once, under its reason, whether net/http, the
// listener or the handler gave it up.
func TestGiveUpsAreCountedByReason(t *testing.T) {
	for _, c := range []struct {
		name, text string
		disconnect bool // the client closes after sending
		reason     string
	}{
		{"net/http refuses the head", head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n", false, headRefused},
		{"the head never ends", head + "X-Never: ending", false, headSlow},
		{"the client disconnects within the head", head + "X-Half: ", true, headDisconnected},
		{"the body never comes", head + "Content-Length: 9\r\n\r\nhalf", false, bodySlow},
		{"the client disconnects within the body", head + "Content-Length: 9\r\n\r\nhalf", true, bodyDisconnected},
		{"a bad header", "POST /c HTTP/1.1\r\nHost: h\r\nX-Request-ID: i\r\nX-Timeout: 9\r\nContent-Length: 0\r\n\r\n", false,
			"header:X-Timeout"},
		{"an unknown class", "POST /d HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", false, unknownClass},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s, _ := testServer(20, func(context.Context, *coordinator.Request) coordinator.Response {
				t.Error("submitted")
				return coordinator.Response{}
			})
			conn, from := dial(t, listen(t, s), c.text)
			if c.disconnect {
				require.NoError(t, conn.(*net.TCPConn).CloseWrite())
			}
			_, _ = from.ReadByte()
			assert.Eventually(t, func() bool { return s.GiveUps().Counts()[c.reason] == 1 }, 5*time.Second,
				5*time.Millisecond, "%v", s.GiveUps().Counts())
			assert.Len(t, s.GiveUps().Counts(), 1, "counted once: %v", s.GiveUps().Counts())
		})
	}
}

// A connection that closes while it is idle after its requests, or without a byte, is not counted as a request given up.
func TestConnectionsWithoutRequestAreNoGiveUps(t *testing.T) {
	s, _ := testServer(20, func(context.Context, *coordinator.Request) coordinator.Response {
		return coordinator.Response{Kind: coordinator.Served}
	})
	addr := listen(t, s)
	used, from := dial(t, addr, head+"Content-Length: 0\r\n\r\n")
	readResponse(t, from)
	quiet, _ := dial(t, addr, "")
	require.NoError(t, used.Close())
	require.NoError(t, quiet.Close())
	c := s.listener.Load()
	require.Eventually(t, func() bool { return c.empty() }, 5*time.Second,
		time.Millisecond, "both are closed and in none of the listener's lists")
	// A truncated request afterwards is counted, which shows that the server counts.
	truncated, _ := dial(t, addr, head)
	require.NoError(t, truncated.Close())
	assert.Eventually(t, func() bool { return len(s.GiveUps().Counts()) > 0 }, 5*time.Second, 5*time.Millisecond)
	assert.Equal(t, map[string]int64{headDisconnected: 1}, s.GiveUps().Counts())
}

// Chunked bodies are read, even if they arrive in parts or after other requests on the connection. A request with both
// Content-Length and Transfer-Encoding is refused, also after other requests. net/http alone would accept it.
func TestChunkedBodiesAreReadAndSmugglingIsRefused(t *testing.T) {
	got := make(chan string, 10)
	s, _ := testServer(20, func(_ context.Context, r *coordinator.Request) coordinator.Response {
		got <- string(r.Body)
		return coordinator.Response{Kind: coordinator.Served, Result: r.Body}
	})
	addr := listen(t, s)
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	c, from := dial(t, addr, "")
	for i, part := range []string{chunked[:20], chunked[20:], "3\r\nab", "c\r\n", "2;x=1\r\nde\r\n0\r\n\r\n",
		head + "Content-Length: 2\r\n\r\nfg" + chunked + "1\r\nh\r\n0\r\n\r\n"} {
		if i > 0 {
			time.Sleep(30 * time.Millisecond)
		}
		_, err := io.WriteString(c, part)
		require.NoError(t, err)
	}
	for _, want := range []string{"abcde", "fg", "h"} {
		resp := readResponse(t, from)
		assert.Equal(t, http.StatusOK, resp.status)
		assert.Equal(t, want, <-got)
	}
	_, err := io.WriteString(c, head+"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n"+
		head+"Content-Length: 0\r\n\r\n")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadRequest, readResponse(t, from).status)
	_, err = from.ReadByte()
	assert.ErrorIs(t, err, io.EOF, "closed after the 400")
	assert.Empty(t, got, "neither this request nor the one in its body was submitted")
	assert.Equal(t, map[string]int64{ambiguousFraming: 1}, s.GiveUps().Counts())
}
