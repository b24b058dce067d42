package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
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

var soak = flag.Duration("soak", 0, "go on with faults at random for so long, with a seed that is printed")

// patience is how long a condition is waited for. It is long so that a noisy machine changes no verdict.
const patience = 40 * time.Second

var program string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "ospreypond")
	if out, err := exec.CommandContext(context.Background(), "go", "build", "-race", "-o", program, "ospreypond/cmd/ospreypond").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// dispatcher is one place of the fleet; its process comes and goes.
type dispatcher struct {
	t       *testing.T
	number  int
	dir     string
	console string
	cmd     *exec.Cmd
	log     *os.File
}

// look is what its console says of the fleet.
type look struct {
	Name       string
	Living     int
	Digest     uint64
	Settled    bool
	Superseded bool
	Numbers    []int
	Members    []struct{ Name, State string }
	Waiting    string
}

type rig struct {
	t     *testing.T
	all   []*dispatcher
	relay *Relay // nil: they speak to each other directly
}

// ownLoopback returns an address of loopback drawn at random, with any port. A port that was free there stays free until the
// program under test has it; at 127.0.0.1 another program's connection could take it meanwhile.
func ownLoopback() string {
	return fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}

func freeUDP(t *testing.T) string {
	t.Helper()
	c, err := new(net.ListenConfig).ListenPacket(t.Context(), "udp4", ownLoopback())
	require.NoError(t, err)
	defer func() { require.NoError(t, c.Close()) }()
	return c.LocalAddr().String()
}

func freeTCP(t *testing.T) string {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", ownLoopback())
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	return l.Addr().String()
}

// start starts n dispatchers and waits until all know all and each acts for its own number.
func start(t *testing.T, n int, relayed bool) *rig {
	t.Helper()
	r := &rig{t: t}
	real := make([]string, n)
	for i := range real {
		real[i] = freeUDP(t)
	}
	front := real
	if relayed {
		var err error
		r.relay, err = NewRelay(real)
		require.NoError(t, err)
		t.Cleanup(r.relay.Close)
		front = r.relay.Front
	}
	for i := range n {
		d := &dispatcher{t: t, number: i, dir: t.TempDir(), console: freeTCP(t)}
		d.write("fleet.star", fmt.Sprintf("real = %s\nroster = %s\nfleet(name = \"test\", key = \"sixteen bytes or more\", listen = real[number],\n"+
			"    advertise = roster[number], roster = roster, refusals = True, interval = 100 * ms, lease = 2 * s)\n", list(real), list(front)))
		d.write("config.json", fmt.Sprintf(`{"name":"d%d","listen":%q,"discovery":"127.0.0.1:1","console":%q,"seed":"%x","settings":{"zone":"z",
			"slotNo":%d,"balancers":%d,"discovery":"ask","rules":{"askWithinUs":60000000},
			"classes":[{"name":"c","semantics":"safe","objectiveUs":500000,"deadlineUs":1000000}]}}`, i, freeTCP(t), d.console, i+1, i, n))
		d.start()
		t.Cleanup(d.kill)
		r.all = append(r.all, d)
	}
	r.agree("all are met")
	r.whole("each has its own")
	return r
}

func list(s []string) string {
	b, _ := json.Marshal(s)
	return string(b)
}

func (d *dispatcher) write(name, text string) {
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

// stop ends a process in order.
func (d *dispatcher) stop() {
	d.signal(syscall.SIGTERM)
	require.NoError(d.t, d.cmd.Wait(), "a stop in order exits with 0")
	d.cmd = nil
}

var client = &http.Client{Timeout: 5 * time.Second}

// look asks the console; ok is false while it does not answer.
func (d *dispatcher) look() (l look, ok bool) {
	request, err := http.NewRequestWithContext(d.t.Context(), http.MethodGet, "http://"+d.console+"/fleet", nil)
	if err != nil {
		return l, false
	}
	response, err := client.Do(request)
	if err != nil {
		return l, false
	}
	err = json.NewDecoder(response.Body).Decode(&l)
	return l, errors.Join(err, response.Body.Close()) == nil
}

// running returns those whose processes run.
func (r *rig) running() (out []*dispatcher) {
	for _, d := range r.all {
		if d.cmd != nil {
			out = append(out, d)
		}
	}
	return out
}

func (r *rig) eventually(what string, ok func() bool) {
	r.t.Helper()
	if !assert.Eventually(r.t, ok, patience, 50*time.Millisecond, what) {
		for _, d := range r.running() {
			l, _ := d.look()
			r.t.Logf("d%d: %+v", d.number, l)
		}
		r.t.FailNow()
	}
}

// agree waits until those that run hold just each other living.
func (r *rig) agree(what string) {
	r.t.Helper()
	among := r.running()
	r.eventually(what, func() bool {
		var digest uint64
		for _, d := range among {
			l, ok := d.look()
			if !ok || l.Living != len(among) || digest != 0 && l.Digest != digest {
				return false
			}
			digest = l.Digest
		}
		return true
	})
}

// held returns who acts for each number, at one moment, and fails if two do.
func (r *rig) held() map[int]int {
	r.t.Helper()
	looks := make([]look, len(r.all))
	var all sync.WaitGroup
	began := time.Now()
	for i, d := range r.all {
		if d.cmd != nil {
			all.Go(func() { looks[i], _ = d.look() })
		}
	}
	all.Wait()
	if time.Since(began) > time.Second { // not one moment any more: parts may have passed
		return nil
	}
	by := map[int]int{}
	for i, l := range looks {
		for _, n := range l.Numbers {
			if other, two := by[n]; two {
				require.Fail(r.t, "two act for one number", "number %d: d%d and d%d", n, other, i)
			}
			by[n] = i
		}
	}
	return by
}

// whole waits until every number is acted for.
func (r *rig) whole(what string) {
	r.t.Helper()
	r.eventually(what, func() bool { return len(r.held()) == len(r.all) })
}

// watch looks at the numbers for a while.
func (r *rig) watch(d time.Duration) {
	r.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r.held()
	}
}

// Two of five are killed: the others know, act for their numbers, and give them back when they are there again.
func TestKilled(t *testing.T) {
	r := start(t, 5, false)
	r.all[1].kill()
	r.all[4].kill()
	r.agree("the others know")
	r.whole("the numbers of the dead have passed")
	r.all[1].start()
	r.all[4].start()
	r.watch(3 * time.Second)
	r.agree("all are back")
	r.whole("each has its own again")
	for n, d := range r.held() {
		assert.Equal(t, n, d)
	}
}

// A process that is stopped and continued keeps its number, shuts nobody out, and is back soon.
func TestStoppedAndContinued(t *testing.T) {
	r := start(t, 4, false)
	r.all[2].signal(syscall.SIGSTOP)
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, i := range []int{0, 1, 3} {
			if l, ok := r.all[i].look(); ok {
				require.NotContains(t, l.Numbers, 2, "silence is no proof")
			}
		}
	}
	r.all[2].signal(syscall.SIGCONT)
	r.agree("it is back")
	r.whole("with its number")
	for _, d := range r.all {
		l, _ := d.look()
		assert.Len(t, l.Members, 3)
	}
}

// All are restarted in order, one after another, as at an upgrade; then one is upgraded in place, with both processes there
// at once: one share, not two.
func TestUpgrades(t *testing.T) {
	r := start(t, 4, false)
	for _, d := range r.all {
		d.stop()
		r.watch(300 * time.Millisecond)
		d.start()
		r.watch(300 * time.Millisecond)
	}
	r.agree("after the last")
	r.whole("all numbers")

	old, d := r.all[1].cmd, r.all[1]
	oldConsole := d.console
	text, err := os.ReadFile(filepath.Join(d.dir, "config.json"))
	require.NoError(t, err)
	d.console = freeTCP(t)
	d.write("config.json", strings.Replace(string(text), oldConsole, d.console, 1))
	d.start()
	r.eventually("the new one waits for the old", func() bool { l, ok := d.look(); return ok && l.Waiting != "" })
	r.watch(time.Second)
	require.NoError(t, old.Process.Signal(syscall.SIGTERM))
	require.NoError(t, old.Wait())
	r.agree("the new one takes part")
	r.whole("with the number")
}

// Links are cut in several ways, long enough for each side to hold the other dead. No number moves; once the links are
// mended the views meet again by themselves.
func TestPartitions(t *testing.T) {
	r := start(t, 5, true)
	for _, tt := range []struct {
		name string
		cut  func(from, to int) bool
		part []int // knows just itself
	}{
		{"in two", func(a, b int) bool { return (a < 2) != (b < 2) }, []int{0, 1}},
		{"one alone", func(a, b int) bool { return a == 4 || b == 4 }, []int{0, 1, 2, 3}},
		{"one way", func(a, b int) bool { return a == 3 }, []int{0, 1, 2, 4}},
		{"in three", func(a, b int) bool { return a/2 != b/2 }, []int{2, 3}},
	} {
		r.relay.Break(func(a, b int) Fault { return Fault{Cut: tt.cut(a, b)} })
		r.eventually(tt.name+": one side knows just itself", func() bool {
			for _, i := range tt.part {
				if l, ok := r.all[i].look(); !ok || l.Living != len(tt.part) {
					return false
				}
			}
			return true
		})
		for n, d := range r.held() {
			assert.Equal(t, n, d, "%s: a number moved", tt.name)
		}
		r.relay.Break(nil)
		r.agree(tt.name + ": healed")
		r.whole(tt.name + ": each has its own")
	}
}

// A bad network: lost, doubled, late and reordered. All are there when it is over, and all numbers stay where they are.
func TestBadNetwork(t *testing.T) {
	r := start(t, 5, true)
	r.relay.Break(func(int, int) Fault { return Fault{Loss: 0.3, Double: 0.3, Late: 0.3, By: 2 * time.Second} })
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for n, d := range r.held() {
			require.Equal(t, n, d)
		}
	}
	r.relay.Break(nil)
	r.agree("afterwards")
}

// Nonsense in the file stops the program at once, each fault told by file, line and name.
func TestNonsenseIsRefused(t *testing.T) {
	d := &dispatcher{t: t, dir: t.TempDir(), console: freeTCP(t)}
	d.write("config.json", `{"name":"d0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"classes":[{"name":"c","semantics":"safe","deadlineUs":1000000}]}}`)
	for text, want := range map[string][]string{
		"x = 1\nfleet(name = 7, interval = 500)": {"fleet.star:2:6: fleet: name: is int 7", "interval: is int 500", "key: is missing"},
		"fleet(":                                 {"fleet.star:1:7"},
		"":                                       {"fleet(...): is not called"},
		`fleet(name = "f", key = "sixteen bytes or more", listen = "127.0.0.1:9", roster = ["127.0.0.1:9", "127.0.0.1:10"], refusals = True)`: {
			"settings.balancers: is 0 with slotNo 0, but roster has 2 addresses"},
	} {
		d.write("fleet.star", text)
		c := d.command()
		c.Stderr = nil
		out, err := c.CombinedOutput()
		var exit *exec.ExitError
		require.ErrorAs(t, err, &exit, text)
		assert.Equal(t, 1, exit.ExitCode())
		for _, w := range want {
			assert.Contains(t, string(out), w, text)
		}
	}
}

// TestSoak goes on with faults at random for as long as -soak says.
func TestSoak(t *testing.T) {
	if *soak == 0 {
		t.Skip("-soak is not set")
	}
	r := start(t, 7, false)
	for end := time.Now().Add(*soak); time.Now().Before(end); {
		d := r.all[time.Now().UnixNano()%7]
		switch time.Now().UnixNano() / 7 % 3 {
		case 0:
			d.kill()
			r.watch(time.Duration(time.Now().UnixNano()%5) * time.Second)
			d.start()
		case 1:
			d.signal(syscall.SIGSTOP)
			time.Sleep(3 * time.Second)
			d.signal(syscall.SIGCONT)
		case 2:
			d.stop()
			d.start()
		}
		r.watch(2 * time.Second)
	}
	r.agree("in the end")
	r.whole("all numbers")
}
