package ingress

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreypond/internal/dispatcher/coordinator"
)

// A client that sends in small parts is served while the parts keep arriving, as the timeouts apply to the gaps. A
// client that takes 2 s before its first byte is served too. A client that stops within a request gets a response that
// says whether the head or the body is incomplete.
func TestReadTimeoutsApplyToGapsBetweenBytes(t *testing.T) {
	const text = head + "Content-Length: 30\r\n\r\n012345678901234567890123456789"
	for _, c := range []struct {
		name         string
		first, every time.Duration // the wait before the first part, and between the parts
		stall        int           // the number of the first part that the client doesn't send; 0: it sends all
		status       int
		says         string
	}{
		{"20 bytes every 400 ms are served", 0, 400 * time.Millisecond, 0, http.StatusOK, ""},
		{"2 s before the first byte are allowed", 2 * time.Second, 0, 0, http.StatusOK, ""},
		{"a client that stops within the head gets a 408", 0, 10 * time.Millisecond, 3, http.StatusRequestTimeout, "head was not received in time"},
		{"a client that stops within the body gets a 408", 0, 10 * time.Millisecond, 5, http.StatusRequestTimeout, "body was not received in time"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s, _ := testServer(20, func(_ context.Context, r *coordinator.Request) coordinator.Response {
				return coordinator.Response{Kind: coordinator.Served, Result: r.Body}
			})
			conn, from := dial(t, listen(t, s), "")
			time.Sleep(c.first)
			start := time.Now()
			for i := 0; i < len(text); i += 20 {
				if c.stall > 0 && i/20 == c.stall {
					break
				}
				_, err := io.WriteString(conn, text[i:min(i+20, len(text))])
				require.NoError(t, err)
				time.Sleep(c.every)
			}
			resp := readResponse(t, from)
			assert.Equal(t, c.status, resp.status, "%s", resp.body)
			assert.Contains(t, resp.body, c.says)
			if c.stall > 0 {
				assert.Less(t, time.Since(start), gapTimeout+time.Second, "the response comes soon after gapTimeout")
			}
		})
	}
}

// The connection with the longest time since its last byte is evicted first. So silent connections are evicted before the
// connection of a client that sends slowly in small parts.
func TestSlowWriterIsNotEvictedBeforeQuietConnections(t *testing.T) {
	const sockets = 4
	s, _ := testServer(sockets, func(_ context.Context, r *coordinator.Request) coordinator.Response {
		return coordinator.Response{Kind: coordinator.Served, Result: r.Body}
	})
	addr := listen(t, s)
	const text = head + "Content-Length: 2\r\n\r\nok"
	for range 3 * sockets { // silent connections
		dial(t, addr, "")
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(minQuietToEvict)
	slow, from := dial(t, addr, text[:10])
	for i := 10; i < len(text); i += 10 {
		time.Sleep(minQuietToEvict / 2)
		dial(t, addr, "") // a silent connection; the listener evicts an open one to accept it
		_, err := io.WriteString(slow, text[i:min(i+10, len(text))])
		require.NoError(t, err)
	}
	assert.Equal(t, http.StatusOK, readResponse(t, from).status, "the slow writer is not evicted")
	assert.Zero(t, s.GiveUps().Counts()[headEvicted], "no connection with a request begun was evicted: %v", s.GiveUps().Counts())
}
