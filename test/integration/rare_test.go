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

// Where lists are pushed, what was pushed before a process began counts as told from its first moment, so the list that
// its configuration holds is not used before that came: the runner that drains by it gets nothing.
func TestPushedListIsReadBeforeClientsAreLetIn(t *testing.T) {
	old, next := newRunner(t, "r1", "z", done), newRunner(t, "r2", "z", done)
	disc := newDiscovery(t)
	disc.held, disc.let = make(chan struct{}, 99), make(chan struct{})
	disc.seq, disc.log = 1, []map[string]any{old.entry("DRAINING")}
	p := launch(t, disc, pushed, nil, old, next)
	<-disc.held
	time.AfterFunc(200*time.Millisecond, func() { close(disc.let) })
	p.ready()
	for n := range 20 {
		require.Equal(t, http.StatusOK, p.ask(background, "/keyed", fmt.Sprint("id", n), long).status)
	}
	assert.Zero(t, old.total(), "work for a runner that drains")
}

// A start does not wait for long where what pushes lists is silent, and a signal to stop that comes while it waits ends
// the program in order.
func TestSilentListHoldsUpNeitherStartNorStop(t *testing.T) {
	for name, stop := range map[string]bool{"start": false, "stop": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rn := newRunner(t, "r1", "z", done)
			disc := newDiscovery(t)
			disc.held, disc.let = make(chan struct{}, 99), make(chan struct{})
			p := launch(t, disc, pushed, nil, rn)
			<-disc.held
			if stop {
				p.stop()
				select {
				case err := <-p.exit:
					assert.NoError(t, err, "exit status")
				case <-time.After(patience):
					t.Fatal("the program does not end")
				}
				return
			}
			p.ready()
			assert.Equal(t, http.StatusOK, p.ask(background, "/keyed", "id", long).status, "the list as last known serves")
		})
	}
}

// A stop with everything in flight that there may be: a request at a runner that hangs, one half sent, a connection that
// rests, a second signal to stop and a new, faulty configuration while it drains. Each request that was taken gets its
// final answer, each connection ends in order, and the program exits 0 before the platform would kill it.
func TestStopWithEverythingInFlight(t *testing.T) {
	rn := newRunner(t, "r1", "z", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-ID") == "hangs" {
			hang(w, r)
			return
		}
		done(w, r)
	})
	p := start(t, rn)
	open := func(text string) (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(patience))
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
		return resp.StatusCode
	}
	_, resting := open(request("rests"))
	require.Equal(t, http.StatusOK, status(resting))
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
	assert.Equal(t, http.StatusOK, status(halfFrom), "one that was half sent as the stop began")
	for _, from := range []*bufio.Reader{resting, halfFrom} {
		_, err := from.ReadByte()
		assert.ErrorIs(t, err, io.EOF, "closed in order")
	}
	assert.Equal(t, http.StatusBadGateway, status(hanging), "what may have run must not be refused")
	_, err = hanging.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	eventually(t, "the stop has no end", func() bool { return strings.Contains(p.log(), "to=stopped") })
	assert.Less(t, time.Since(at), 3700*time.Millisecond, "the platform kills from then on") // the race detector exits a second late
	assert.NoError(t, <-p.exit, "exit status")
	assert.Contains(t, p.log(), "faulty; the old one stays")
}

// How long a stop lets requests run follows the settings in force, not those of the start: one taken under longer deadlines
// is left to its runner, and not ended at the old ones.
func TestStopGoesByTheSettingsInForce(t *testing.T) {
	let := make(chan struct{})
	rn := newRunner(t, "r1", "z", func(w http.ResponseWriter, r *http.Request) {
		<-let
		done(w, r)
	})
	p := startAs(t, strings.ReplaceAll(settings, `"deadlineUs":25000000`, `"deadlineUs":500000`), nil, rn)
	p.configure("settings", json.RawMessage(settings))
	eventually(t, "the settings are not taken", func() bool { return strings.Contains(p.log(), "configuration reloaded") })
	answer := p.later(background, "/unsafe", "id", 9*time.Second)
	eventually(t, "the job does not reach its runner", func() bool { return rn.count("id") == 1 })
	p.stop()
	eventually(t, "the signal is not seen", func() bool { return strings.Contains(p.log(), "to=draining") })
	select {
	case a := <-answer:
		t.Fatalf("ended with %d by the deadlines of the start", a.status)
	case <-time.After(time.Second):
	}
	close(let)
	assert.Equal(t, http.StatusOK, (<-answer).status)
	assert.NoError(t, <-p.exit, "exit status")
}
