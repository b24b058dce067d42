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

// Guards against clients that send in pieces being cut off while the pieces keep coming: what counts is the
// silence between them, and a client that takes 2 s to begin is still heard. One that falls silent within a
// request is told so, naming the head or the body.
func TestPiecesAreWaitedForAndSilenceIsNot(t *testing.T) {
	const whole = head + "Content-Length: 30\r\n\r\n012345678901234567890123456789"
	for _, c := range []struct {
		name         string
		first, every time.Duration // before the first piece, between the others
		stall        int           // the piece before which the client falls silent for good; 0: none
		status       int
		says         string
	}{
		{"20 bytes every 400 ms", 0, 400 * time.Millisecond, 0, http.StatusOK, ""},
		{"2 s before the first byte", 2 * time.Second, 0, 0, http.StatusOK, ""},
		{"silent within the head", 0, 10 * time.Millisecond, 3, http.StatusRequestTimeout, "head stopped coming"},
		{"silent within the body", 0, 10 * time.Millisecond, 5, http.StatusRequestTimeout, "body did not come in time"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s, _ := testServer(20, func(_ context.Context, r *coordinator.Request) coordinator.Response {
				return coordinator.Response{Kind: coordinator.Served, Result: r.Body}
			})
			conn, from := dial(t, listen(t, s), "")
			time.Sleep(c.first)
			start := time.Now()
			for i := 0; i < len(whole); i += 20 {
				if c.stall > 0 && i/20 == c.stall {
					break
				}
				_, err := io.WriteString(conn, whole[i:min(i+20, len(whole))])
				require.NoError(t, err)
				time.Sleep(c.every)
			}
			resp, err := http.ReadResponse(from, nil)
			require.NoError(t, err)
			text, _ := io.ReadAll(resp.Body)
			assert.Equal(t, c.status, resp.StatusCode, "%s", text)
			assert.Contains(t, string(text), c.says)
			if c.stall > 0 {
				assert.Less(t, time.Since(start), gapWithin+time.Second, "silence is cut off soon")
			}
		})
	}
}

// Guards against a slow writer being taken for a silent connection when room is made: the one silent the longest
// since its last byte goes first, so many that say nothing are pushed out before a client that sends in pieces.
func TestPiecesKeepTheirPlaceAmongManySilent(t *testing.T) {
	const room = 4
	s, _ := testServer(room, func(_ context.Context, r *coordinator.Request) coordinator.Response {
		return coordinator.Response{Kind: coordinator.Served, Result: r.Body}
	})
	addr := listen(t, s)
	const whole = head + "Content-Length: 2\r\n\r\nok"
	for range 3 * room { // many that came before and say nothing
		dial(t, addr, "")
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(speakIn)
	slow, from := dial(t, addr, whole[:10])
	for i := 10; i < len(whole); i += 10 {
		time.Sleep(speakIn / 2)
		dial(t, addr, "") // a silent newcomer, for whom room is made
		_, err := io.WriteString(slow, whole[i:min(i+10, len(whole))])
		require.NoError(t, err)
	}
	resp, err := http.ReadResponse(from, nil)
	require.NoError(t, err, "the slow writer stays")
	assert.Equal(t, http.StatusOK, resp.StatusCode)
	assert.Zero(t, s.GiveUps().Counts()[headRoom], "no request was pushed out: %v", s.GiveUps().Counts())
}
