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

// After SIGTERM, clients keep sending requests on every connection that is still open. Each request either gets its complete
// response, or finds the connection closed without a byte of a response.
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
		send := func(n int) (complete, closedUnanswered bool) {
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
			time.Sleep(time.Duration(i) * 100 * time.Millisecond) // some connections send before the listener closes, some after
			for n := 1; ; n++ {
				complete, closedUnanswered := send(n)
				mu.Lock()
				if closedUnanswered {
					closed++
				} else if assert.True(t, complete, "the client got an incomplete response") {
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
	eventually(t, "the program does not log that it drains", func() bool { return strings.Contains(p.log(), "to=draining") })
	close(stopping)
	wait.Wait()
	assert.Equal(t, conns, closed)
	assert.Positive(t, served, "no request after SIGTERM was served")
	assert.NoError(t, <-p.exit, "exit status")
}
