package integration

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// steadyClient sends one job after another, each on a new connection. Read served and failed only after stop.
type steadyClient struct {
	url    string
	served int      // jobs that got status 200
	failed []string // the errors or statuses of all other jobs

	done    chan struct{} // closed by stop
	running sync.WaitGroup
}

func (c *steadyClient) start(t *testing.T) {
	t.Helper()
	c.done = make(chan struct{})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	c.running.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-c.done:
				return
			default:
			}
			req, err := http.NewRequestWithContext(background, http.MethodPost, c.url+"/keyed", strings.NewReader("the job"))
			if !assert.NoError(t, err) {
				return
			}
			req.Header.Set("X-Request-ID", fmt.Sprintf("up-%d", n))
			req.Header.Set("X-Timeout", "3000m")
			c.count(client.Do(req))
			time.Sleep(5 * time.Millisecond)
		}
	})
}

func (c *steadyClient) count(resp *http.Response, err error) {
	if err != nil {
		c.failed = append(c.failed, err.Error())
		return
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.failed = append(c.failed, resp.Status)
		return
	}
	c.served++
}

func (c *steadyClient) stop() {
	close(c.done)
	c.running.Wait()
}

// Guards against an upgrade in place that refuses clients. A second process listens at the same client address, with its own
// console, and becomes ready; then the first gets SIGTERM and exits with 0. A client that opens a new connection for each
// job is served all the time, except for at most two connections in the listen backlog of the old process.
func TestUpgradeInPlace(t *testing.T) {
	rn := newRunner(t, "r1", "z", serveDone)
	old := start(t, rn)
	console := freeAddr(t)

	client := &steadyClient{url: old.url}
	client.start(t)
	next := &dispatcher{t: t, disc: old.disc, exit: make(chan error, 1)}
	conf := maps.Clone(old.conf)
	conf["listen"], conf["console"] = strings.TrimPrefix(old.url, "http://"), console
	next.run(conf)
	ready := regexp.MustCompile(`msg="console listening"`)
	eventually(t, "the second process does not start", func() bool { return ready.MatchString(next.log()) })
	eventually(t, "the second process does not become ready", func() bool {
		return call(http.MethodGet, "http://"+console+"/ready", "") == http.StatusOK
	})
	time.Sleep(300 * time.Millisecond) // both processes accept connections
	old.stop()
	select {
	case err := <-old.exit:
		assert.NoError(t, err, "the old program's exit status")
	case <-time.After(testTimeout):
		t.Fatal("the old process did not exit")
	}
	time.Sleep(300 * time.Millisecond) // only the new process accepts connections
	client.stop()
	assert.Greater(t, client.served, 10, "jobs served through the upgrade")
	assert.LessOrEqual(t, len(client.failed), 2, "failed jobs: %v", client.failed)
	assert.Contains(t, next.log(), "msg=\"request ended\"", "the new process served no job")
}

// ownLoopback returns a random loopback address with port 0, at which the system chooses a free port. A port that is free
// there is still free when the program under test listens at it; at 127.0.0.1 a connection of another process could take it
// before.
func ownLoopback() string {
	return fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}

// freeAddr returns a loopback address with a free port.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", ownLoopback())
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

// Guards against an upgrade that enables a disabled runner. A runner that an operator disabled at the old process's console
// gets no job from the new process, whatever discovery lists, until an operator enables it at the new console.
func TestDisabledRunnerStaysDisabledOverAnUpgrade(t *testing.T) {
	out, in := newRunner(t, "r1", "z", serveDone), newRunner(t, "r2", "z", serveDone)
	// The old process leaves the list of disabled runners in this directory for the new one.
	shared := []string{"TMPDIR=" + t.TempDir()}
	old := &dispatcher{t: t, env: shared, disc: newDiscovery(t), exit: make(chan error, 1)}
	listen, consoles := freeAddr(t), []string{freeAddr(t), freeAddr(t)}
	old.run(map[string]any{"name": "n0", "listen": listen, "console": consoles[0], "discovery": old.disc.addr,
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"seq": 0, "whole": true, "hosts": []any{out.entry("SERVING"), in.entry("SERVING")}},
		"settings": json.RawMessage(settings)})
	old.url = "http://" + listen
	post := func(console, path, body string) int { return call(http.MethodPost, "http://"+console+path, body) }
	eventually(t, "the old console does not disable the runner", func() bool { return post(consoles[0], "/runners/disable", "r1") == 200 })

	next := &dispatcher{t: t, env: shared, disc: old.disc, exit: make(chan error, 1), url: old.url}
	conf := maps.Clone(old.conf)
	conf["console"] = consoles[1]
	next.run(conf)
	eventually(t, "the new process does not become ready", func() bool {
		return call(http.MethodGet, "http://"+consoles[1]+"/ready", "") == http.StatusOK
	})
	old.stop()
	require.NoError(t, <-old.exit)
	before := out.total()
	for n := range 20 {
		a := next.send(background, "/safe", fmt.Sprintf("after-%d", n), 3*time.Second)
		require.NoError(t, a.err)
		assert.Equal(t, http.StatusOK, a.status, a.body)
	}
	assert.Equal(t, before, out.total(), "the disabled runner got a job from the new process")
	assert.Positive(t, in.total())

	require.Equal(t, 200, post(consoles[1], "/runners/enable", "r1"))
	eventually(t, "the enabled runner gets no job", func() bool {
		_ = next.send(background, "/safe", fmt.Sprintf("back-%d", time.Now().UnixNano()), 3*time.Second)
		return out.total() > before
	})
}
