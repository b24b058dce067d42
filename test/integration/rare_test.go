package integration

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var pushed = strings.Replace(settings, `"discovery":"ask"`, `"discovery":"push"`, 1)

// Where lists are pushed, the dispatcher counts as notified of what was pushed before its start, so it does not use
// its configuration's list before the first one arrives: a runner that drains by that gets nothing.
func TestPushedListIsReadBeforeServing(t *testing.T) {
	old, next := newRunner(t, "r1", "z", serveDone), newRunner(t, "r2", "z", serveDone)
	disc := newDiscovery(t)
	disc.calls, disc.release = make(chan struct{}, 99), make(chan struct{})
	disc.seq, disc.log = 1, []map[string]any{old.entry("DRAINING")}
	p := launch(t, disc, pushed, nil, old, next)
	<-disc.calls
	time.AfterFunc(200*time.Millisecond, func() { close(disc.release) })
	p.ready()
	for n := range 20 {
		require.Equal(t, http.StatusOK, p.send(background, "/keyed", fmt.Sprint("id", n), clientTimeout).status)
	}
	assert.Zero(t, old.total(), "work for a runner that drains")
}

// A start does not wait for long for the first list, and a signal to stop in that time ends the program in order.
func TestUnresponsiveDiscoveryDelaysNeitherStartNorStop(t *testing.T) {
	for name, stop := range map[string]bool{"start": false, "stop": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rn := newRunner(t, "r1", "z", serveDone)
			disc := newDiscovery(t)
			disc.calls, disc.release = make(chan struct{}, 99), make(chan struct{})
			p := launch(t, disc, pushed, nil, rn)
			<-disc.calls
			if stop {
				p.stop()
				select {
				case err := <-p.exit:
					assert.NoError(t, err, "exit status")
				case <-time.After(testTimeout):
					t.Fatal("the program does not end")
				}
				return
			}
			p.ready()
			assert.Equal(t, http.StatusOK, p.send(background, "/keyed", "id", clientTimeout).status, "the last known list is used")
		})
	}
}

// A stop with a request at a runner that hangs, one half sent, an idle connection, a second signal to stop and an
// invalid configuration while it drains. Each open request gets its final response, each connection is closed
// cleanly, and the program exits with 0 before the platform would kill it.
func TestStopWithEverythingInFlight(t *testing.T) {
	rn := newRunner(t, "r1", "z", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-ID") == "hangs" {
			serveHang(w, r)
			return
		}
		serveDone(w, r)
	})
	p := start(t, rn)
	open := func(text string) (net.Conn, *bufio.Reader) {
		c, err := new(net.Dialer).DialContext(t.Context(), "tcp", strings.TrimPrefix(p.url, "http://"))
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		_, err = io.WriteString(c, text)
		require.NoError(t, err)
		return c, bufio.NewReader(c)
	}
	request := func(id string) string {
		return "POST /keyed HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id + "\r\nX-Timeout: 25000m\r\nContent-Length: 0\r\n\r\n"
	}
	status := func(from *bufio.Reader) int {
		resp, err := http.ReadResponse(from, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	_, idle := open(request("rests"))
	require.Equal(t, http.StatusOK, status(idle))
	_, hanging := open(request("hangs"))
	eventually(t, "the job does not reach its runner", func() bool { return rn.count("hangs") == 1 })
	half, halfFrom := open(request("half")[:40])

	at := time.Now()
	p.stop()
	eventually(t, "the signal is not seen", func() bool { return strings.Contains(p.log(), "to=draining") })
	p.stop()
	require.NoError(t, os.WriteFile(p.file, []byte("{"), 0o600))
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(time.Until(at.Add(800 * time.Millisecond))) // the listener is closed
	_, err := io.WriteString(half, request("half")[40:])
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, status(halfFrom), "one that was half sent when the stop began")
	for _, from := range []*bufio.Reader{idle, halfFrom} {
		_, err := from.ReadByte()
		assert.ErrorIs(t, err, io.EOF, "closed cleanly")
	}
	assert.Equal(t, http.StatusBadGateway, status(hanging), "what may have run must not be refused")
	_, err = hanging.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	eventually(t, "the stop has no end", func() bool { return strings.Contains(p.log(), "to=stopped") })
	assert.Less(t, time.Since(at), 3700*time.Millisecond, "the platform kills from then on") // the race detector exits a second late
	assert.NoError(t, <-p.exit, "exit status")
	assert.Contains(t, p.log(), "faulty; the old one stays")
}

// How long a stop lets requests run follows the settings in force, not those of the start: a request with a longer
// deadline is not ended at the old one.
func TestStopTimeoutFollowsSettingsInForce(t *testing.T) {
	release := make(chan struct{})
	rn := newRunner(t, "r1", "z", func(w http.ResponseWriter, r *http.Request) {
		<-release
		serveDone(w, r)
	})
	p := startAs(t, strings.ReplaceAll(settings, `"deadlineUs":25000000`, `"deadlineUs":500000`), nil, rn)
	p.configure("settings", json.RawMessage(settings))
	eventually(t, "the settings are not accepted", func() bool { return strings.Contains(p.log(), "configuration reloaded") })
	response := p.sendAsync(background, "/unsafe", "id", 9*time.Second)
	eventually(t, "the job does not reach its runner", func() bool { return rn.count("id") == 1 })
	p.stop()
	eventually(t, "the signal is not seen", func() bool { return strings.Contains(p.log(), "to=draining") })
	select {
	case a := <-response:
		t.Fatalf("ended with %d by the deadlines of the start", a.status)
	case <-time.After(time.Second):
	}
	close(release)
	assert.Equal(t, http.StatusOK, (<-response).status)
	assert.NoError(t, <-p.exit, "exit status")
}
