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

// Guards against an upgrade in place that turns clients back: a second program starts at the same clients'
// address with a console of its own and says ready, the first takes SIGTERM and exits 0, and a client that opens a
// new connection for each job all the while is served throughout, but for a few caught in the old one's backlog.
func TestUpgradeInPlace(t *testing.T) {
	rn := newRunner(t, "r1", "z", done)
	old := start(t, rn)
	console := freeAddr(t)

	var mu sync.Mutex
	served, failed := 0, []string{}
	stop := make(chan struct{})
	var asking sync.WaitGroup
	asking.Go(func() {
		fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			default:
			}
			req, err := http.NewRequest(http.MethodPost, old.url+"/keyed", strings.NewReader("the job"))
			require.NoError(t, err)
			req.Header.Set("X-Request-ID", fmt.Sprintf("up-%d", n))
			req.Header.Set("X-Timeout", "3000m")
			resp, err := fresh.Do(req)
			mu.Lock()
			switch {
			case err != nil:
				failed = append(failed, err.Error())
			case resp.StatusCode != http.StatusOK:
				failed = append(failed, resp.Status)
			default:
				served++
			}
			mu.Unlock()
			if err == nil {
				_ = resp.Body.Close()
			}
			time.Sleep(5 * time.Millisecond)
		}
	})

	next := &dispatcher{t: t, disc: old.disc, exit: make(chan error, 1)}
	conf := maps.Clone(old.conf)
	conf["listen"], conf["console"] = strings.TrimPrefix(old.url, "http://"), console
	next.run(conf)
	ready := regexp.MustCompile(`msg="console listening"`)
	eventually(t, "the second program does not start", func() bool { return ready.MatchString(next.log()) })
	eventually(t, "the second program is not ready", func() bool {
		resp, err := http.Get("http://" + console + "/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	time.Sleep(300 * time.Millisecond) // both serve
	old.stop()
	select {
	case err := <-old.exit:
		assert.NoError(t, err, "the old program's exit status")
	case <-time.After(patience):
		t.Fatal("the old program does not end")
	}
	time.Sleep(300 * time.Millisecond) // the new one alone
	close(stop)
	asking.Wait()

	mu.Lock()
	defer mu.Unlock()
	assert.Greater(t, served, 10, "jobs served through the upgrade")
	assert.LessOrEqual(t, len(failed), 2, "turned back: %v", failed)
	assert.Contains(t, next.log(), "msg=\"request ended\"", "the new program served some")
}

// ownLoopback returns an address of loopback drawn at random, with any port. A port that was free there stays free until the
// program under test has it; at 127.0.0.1 another program's connection could take it meanwhile.
func ownLoopback() string {
	return fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}

// freeAddr is an address on loopback that nobody listens at.
func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", ownLoopback())
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// Guards against a runner that is enabled as the process ends that disabled it: one disabled at the old program's console
// gets nothing from the new one, whatever discovery lists, until it is put back at the new console.
func TestDisablingHoldsOverAnUpgrade(t *testing.T) {
	out, in := newRunner(t, "r1", "z", done), newRunner(t, "r2", "z", done)
	shared := []string{"TMPDIR=" + t.TempDir()} // where the disabled runners are handed on
	old := &dispatcher{t: t, env: shared, disc: newDiscovery(t), exit: make(chan error, 1)}
	listen, consoles := freeAddr(t), []string{freeAddr(t), freeAddr(t)}
	old.run(map[string]any{"name": "n0", "listen": listen, "console": consoles[0], "discovery": old.disc.addr,
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"seq": 0, "whole": true, "hosts": []any{out.entry("SERVING"), in.entry("SERVING")}},
		"settings": json.RawMessage(settings)})
	old.url = "http://" + listen
	call := func(console, path, body string) int {
		resp, err := http.Post("http://"+console+path, "text/plain", strings.NewReader(body))
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	eventually(t, "the old console does not say yes", func() bool { return call(consoles[0], "/runners/disable", "r1") == 200 })

	next := &dispatcher{t: t, env: shared, disc: old.disc, exit: make(chan error, 1), url: old.url}
	conf := maps.Clone(old.conf)
	conf["console"] = consoles[1]
	next.run(conf)
	eventually(t, "the new program is not ready", func() bool {
		resp, err := http.Get("http://" + consoles[1] + "/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	old.stop()
	require.NoError(t, <-old.exit)
	before := out.total()
	for n := range 20 {
		a := next.ask(background, "/safe", fmt.Sprintf("after-%d", n), 3*time.Second)
		require.NoError(t, a.err)
		assert.Equal(t, http.StatusOK, a.status, a.body)
	}
	assert.Equal(t, before, out.total(), "the disabled runner got work from the new program")
	assert.Positive(t, in.total())

	require.Equal(t, 200, call(consoles[1], "/runners/enable", "r1"))
	eventually(t, "the runner put back gets no work", func() bool {
		_ = next.ask(background, "/safe", fmt.Sprintf("back-%d", time.Now().UnixNano()), 3*time.Second)
		return out.total() > before
	})
}
