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

// With pushed lists, the platform treats the dispatcher as notified of every change that was pushed before its start. The
// dispatcher must therefore not serve from its configuration's list before the first pushed list has arrived: a runner that
// drains in the pushed list gets no job.
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
	assert.Zero(t, old.total(), "the draining runner got a job")
}

// A discovery that does not respond delays the start only for a limited time; then the list of the configuration is used.
// A SIGTERM while the program still waits makes it exit with 0.
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
					t.Fatal("the program did not exit")
				}
				return
			}
			p.ready()
			assert.Equal(t, http.StatusOK, p.send(background, "/keyed", "id", clientTimeout).status, "the list of the configuration is used")
		})
	}
}

// A stop with everything open at once: a request at a runner that hangs, a half-sent request and an idle connection; during
// the drain, a second SIGTERM and a reload of an invalid configuration. Each open request gets its final response, each
// connection is closed cleanly, and the program exits with 0 before the platform would kill it.
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
	eventually(t, "the job does not arrive at its runner", func() bool { return rn.count("hangs") == 1 })
	half, halfFrom := open(request("half")[:40])

	at := time.Now()
	p.stop()
	eventually(t, "the program does not log that it drains", func() bool { return strings.Contains(p.log(), "to=draining") })
	p.stop()
	require.NoError(t, os.WriteFile(p.file, []byte("{"), 0o600))
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(time.Until(at.Add(800 * time.Millisecond))) // by then the listener is closed
	_, err := io.WriteString(half, request("half")[40:])
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, status(halfFrom), "a request that was half sent when the stop began")
	for _, from := range []*bufio.Reader{idle, halfFrom} {
		_, err := from.ReadByte()
		assert.ErrorIs(t, err, io.EOF, "the connection is closed without another byte")
	}
	assert.Equal(t, http.StatusBadGateway, status(hanging), "a job that may have run gets 502, not 503")
	_, err = hanging.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	eventually(t, "the program does not log that it stopped", func() bool { return strings.Contains(p.log(), "to=stopped") })
	// Measured to the log line, not to the exit: a program that is built with the race detector exits a second later.
	assert.Less(t, time.Since(at), 3700*time.Millisecond, "the platform kills the process after this time")
	assert.NoError(t, <-p.exit, "exit status")
	assert.Contains(t, p.log(), "faulty; the old one stays")
}

// The time that a stop leaves to open requests follows the current settings, not those at the start: after a reload that
// lengthens the deadlines, a request is not cut off at the old deadline.
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
	eventually(t, "the job does not arrive at its runner", func() bool { return rn.count("id") == 1 })
	p.stop()
	eventually(t, "the program does not log that it drains", func() bool { return strings.Contains(p.log(), "to=draining") })
	select {
	case a := <-response:
		t.Fatalf("the request ended with status %d at the deadline of the old settings", a.status)
	case <-time.After(time.Second):
	}
	close(release)
	assert.Equal(t, http.StatusOK, (<-response).status)
	assert.NoError(t, <-p.exit, "exit status")
}
