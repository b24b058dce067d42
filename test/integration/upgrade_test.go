package integration

import (
	"fmt"
	"maps"
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
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	console := free.Addr().String()
	require.NoError(t, free.Close())

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
