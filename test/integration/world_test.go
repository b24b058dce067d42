// Package integration starts the built program as a process. The tests act over sockets as its clients, its runners and its
// discovery service.
package integration

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testTimeout bounds every wait for a condition. It is long, so that a busy machine doesn't make a test fail.
const testTimeout = 20 * time.Second

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "ospreypond")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "ospreypond")
	args := []string{"build", "-o", program}
	if raceEnabled {
		args = append(args, "-race")
	}
	if out, err := exec.CommandContext(context.Background(), "go", append(args, "ospreypond/cmd/ospreypond")...).CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// runner is an HTTP server that stands for a runner, the upstream of the dispatcher. It counts the requests that arrive.
type runner struct {
	name, addr, site string
	mu               sync.Mutex
	got              map[string]int // arrivals by request id
	last             *http.Request  // the latest arrival, probes excluded
	body             string         // of last
	probes           int            // requests for /stats
}

// job writes a runner's response to a request, after the runner has read its whole body.
type job func(w http.ResponseWriter, r *http.Request)

// writeState writes one line of a job's progress and flushes it, so that the dispatcher gets it at once. more is JSON that
// is added to the line's object.
func writeState(w http.ResponseWriter, r *http.Request, state, more string) {
	_, _ = fmt.Fprintf(w, "{\"id\":%q,\"from\":\"x\",\"state\":%q%s}\n", r.Header.Get("X-Request-ID"), state, more)
	_ = http.NewResponseController(w).Flush()
}

func serveDone(w http.ResponseWriter, r *http.Request) {
	writeState(w, r, "started", "")
	writeState(w, r, "done", `,"result":"made \"here\""`)
}

func serveState(state string) job {
	return func(w http.ResponseWriter, r *http.Request) { writeState(w, r, state, "") }
}

// serveStatus responds with a status; with notRun it adds the header that says that the job was not processed.
func serveStatus(code int, notRun bool) job {
	return func(w http.ResponseWriter, _ *http.Request) {
		if notRun {
			w.Header().Set("X-Not-Processed", "1")
		}
		w.WriteHeader(code)
	}
}

// serveHang reports a job as started, but no result. It returns when the dispatcher cancels the attempt.
func serveHang(w http.ResponseWriter, r *http.Request) {
	writeState(w, r, "started", "")
	<-r.Context().Done()
}

// serveBreak closes the connection without a response.
func serveBreak(w http.ResponseWriter, _ *http.Request) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = c.Close()
	}
}

func newRunner(t *testing.T, name, site string, do job) *runner {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	rn := &runner{name: name, addr: l.Addr().String(), site: site, got: map[string]int{}}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		rn.mu.Lock()
		if r.URL.Path == "/stats" {
			rn.probes++
			rn.mu.Unlock()
			_, _ = io.WriteString(w, "TEXT qps=1, util=0.2, x0=4")
			return
		}
		rn.got[r.Header.Get("X-Request-ID")]++
		rn.last, rn.body = r, string(body)
		rn.mu.Unlock()
		do(w, r)
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return rn
}

// newDeadRunner returns a runner without a server: its address refuses connections.
func newDeadRunner(t *testing.T, name, site string) *runner {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return &runner{name: name, addr: l.Addr().String(), site: site, got: map[string]int{}}
}

// count returns the number of arrivals with a request id.
func (rn *runner) count(id string) int {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return rn.got[id]
}

// total returns the number of all arrivals, probes excluded.
func (rn *runner) total() (n int) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	for _, k := range rn.got {
		n += k
	}
	return n
}

// entry returns the runner as an entry of discovery's list.
func (rn *runner) entry(health string) map[string]any {
	return map[string]any{"host": rn.name, "dial": rn.addr, "site": rn.site, "class": "m", "block": 0,
		"health": health, "share": 1.0, "born_ms": 0}
}

// dispatcher is a process of the program under test.
type dispatcher struct {
	t    *testing.T
	cmd  *exec.Cmd
	args []string
	env  []string // variables added to the test's environment
	url  string
	disc *discovery
	file string         // the path of the configuration
	conf map[string]any // the configuration that file holds
	exit chan error     // receives the result of cmd.Wait when the process has ended
	mu   sync.Mutex
	logs bytes.Buffer
}

// settings are the dispatcher's settings in most tests. objectiveUs, the latency target, is short, because the length of the
// policy's rounds follows it. lateWorth gives late responses a value, so that a slow machine doesn't change a response.
const settings = `{"zone":"z","balancers":1,"slotNo":0,"periodUs":2000,"discovery":"ask","kinds":["m"],
 "classes":[{"name":"keyed","semantics":"keyed","keyScope":"zone","memorySpanUs":10000000,"objectiveUs":400000,"lateWorth":0.5,"deadlineUs":25000000},
  {"name":"safe","semantics":"safe","objectiveUs":400000,"lateWorth":0.5,"deadlineUs":25000000},
  {"name":"unsafe","semantics":"unsafe","objectiveUs":400000,"lateWorth":0.5,"deadlineUs":25000000}],
 "familyInfo":{"tellsStart":true,"reportX0":"free slots"},"report":{"via":"probe","fields":["qps","util","x0"]},
 "limits":{"cancelling":true,"probes":true,"retryAfter":true,"maxRetryAfterUs":2000000,"connIdleUs":5000000,
  "connectTimeoutUs":2000000,"maxAttempts":4},
 "rules":{"answerSlackUs":8000,"askWithinUs":10000000}}`

// start runs the program with a list of runners, and waits until it is ready.
func start(t *testing.T, known ...*runner) *dispatcher {
	t.Helper()
	return startWith(t, nil, known...)
}

// startWith is start with arguments for the program.
func startWith(t *testing.T, args []string, known ...*runner) *dispatcher {
	t.Helper()
	return startAs(t, settings, args, known...)
}

// startAs is startWith with the settings of another deployment.
func startAs(t *testing.T, settings string, args []string, known ...*runner) *dispatcher {
	t.Helper()
	p := launch(t, newDiscovery(t), settings, args, known...)
	p.ready()
	return p
}

// launch starts the program and returns without waiting until it is ready.
func launch(t *testing.T, disc *discovery, settings string, args []string, known ...*runner) *dispatcher {
	t.Helper()
	p := &dispatcher{t: t, args: args, disc: disc, exit: make(chan error, 1)}
	hosts := []any{}
	for _, rn := range known {
		hosts = append(hosts, rn.entry("SERVING"))
	}
	p.run(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": p.disc.addr, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"seq": 0, "whole": true, "hosts": hosts},
		"settings": json.RawMessage(settings)})
	return p
}

// ready waits until the program accepts clients.
func (p *dispatcher) ready() {
	t := p.t
	listening := regexp.MustCompile(`msg=listening addr="?([0-9.:]+)`)
	require.Eventually(t, func() bool {
		if m := listening.FindStringSubmatch(p.log()); m != nil {
			p.url = "http://" + m[1]
		}
		return p.url != ""
	}, testTimeout, time.Millisecond, "the program does not log that it listens")
	require.Equal(t, http.StatusOK, call(http.MethodGet, p.url+"/health/ready", ""))
}

// run writes the configuration file, starts the process and collects its log.
func (p *dispatcher) run(config map[string]any) {
	text, err := json.Marshal(config)
	require.NoError(p.t, err)
	p.conf, p.file = config, filepath.Join(p.t.TempDir(), "config.json")
	require.NoError(p.t, os.WriteFile(p.file, text, 0o600))
	p.cmd = exec.CommandContext(context.Background(), program, p.args...)
	p.cmd.Env = append(os.Environ(), "LB_CONFIG="+p.file, "LB_LOG_LEVEL=debug", "LB_NAME=", "LB_LISTEN=", "LB_DISCOVERY=")
	p.cmd.Env = append(p.cmd.Env, p.env...)
	out, err := p.cmd.StderrPipe()
	require.NoError(p.t, err)
	require.NoError(p.t, p.cmd.Start())
	read := make(chan struct{})
	go func() {
		defer close(read)
		for s := bufio.NewScanner(out); s.Scan(); {
			p.mu.Lock()
			p.logs.WriteString(s.Text() + "\n")
			p.mu.Unlock()
		}
	}()
	go func() { <-read; p.exit <- p.cmd.Wait() }()
	p.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		if p.t.Failed() {
			p.t.Log(p.log())
		}
	})
}

func (p *dispatcher) log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.logs.String()
}

// response is the result of a client's request: the response, or err.
type response struct {
	status int
	body   string
	header http.Header
	closed bool // the response announced that the connection closes
	err    error
}

// send sends one job as a client does, with wait as its X-Timeout, and returns the response.
func (p *dispatcher) send(ctx context.Context, path, id string, wait time.Duration, change ...func(*http.Request)) response {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url+path, strings.NewReader("the job"))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set("X-Request-ID", id)
	req.Header.Set("X-Timeout", fmt.Sprintf("%dm", wait.Milliseconds()))
	req.Header.Set("X-Cost", "1000")
	req.Header.Set("Idempotency-Key", "key-"+id)
	for _, f := range change {
		f(req)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, string(body), resp.Header, resp.Close, err}
}

// sendAsync is send without waiting for the response.
func (p *dispatcher) sendAsync(ctx context.Context, path, id string, wait time.Duration) <-chan response {
	c := make(chan response, 1)
	go func() { c <- p.send(ctx, path, id, wait) }()
	return c
}

// reload sets another discovery address in the configuration file and sends SIGHUP.
func (p *dispatcher) reload(addr string) { p.configure("discovery", addr) }

// configure changes a key of the configuration file and sends SIGHUP.
func (p *dispatcher) configure(key string, value any) {
	p.conf[key] = value
	text, err := json.Marshal(p.conf)
	require.NoError(p.t, err)
	require.NoError(p.t, os.WriteFile(p.file, text, 0o600))
	require.NoError(p.t, p.cmd.Process.Signal(syscall.SIGHUP))
}

func (p *dispatcher) stop() {
	require.NoError(p.t, p.cmd.Process.Signal(syscall.SIGTERM))
}

// call makes an HTTP call and returns the status of its response, or 0 without one.
func call(method, url, body string) (status int) {
	req, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// eventually waits until f is true, for at most testTimeout; failure is the message of a test that fails.
func eventually(t *testing.T, failure string, f func() bool) {
	t.Helper()
	require.Eventually(t, f, testTimeout, time.Millisecond, failure)
}
