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

// dispatcher is one dispatcher of the fleet and, while cmd is not nil, its process.
type dispatcher struct {
	t       *testing.T
	number  int
	dir     string
	console string
	cmd     *exec.Cmd
	log     *os.File
}

// fleetView is the console's answer to GET /fleet.
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

// cluster is a fleet of processes.
type cluster struct {
	t           *testing.T
	dispatchers []*dispatcher
	relay       *Relay // nil: they send to each other directly
}

// ownLoopback returns an address of loopback drawn at random, with any port. A port that was free there stays free until the
// program under test has it; at 127.0.0.1 another program's connection could take it meanwhile.
func ownLoopback() string {
	return fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}

// freeUDP returns a UDP address that nobody uses.
func freeUDP(t *testing.T) string {
	t.Helper()
	c, err := new(net.ListenConfig).ListenPacket(t.Context(), "udp4", ownLoopback())
	require.NoError(t, err)
	defer func() { require.NoError(t, c.Close()) }()
	return c.LocalAddr().String()
}

// freeTCP returns a TCP address that nobody uses.
func freeTCP(t *testing.T) string {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", ownLoopback())
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	return l.Addr().String()
}

// start starts n dispatchers and waits until their views agree and each owns its number.
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
	c.agree("all have joined")
	c.allOwned("each owns its number")
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

// kill ends the process, if there is one, and fails if the race detector reported anything.
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

// stop ends the process in order.
func (d *dispatcher) stop() {
	d.signal(syscall.SIGTERM)
	require.NoError(d.t, d.cmd.Wait(), "a stop in order exits with 0")
	d.cmd = nil
}

var client = &http.Client{Timeout: 5 * time.Second}

// fleetView queries the console; ok reports whether it answered.
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

// running returns the dispatchers whose processes run.
func (c *cluster) running() (out []*dispatcher) {
	for _, d := range c.dispatchers {
		if d.cmd != nil {
			out = append(out, d)
		}
	}
	return out
}

func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	if !assert.Eventually(c.t, ok, waitTimeout, 50*time.Millisecond, what) {
		for _, d := range c.running() {
			v, _ := d.fleetView()
			c.t.Logf("d%d: %+v", d.number, v)
		}
		c.t.FailNow()
	}
}

// agree waits until the views of the running dispatchers have exactly each other as living.
func (c *cluster) agree(what string) {
	c.t.Helper()
	among := c.running()
	c.eventually(what, func() bool {
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

// owners returns the owner of each number at one moment, and fails if one has two; nil if it took too long to be one moment.
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
	if time.Since(began) > time.Second { // not one moment any more: numbers may have passed
		return nil
	}
	by := map[int]int{}
	for i, v := range views {
		for _, n := range v.Numbers {
			if other, hasTwo := by[n]; hasTwo {
				require.Fail(c.t, "two own one number", "number %d: d%d and d%d", n, other, i)
			}
			by[n] = i
		}
	}
	return by
}

// allOwned waits until every number is owned.
func (c *cluster) allOwned(what string) {
	c.t.Helper()
	c.eventually(what, func() bool { return len(c.owners()) == len(c.dispatchers) })
}

// checkOwners checks for a while that no number has two owners.
func (c *cluster) checkOwners(d time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c.owners()
	}
}
