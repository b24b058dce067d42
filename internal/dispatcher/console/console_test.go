package console

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

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fakeOperations carries out the calls on its fields. known has the runners that exist.
type fakeOperations struct {
	mu       sync.Mutex
	drained  bool
	disabled map[string]bool
	known    map[string]bool
	fleet    any
}

func (f *fakeOperations) Ready() (bool, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.drained {
		return false, "drained"
	}
	return true, ""
}
func (f *fakeOperations) Drain()   { f.mu.Lock(); f.drained = true; f.mu.Unlock() }
func (f *fakeOperations) Undrain() { f.mu.Lock(); f.drained = false; f.mu.Unlock() }
func (f *fakeOperations) Disable(id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known[id] {
		return fmt.Errorf("disable: %w", ErrUnknownRunner)
	}
	f.disabled[id] = true
	return nil
}
func (f *fakeOperations) Enable(id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known[id] {
		return fmt.Errorf("enable: %w", ErrUnknownRunner)
	}
	delete(f.disabled, id)
	return nil
}

func (f *fakeOperations) GivenUp() map[string]int64 {
	return map[string]int64{"head-slow": 3, "header:X-Timeout": 1, "body-left": 3}
}

func (f *fakeOperations) Reloads() string { return "1 taken, 0 refused" }
func (f *fakeOperations) Fleet() any      { return f.fleet }

// start starts a console on the runner "s-1", and returns its URL and the operations that it calls.
func start(t *testing.T) (string, *fakeOperations) {
	t.Helper()
	f := &fakeOperations{disabled: map[string]bool{}, known: map[string]bool{"s-1": true}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := New(f, log)
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return "http://" + l.Addr().String(), f
}

// call makes one call and returns the response's status and text.
func call(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	c := http.Client{Timeout: time.Second}
	resp, err := c.Do(req)
	require.NoError(t, err)
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	assert.True(t, resp.Close, "one call per connection")
	return resp.StatusCode, strings.TrimSpace(string(text))
}

// Each call reaches its operation, and its response has the expected status and text.
func TestCallsReachTheirOperations(t *testing.T) {
	at, f := start(t)
	code, _ := call(t, "GET", at+"/ready", "")
	assert.Equal(t, 200, code)

	code, _ = call(t, "POST", at+"/drain", "")
	assert.Equal(t, 200, code)
	code, text := call(t, "GET", at+"/ready", "")
	assert.Equal(t, 503, code)
	assert.Contains(t, text, "drained")
	code, _ = call(t, "POST", at+"/undrain", "")
	assert.Equal(t, 200, code)
	code, _ = call(t, "GET", at+"/ready", "")
	assert.Equal(t, 200, code)

	code, _ = call(t, "POST", at+"/runners/disable", "s-1\n")
	assert.Equal(t, 200, code)
	assert.True(t, f.disabled["s-1"], "white space around the id is ignored")
	code, _ = call(t, "POST", at+"/runners/enable", "s-1")
	assert.Equal(t, 200, code)
	assert.False(t, f.disabled["s-1"])

	code, text = call(t, "GET", at+"/givenup", "")
	assert.Equal(t, 200, code)
	assert.Equal(t, "3 body-left\n3 head-slow\n1 header:X-Timeout\n7 in all", text, "the most frequent reason is first")
	code, text = call(t, "GET", at+"/reloads", "")
	assert.Equal(t, 200, code)
	assert.Equal(t, "1 taken, 0 refused", text)
}

// A call with an unknown runner, an invalid body, the wrong method or an unknown path is refused with a 4xx status and
// the reason.
func TestInvalidCallsAreRefused(t *testing.T) {
	at, _ := start(t)
	for _, c := range []struct {
		method, path, body string
		code               int
		says               string
	}{
		{"POST", "/runners/disable", "s-9", 404, "no runner has this id"},
		{"POST", "/runners/enable", "s-9", 404, "no runner has this id"},
		{"POST", "/runners/disable", "", 400, "empty"},
		{"POST", "/runners/disable", "  \n", 400, "empty"},
		{"POST", "/runners/disable", "s-1 s-2", 400, "more than one id"},
		{"POST", "/runners/disable", strings.Repeat("x", 300), 413, "over 256"},
		{"GET", "/drain", "", 405, "only POST"},
		{"POST", "/ready", "", 405, "only GET"},
		{"POST", "/givenup", "", 405, "only GET"},
		{"GET", "/runners/disable", "", 405, "only POST"},
		{"GET", "/nothing", "", 404, "no such call"},
	} {
		code, text := call(t, c.method, at+c.path, c.body)
		assert.Equal(t, c.code, code, "%s %s %q", c.method, c.path, c.body)
		assert.Contains(t, text, c.says, "%s %s %q", c.method, c.path, c.body)
	}
}

// Guards against callers that connect and never finish their call: they must not delay other calls, and their connections
// must be closed.
func TestUnfinishedCallsDelayNoOthers(t *testing.T) {
	at, _ := start(t)
	host := strings.TrimPrefix(at, "http://")
	var hung []net.Conn
	for i := range 20 {
		c, err := new(net.Dialer).DialContext(t.Context(), "tcp", host)
		require.NoError(t, err)
		hung = append(hung, c)
		if i%2 == 0 { // half of the callers send part of a head, the other half sends no data
			_, _ = c.Write([]byte("POST /drain HTTP/1.1\r\nHost: x\r\n"))
		}
	}
	began := time.Now()
	code, _ := call(t, "GET", at+"/ready", "")
	assert.Equal(t, 200, code)
	assert.Less(t, time.Since(began), 200*time.Millisecond)

	for _, c := range hung {
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, err := bufio.NewReader(c).ReadByte()
		assert.Error(t, err, "an unfinished call is closed")
		_ = c.Close()
	}
	assert.Less(t, time.Since(began), 2*time.Second)
}
