package ingress

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreypond/internal/exchange"
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
			s, _ := testServer(20, func(_ context.Context, r *exchange.Request) exchange.Answer {
				return exchange.Answer{Kind: exchange.Served, Result: r.Body}
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
