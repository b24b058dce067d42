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

// Guards against closing connections of clients that send in small parts while these keep arriving: the gap between
// them counts, and a client that takes 2 s to begin is still served. One that stops within a request gets a response
// that names the head or the body.
func TestReadTimeoutsApplyToGapsBetweenBytes(t *testing.T) {
	const text = head + "Content-Length: 30\r\n\r\n012345678901234567890123456789"
	for _, c := range []struct {
		name         string
		first, every time.Duration // before the first part, between the others
		stall        int           // the part before which the client stops for good; 0: none
		status       int
		says         string
	}{
		{"20 bytes every 400 ms", 0, 400 * time.Millisecond, 0, http.StatusOK, ""},
		{"2 s before the first byte", 2 * time.Second, 0, 0, http.StatusOK, ""},
		{"stops within the head", 0, 10 * time.Millisecond, 3, http.StatusRequestTimeout, "head stopped coming"},
		{"stops within the body", 0, 10 * time.Millisecond, 5, http.StatusRequestTimeout, "body did not come in time"},
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
				assert.Less(t, time.Since(start), gapTimeout+time.Second, "a gap is ended soon")
			}
		})
	}
}

// Guards against evicting a slow writer as a quiet connection: the one quiet for the longest time since its last byte
// is evicted first, so many that say nothing are evicted before a client that sends in small parts.
func TestSlowWriterIsNotEvictedBeforeQuietConnections(t *testing.T) {
	const sockets = 4
	s, _ := testServer(sockets, func(_ context.Context, r *coordinator.Request) coordinator.Response {
		return coordinator.Response{Kind: coordinator.Served, Result: r.Body}
	})
	addr := listen(t, s)
	const text = head + "Content-Length: 2\r\n\r\nok"
	for range 3 * sockets { // earlier ones that say nothing
		dial(t, addr, "")
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(minQuietToEvict)
	slow, from := dial(t, addr, text[:10])
	for i := 10; i < len(text); i += 10 {
		time.Sleep(minQuietToEvict / 2)
		dial(t, addr, "") // a quiet one, for which another is evicted
		_, err := io.WriteString(slow, text[i:min(i+10, len(text))])
		require.NoError(t, err)
	}
	assert.Equal(t, http.StatusOK, readResponse(t, from).status, "the slow writer stays")
	assert.Zero(t, s.GiveUps().Counts()[headEvicted], "no request was evicted: %v", s.GiveUps().Counts())
}
