package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// After SIGTERM clients go on sending on every connection that stays open. Each such request gets its complete
// response, or its connection was closed cleanly: not a byte of a response was sent.
func TestConnectionsThatStayOpenAfterSIGTERMAreServed(t *testing.T) {
	p := start(t, newRunner(t, "r1", "z", serveDone))
	const conns = 12
	var (
		wait           sync.WaitGroup
		mu             sync.Mutex
		served, closed int
	)
	stopping := make(chan struct{})
	for i := range conns {
		c, err := new(net.Dialer).DialContext(t.Context(), "tcp", strings.TrimPrefix(p.url, "http://"))
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		in := bufio.NewReader(c)
		send := func(n int) (complete, none bool) {
			_ = c.SetDeadline(time.Now().Add(testTimeout))
			id := fmt.Sprintf("c%d-%d", i, n)
			_, _ = fmt.Fprintf(c, "POST /keyed HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nIdempotency-Key: key-%s\r\nX-Timeout: 9000m\r\nContent-Length: 0\r\n\r\n", id, id)
			if _, err := in.Peek(1); err != nil {
				return false, true
			}
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				return false, false
			}
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			return err == nil && resp.StatusCode == http.StatusOK && string(body) == `made "here"`, false
		}
		complete, _ := send(0)
		require.True(t, complete)
		wait.Go(func() {
			<-stopping
			time.Sleep(time.Duration(i) * 100 * time.Millisecond) // before the listener closes, and after it
			for n := 1; ; n++ {
				complete, none := send(n)
				mu.Lock()
				if none {
					closed++
				} else if assert.True(t, complete, "an incomplete response") {
					served++
				}
				mu.Unlock()
				if !complete {
					return
				}
			}
		})
	}
	p.stop()
	eventually(t, "the signal is not seen", func() bool { return strings.Contains(p.log(), "to=draining") })
	close(stopping)
	wait.Wait()
	assert.Equal(t, conns, closed)
	assert.Positive(t, served, "connections that stay open are served")
	assert.NoError(t, <-p.exit, "exit status")
}
