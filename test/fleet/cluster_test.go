package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// dispatcher is one dispatcher of the fleet. cmd is its process, or nil while it does not run.
type dispatcher struct {
	t       *testing.T
	number  int
	dir     string
	console string
	cmd     *exec.Cmd
	log     *os.File
}

// fleetView is the console's response to GET /fleet, decoded from JSON by the names of the fields.
type fleetView struct {
	Name       string
	Living     int
	Digest     uint64
	Settled    bool
	Superseded bool
	Numbers    []int
	Members    []struct{ Name, State string }
	Waiting    string
}

// cluster is a fleet of dispatcher processes.
type cluster struct {
	t           *testing.T
	dispatchers []*dispatcher
	relay       *Relay // nil if the dispatchers send to each other directly
}

// ownLoopback returns a random loopback address with port 0, at which the system chooses a free port. A port that is free
// there is still free when the program under test listens at it; at 127.0.0.1 a connection of another process could take it
// before.
func ownLoopback() string {
	return fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}

// freeUDP returns an unused UDP address on loopback.
func freeUDP(t *testing.T) string {
	t.Helper()
	c, err := new(net.ListenConfig).ListenPacket(t.Context(), "udp4", ownLoopback())
	require.NoError(t, err)
	defer func() { require.NoError(t, c.Close()) }()
	return c.LocalAddr().String()
}

// freeTCP returns an unused TCP address on loopback.
func freeTCP(t *testing.T) string {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", ownLoopback())
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	return l.Addr().String()
}

// start starts n dispatchers and waits until their views agree and every number has an owner. With relayed, they send to
// each other through a Relay.
func start(t *testing.T, n int, relayed bool) *cluster {
	t.Helper()
	c := &cluster{t: t}
	sockets := make([]string, n)
	for i := range sockets {
		sockets[i] = freeUDP(t)
	}
	advertised := sockets
	if relayed {
		var err error
		c.relay, err = NewRelay(sockets)
		require.NoError(t, err)
		t.Cleanup(c.relay.Close)
		advertised = c.relay.Addrs
	}
	for i := range n {
		d := &dispatcher{t: t, number: i, dir: t.TempDir(), console: freeTCP(t)}
		d.writeFile("fleet.star", fmt.Sprintf("real = %s\nroster = %s\nfleet(name = \"test\", key = \"sixteen bytes or more\", listen = real[number],\n"+
			"    advertise = roster[number], roster = roster, refusals = True, interval = 100 * ms, lease = 2 * s)\n", list(sockets), list(advertised)))
		d.writeFile("config.json", fmt.Sprintf(`{"name":"d%d","listen":%q,"discovery":"127.0.0.1:1","console":%q,"seed":"%x","settings":{"zone":"z",
			"slotNo":%d,"balancers":%d,"discovery":"ask","rules":{"askWithinUs":60000000},
			"classes":[{"name":"c","semantics":"safe","objectiveUs":500000,"deadlineUs":1000000}]}}`, i, freeTCP(t), d.console, i+1, i, n))
		d.start()
		t.Cleanup(d.kill)
		c.dispatchers = append(c.dispatchers, d)
	}
	c.agree("all dispatchers have joined")
	c.allOwned("every number has an owner")
	return c
}

// list returns a Starlark list of strings.
func list(s []string) string {
	b, _ := json.Marshal(s)
	return string(b)
}

func (d *dispatcher) writeFile(name, text string) {
	require.NoError(d.t, os.WriteFile(filepath.Join(d.dir, name), []byte(text), 0o600))
}

// command returns the command that starts the dispatcher, with its standard error in its log.
func (d *dispatcher) command() *exec.Cmd {
	c := exec.CommandContext(context.Background(), program, "serve", "--fleet", filepath.Join(d.dir, "fleet.star"))
	c.Env = append(os.Environ(), "LB_CONFIG="+filepath.Join(d.dir, "config.json"), "TMPDIR="+d.dir)
	c.Stderr = d.log
	return c
}

func (d *dispatcher) start() {
	var err error
	d.log, err = os.OpenFile(filepath.Join(d.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(d.t, err)
	d.cmd = d.command()
	require.NoError(d.t, d.cmd.Start())
}

func (d *dispatcher) signal(s syscall.Signal) { require.NoError(d.t, d.cmd.Process.Signal(s)) }

// kill ends a running process with SIGKILL, and fails the test if the race detector has reported a race in its log.
func (d *dispatcher) kill() {
	if d.cmd != nil {
		_ = d.cmd.Process.Kill()
		_ = d.cmd.Wait()
		d.cmd = nil
		if text, _ := os.ReadFile(filepath.Join(d.dir, "log")); strings.Contains(string(text), "DATA RACE") {
			d.t.Errorf("d%d:\n%s", d.number, text)
		}
	}
}

// stop ends the process with SIGTERM and requires that it exits with 0.
func (d *dispatcher) stop() {
	d.signal(syscall.SIGTERM)
	require.NoError(d.t, d.cmd.Wait(), "exit status after SIGTERM")
	d.cmd = nil
}

var client = &http.Client{Timeout: 5 * time.Second}

// fleetView returns the view in the response of the dispatcher's console; ok reports whether there was a valid response.
func (d *dispatcher) fleetView() (v fleetView, ok bool) {
	request, err := http.NewRequestWithContext(d.t.Context(), http.MethodGet, "http://"+d.console+"/fleet", nil)
	if err != nil {
		return v, false
	}
	response, err := client.Do(request)
	if err != nil {
		return v, false
	}
	err = json.NewDecoder(response.Body).Decode(&v)
	return v, errors.Join(err, response.Body.Close()) == nil
}

// running returns the dispatchers that have a process.
func (c *cluster) running() (out []*dispatcher) {
	for _, d := range c.dispatchers {
		if d.cmd != nil {
			out = append(out, d)
		}
	}
	return out
}

func (c *cluster) eventually(condition string, ok func() bool) {
	c.t.Helper()
	if !assert.Eventually(c.t, ok, waitTimeout, 50*time.Millisecond, condition) {
		for _, d := range c.running() {
			v, _ := d.fleetView()
			c.t.Logf("d%d: %+v", d.number, v)
		}
		c.t.FailNow()
	}
}

// agree waits until the running dispatchers have equal views, each with as many living dispatchers as run.
func (c *cluster) agree(condition string) {
	c.t.Helper()
	among := c.running()
	c.eventually(condition, func() bool {
		var digest uint64
		for _, d := range among {
			v, ok := d.fleetView()
			if !ok || v.Living != len(among) || digest != 0 && v.Digest != digest {
				return false
			}
			digest = v.Digest
		}
		return true
	})
}

// owners queries all running dispatchers at the same time and returns the owner's number of each owned number. It fails the
// test if a number has two owners. It returns nil if the queries took longer than a second, because ownership may have
// changed between them.
func (c *cluster) owners() map[int]int {
	c.t.Helper()
	views := make([]fleetView, len(c.dispatchers))
	var queries sync.WaitGroup
	began := time.Now()
	for i, d := range c.dispatchers {
		if d.cmd != nil {
			queries.Go(func() { views[i], _ = d.fleetView() })
		}
	}
	queries.Wait()
	if time.Since(began) > time.Second { // a number may have moved from one dispatcher to another between two queries
		return nil
	}
	by := map[int]int{}
	for i, v := range views {
		for _, n := range v.Numbers {
			if other, hasTwo := by[n]; hasTwo {
				require.Fail(c.t, "a number has two owners", "number %d: d%d and d%d", n, other, i)
			}
			by[n] = i
		}
	}
	return by
}

// allOwned waits until every number is owned.
func (c *cluster) allOwned(condition string) {
	c.t.Helper()
	c.eventually(condition, func() bool { return len(c.owners()) == len(c.dispatchers) })
}

// checkOwners checks repeatedly during d that no number has two owners.
func (c *cluster) checkOwners(d time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c.owners()
	}
}
