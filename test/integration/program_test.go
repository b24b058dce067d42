package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var background = context.Background()

const clientTimeout = 20 * time.Second // too long to expire in a test that is not about timeouts

func TestServesRunnersResult(t *testing.T) {
	rn := newRunner(t, "r1", "z", serveDone)
	p := start(t, rn)
	a := p.send(background, "/keyed/a%20b?q=1", "id1", clientTimeout, func(r *http.Request) {
		r.Header.Set("X-Attrs", "slots=1,other=7")
		r.Header.Set("X-Route-Key", "fn:1")
	})
	require.NoError(t, a.err)
	assert.Equal(t, http.StatusOK, a.status)
	assert.Equal(t, `made "here"`, a.body)
	rn.mu.Lock()
	defer rn.mu.Unlock()
	assert.Equal(t, "/keyed/a%20b?q=1", rn.last.RequestURI)
	assert.Equal(t, "the job", rn.body)
	assert.Equal(t, "id1", rn.last.Header.Get("X-Request-ID"))
	assert.Equal(t, "key-id1", rn.last.Header.Get("Idempotency-Key"))
	assert.Regexp(t, `^[0-9]+u$`, rn.last.Header.Get("X-Timeout"))
	assert.Empty(t, rn.last.Header.Get("Accept-Encoding"))
	assert.Positive(t, rn.probes, "requests add to the budget of probes, so the runner gets some")
}

// Attempts reuse connections, because each new connection costs the runner work.
func TestConnectionsAreReused(t *testing.T) {
	from := map[string]bool{}
	var rn *runner
	rn = newRunner(t, "r1", "z", func(w http.ResponseWriter, r *http.Request) {
		rn.mu.Lock()
		from[r.RemoteAddr] = true
		rn.mu.Unlock()
		serveDone(w, r)
	})
	p := start(t, rn)
	for n := range 20 {
		require.Equal(t, http.StatusOK, p.send(background, "/keyed", fmt.Sprint("id", n), clientTimeout).status)
	}
	rn.mu.Lock()
	defer rn.mu.Unlock()
	assert.Less(t, len(from), 10, "attempts on %d connections", len(from))
}

func TestUnstartedRequestIsShed(t *testing.T) {
	p := start(t, newDeadRunner(t, "r1", "z"))
	before := time.Now()
	a := p.send(background, "/keyed", "id1", 500*time.Millisecond)
	require.NoError(t, a.err)
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.NotEmpty(t, a.header.Get("Retry-After"))
	assert.Less(t, time.Since(before), testTimeout)
}

// Checks the status that the client gets for each outcome of an attempt at the only runner. The class "unsafe" forbids a
// second run: the program may retry a job, or shed it with 503, only if the outcome proves that it never ran. Any other
// failure gets 502 after a single attempt (once).
func TestOutcomes(t *testing.T) {
	const short = 300 * time.Millisecond
	for name, tt := range map[string]struct {
		do   job
		want int
		once bool
	}{
		"done":                  {serveDone, http.StatusOK, true},
		"failed":                {serveState("failed"), http.StatusBadGateway, true},
		"500":                   {serveStatus(http.StatusInternalServerError, false), http.StatusBadGateway, true},
		"lost":                  {serveState("lost"), http.StatusBadGateway, true},
		"broken":                {serveBreak, http.StatusBadGateway, true},
		"ends early":            {serveState("started"), http.StatusBadGateway, true},
		"503 that may have run": {serveStatus(http.StatusServiceUnavailable, false), http.StatusBadGateway, true},
		"times out":             {serveHang, http.StatusBadGateway, true},
		"returned":              {serveState("returned"), http.StatusServiceUnavailable, false},
		"503 unstarted":         {serveStatus(http.StatusServiceUnavailable, true), http.StatusServiceUnavailable, false},
		"504 unstarted":         {serveStatus(http.StatusGatewayTimeout, true), http.StatusServiceUnavailable, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rn := newRunner(t, "r1", "z", tt.do)
			a := start(t, rn).send(background, "/unsafe", "id1", short)
			require.NoError(t, a.err)
			assert.Equal(t, tt.want, a.status, a.body)
			if tt.once {
				assert.Equal(t, 1, rn.count("id1"))
			}
		})
	}
}

// A job goes to another runner if its attempt proves that it never ran: the connection or the job was refused.
func TestRejectedRequestGoesToAnotherRunner(t *testing.T) {
	for name, first := range map[string]func(*testing.T) *runner{
		"no connection": func(t *testing.T) *runner {
			t.Helper()
			return newDeadRunner(t, "r1", "z")
		},
		"rejected": func(t *testing.T) *runner {
			t.Helper()
			return newRunner(t, "r1", "z", serveStatus(http.StatusServiceUnavailable, true))
		},
	} {
		t.Run(name, func(t *testing.T) {
			good := newRunner(t, "r2", "z", serveDone)
			p := start(t, first(t), good)
			for n := range 10 {
				a := p.send(background, "/unsafe", fmt.Sprint("id", n), clientTimeout)
				require.Equal(t, http.StatusOK, a.status, a.body)
			}
			assert.Equal(t, 10, good.total())
		})
	}
}

// Guards against http.Transport's silent resends: when a reused connection breaks during a request with an
// Idempotency-Key, the runner must not get that request a second time, whether it has a body or not.
func TestTransportDoesNotResend(t *testing.T) {
	for name, body := range map[string]func(*http.Request){
		"body":  func(*http.Request) {},
		"empty": func(r *http.Request) { r.Body, r.ContentLength, r.GetBody = http.NoBody, 0, nil },
	} {
		t.Run(name, func(t *testing.T) {
			rn := newRunner(t, "r1", "z", func(w http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.Header.Get("X-Request-ID"), "bad") {
					serveBreak(w, r)
					return
				}
				serveDone(w, r)
			})
			p := start(t, rn)
			for n := range 3 { // open connections that the next request can reuse
				require.Equal(t, http.StatusOK, p.send(background, "/unsafe", fmt.Sprint("good", n), clientTimeout, body).status)
			}
			a := p.send(background, "/unsafe", "bad", clientTimeout, body)
			require.NoError(t, a.err)
			assert.Equal(t, http.StatusBadGateway, a.status)
			assert.Equal(t, 1, rn.count("bad"))
		})
	}
}

// A keyed job that may have run is retried only at runners of the zone of its attempt, because its key is deduplicated per
// zone (keyScope).
func TestKeyedStaysInItsZone(t *testing.T) {
	away := newRunner(t, "r2", "y", serveDone)
	breaking := newRunner(t, "r1", "z", serveBreak)
	p := start(t, breaking, away)
	// More concurrent jobs than one runner has slots, so that both runners get some.
	var all sync.WaitGroup
	for n := range 16 {
		all.Go(func() {
			id := fmt.Sprint("id", n)
			a := p.send(background, "/keyed", id, clientTimeout)
			assert.NoError(t, a.err)
			if breaking.count(id) > 0 {
				assert.Zero(t, away.count(id))
				assert.Equal(t, http.StatusBadGateway, a.status)
			}
		})
	}
	all.Wait()
	assert.Positive(t, breaking.total())
}

func TestDrainingRunnerGetsNothingNew(t *testing.T) {
	old, next := newRunner(t, "r1", "z", serveDone), newRunner(t, "r2", "z", serveDone)
	p := start(t, old, next)
	for _, health := range []string{"DRAINING", "DELETED"} {
		p.disc.change(t, old, health)
		before := old.total()
		for n := range 20 {
			require.Equal(t, http.StatusOK, p.send(background, "/keyed", fmt.Sprint(health, n), clientTimeout).status)
		}
		assert.Equal(t, before, old.total(), "a runner that is %s got a new job", health)
	}
}

func TestWatchIsReopened(t *testing.T) {
	old, next := newRunner(t, "r1", "z", serveDone), newRunner(t, "r2", "z", serveDone)
	p := start(t, old)
	p.disc.change(t, old, "SERVING")
	p.disc.setDown(true)
	eventually(t, "the failed discovery call is not logged", func() bool { return strings.Contains(p.log(), "discovery call failed") })
	require.Equal(t, http.StatusOK, p.send(background, "/keyed", "id1", clientTimeout).status, "the last received list stays in use")
	p.disc.setDown(false)
	p.disc.change(t, next, "SERVING")
	p.disc.change(t, old, "DELETED")
	require.Equal(t, http.StatusOK, p.send(background, "/keyed", "id2", clientTimeout).status)
	assert.Equal(t, 1, next.count("id2"))
}

func TestClientDisconnectCancelsAttempt(t *testing.T) {
	cancelled := make(chan struct{})
	rn := newRunner(t, "r1", "z", func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	})
	p := start(t, rn)
	ctx, disconnect := context.WithCancel(background)
	a := p.sendAsync(ctx, "/keyed", "id1", clientTimeout)
	eventually(t, "the job does not arrive at its runner", func() bool { return rn.count("id1") == 1 })
	disconnect()
	assert.Error(t, (<-a).err)
	select {
	case <-cancelled:
	case <-time.After(testTimeout):
		t.Fatal("the attempt was not cancelled after its client disconnected")
	}
}

func TestBadInputNamesItsHeader(t *testing.T) {
	rn := newRunner(t, "r1", "z", serveDone)
	p := start(t, rn)
	for header, value := range map[string]string{"X-Request-ID": "", "X-Timeout": "12x", "X-Cost": "much",
		"X-Retried": "yes", "X-Attrs": "slots=many"} {
		a := p.send(background, "/keyed", "id1", clientTimeout, func(r *http.Request) { r.Header.Set(header, value) })
		assert.Equal(t, http.StatusBadRequest, a.status, header)
		assert.Contains(t, a.body, header)
	}
	assert.Equal(t, http.StatusNotFound, p.send(background, "/nothing", "id1", clientTimeout).status)
	large := strings.Repeat("x", 64<<10+1)
	a := p.send(background, "/keyed", "id1", clientTimeout, func(r *http.Request) {
		*r = *r.Clone(background)
		r.Body, r.ContentLength = http.NoBody, 0
		req, err := http.NewRequestWithContext(background, http.MethodPost, r.URL.String(), strings.NewReader(large))
		require.NoError(t, err)
		req.Header = r.Header
		*r = *req
	})
	assert.Equal(t, http.StatusRequestEntityTooLarge, a.status)
	assert.Zero(t, rn.total())
}

func TestStopServesOpenRequests(t *testing.T) {
	release := make(chan struct{})
	rn := newRunner(t, "r1", "z", func(w http.ResponseWriter, r *http.Request) {
		switch r.Header.Get("X-Request-ID") {
		case "slow":
			writeState(w, r, "started", "")
			<-release
			serveDone(w, r)
		case "stuck":
			serveHang(w, r)
		default:
			serveDone(w, r)
		}
	})
	p := start(t, rn)
	slow := p.sendAsync(background, "/keyed", "slow", clientTimeout)
	stuck := p.sendAsync(background, "/keyed", "stuck", clientTimeout)
	eventually(t, "the jobs do not arrive at their runner", func() bool { return rn.total() == 2 })
	p.stop()
	eventually(t, "the program does not log that it drains", func() bool { return strings.Contains(p.log(), "to=draining") })

	// The platform may still send new connections for a while after the signal.
	transport := &http.Transport{DisableKeepAlives: false}
	req, err := http.NewRequestWithContext(background, http.MethodPost, p.url+"/keyed", strings.NewReader(""))
	require.NoError(t, err)
	req.Header.Set("X-Request-ID", "late")
	req.Header.Set("X-Timeout", "20000m")
	resp, err := transport.RoundTrip(req)
	require.NoError(t, err, "the program refused a connection after the signal")
	assert.Equal(t, http.StatusOK, resp.StatusCode)
	assert.True(t, resp.Close, "the response does not announce that the connection closes")
	_ = resp.Body.Close()

	close(release)
	a := <-slow
	require.NoError(t, a.err)
	assert.Equal(t, http.StatusOK, a.status)
	a = <-stuck
	require.NoError(t, a.err)
	assert.Equal(t, http.StatusBadGateway, a.status, "a job that may have run gets 502, not 503")
	select {
	case err := <-p.exit:
		assert.NoError(t, err, "exit status")
	case <-time.After(testTimeout):
		t.Fatal("the program did not exit")
	}
	assert.Contains(t, p.log(), "to=stopped")
}

// Guards against a reload that ends the program, loses open requests or keeps calling the old discovery address. For an
// invalid file the program logs the faulty key and keeps the old configuration.
func TestReloadMovesToAnotherDiscovery(t *testing.T) {
	release := make(chan struct{})
	old := newRunner(t, "r1", "z", func(w http.ResponseWriter, r *http.Request) {
		writeState(w, r, "started", "")
		<-release
		serveDone(w, r)
	})
	next := newRunner(t, "r2", "z", serveDone)
	p := start(t, old)
	open := p.sendAsync(background, "/keyed", "before", clientTimeout)
	eventually(t, "the job does not arrive at its runner", func() bool { return old.total() == 1 })

	p.reload("nowhere")
	eventually(t, "the faulty key of the configuration is not logged", func() bool {
		return regexp.MustCompile(`faulty.*discovery.*refused=1`).MatchString(p.log())
	})
	p.disc = newDiscovery(t)
	p.reload(p.disc.addr)
	eventually(t, "the log does not count the accepted configuration", func() bool { return strings.Contains(p.log(), "taken=1") })
	p.disc.change(t, next, "SERVING")
	p.disc.change(t, old, "DELETED")
	require.Equal(t, http.StatusOK, p.send(background, "/keyed", "after", clientTimeout).status)
	assert.Equal(t, 1, next.count("after"))
	close(release)
	a := <-open
	require.NoError(t, a.err)
	assert.Equal(t, http.StatusOK, a.status)
}

func TestBadConfigurationNamesItsKey(t *testing.T) {
	set := func(path string, v any) func(map[string]any) {
		return func(c map[string]any) {
			keys := strings.Split(path, ".")
			for _, k := range keys[:len(keys)-1] {
				c = c[k].(map[string]any)
			}
			c[keys[len(keys)-1]] = v
		}
	}
	for key, change := range map[string]func(map[string]any){
		"listen":                    set("listen", "nowhere"),
		"discovery":                 set("discovery", ""),
		"limits.sockets":            set("limits.sockets", 3),
		"limits.cores":              set("limits.cores", "many"),
		"hosts[0].health":           set("known.hosts", []any{map[string]any{"host": "a", "dial": "b", "health": "ODD"}}),
		"settings.classes":          set("settings.classes", []any{}),
		"settings.periodUs":         set("settings.periodUs", -1),
		"classes[0].semantics":      set("settings.classes", []any{map[string]any{"name": "a", "deadlineUs": 5}}),
		"settings.limits.probes":    set("settings.limits.probes", 7),
		"settings.rules.tipAfterUs": set("settings.rules.tipAfterUs", -3),
		"settings.slotNo":           set("settings.slotNo", 1),
		"classes[0].keyScope": set("settings.classes",
			[]any{map[string]any{"name": "a", "semantics": "keyed", "keyScope": "rack", "deadlineUs": 5}}),
	} {
		t.Run(key, func(t *testing.T) {
			var c, s map[string]any
			require.NoError(t, json.Unmarshal([]byte(settings), &s))
			c = map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
				"limits": map[string]any{}, "known": map[string]any{}, "settings": s}
			change(c)
			p := &dispatcher{t: t, exit: make(chan error, 1)}
			p.run(c)
			select {
			case err := <-p.exit:
				assert.Error(t, err)
			case <-time.After(testTimeout):
				t.Fatal("the program did not exit")
			}
			assert.Contains(t, p.log(), key)
		})
	}
}
