package ingress

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreypond/internal/exchange"
)

// Guards against requests that vanish unsaid: each one given up before the exchange sees it is counted once, under
// what went wrong, whether net/http, the crowd or the handler gave it up.
func TestGiveUpsAreCountedByReason(t *testing.T) {
	for _, c := range []struct {
		name, text string
		leave      bool // the client closes after sending
		reason     string
	}{
		{"net/http cannot read it", head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n", false, headRefused},
		{"the head never ends", head + "X-Never: ending", false, headSlow},
		{"the client leaves in the head", head + "X-Half: ", true, headLeft},
		{"the body never comes", head + "Content-Length: 9\r\n\r\nhalf", false, bodySlow},
		{"the client leaves in the body", head + "Content-Length: 9\r\n\r\nhalf", true, bodyLeft},
		{"a bad header", "POST /c HTTP/1.1\r\nHost: h\r\nX-Request-ID: i\r\nX-Timeout: 9\r\nContent-Length: 0\r\n\r\n", false,
			"header:X-Timeout"},
		{"no such class", "POST /d HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", false, noClass},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s, _ := testServer(20, func(context.Context, *exchange.Request) exchange.Answer {
				t.Error("submitted")
				return exchange.Answer{}
			})
			conn, from := dial(t, listen(t, s), c.text)
			if c.leave {
				require.NoError(t, conn.(*net.TCPConn).CloseWrite())
			}
			_, _ = from.ReadByte()
			assert.Eventually(t, func() bool { return s.GiveUps().Counts()[c.reason] == 1 }, 5*time.Second,
				5*time.Millisecond, "%v", s.GiveUps().Counts())
			assert.Len(t, s.GiveUps().Counts(), 1, "counted once: %v", s.GiveUps().Counts())
		})
	}
}

// A connection that carried requests and then rests is no request given up when it closes, nor is one that never
// said anything.
func TestQuietConnectionsAreNoGiveUps(t *testing.T) {
	s, _ := testServer(20, func(context.Context, *exchange.Request) exchange.Answer {
		return exchange.Answer{Kind: exchange.Served}
	})
	addr := listen(t, s)
	used, from := dial(t, addr, head+"Content-Length: 0\r\n\r\n")
	response(t, from)
	silent, _ := dial(t, addr, "")
	require.NoError(t, used.Close())
	require.NoError(t, silent.Close())
	time.Sleep(100 * time.Millisecond)
	assert.Empty(t, s.GiveUps().Counts())
}
