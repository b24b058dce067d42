package fleet

import (
	"context"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var soak = flag.Duration("soak", 0, "duration for which TestSoak injects random faults")

// waitTimeout bounds every wait for a condition. It is long, so that a busy machine doesn't make a test fail.
const waitTimeout = 40 * time.Second

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

// Two of five dispatchers are killed. The other three declare them dead and take over their numbers. After the restart, the
// two own their numbers again.
func TestKilled(t *testing.T) {
	c := start(t, 5, false)
	c.dispatchers[1].kill()
	c.dispatchers[4].kill()
	c.agree("the others see two dispatchers as dead")
	c.allOwned("the numbers of the dead dispatchers have new owners")
	c.dispatchers[1].start()
	c.dispatchers[4].start()
	c.checkOwners(3 * time.Second)
	c.agree("all dispatchers have rejoined")
	c.allOwned("every number has an owner after the restart")
	for n, d := range c.owners() {
		assert.Equal(t, n, d)
	}
}

// A process that SIGSTOP stops for 6 seconds keeps its number: a timeout does not prove to the other dispatchers that the
// process has ended.
// After SIGCONT it is alive in all views, and no dispatcher sees another as dead.
func TestStoppedAndContinued(t *testing.T) {
	c := start(t, 4, false)
	c.dispatchers[2].signal(syscall.SIGSTOP)
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, i := range []int{0, 1, 3} {
			if v, ok := c.dispatchers[i].fleetView(); ok {
				require.NotContains(t, v.Numbers, 2, "a timeout does not prove that the owner of number 2 has ended")
			}
		}
	}
	c.dispatchers[2].signal(syscall.SIGCONT)
	c.agree("the continued dispatcher is alive in all views")
	c.allOwned("every number has an owner after SIGCONT")
	for _, d := range c.dispatchers {
		v, _ := d.fleetView()
		assert.Len(t, v.Members, 3)
	}
}

// All dispatchers are restarted one after another, as in an upgrade. Then one is upgraded in place: the new process starts
// while the old one runs, and waits for its end. At no time do two processes own the same number.
func TestUpgrades(t *testing.T) {
	c := start(t, 4, false)
	for _, d := range c.dispatchers {
		d.stop()
		c.checkOwners(300 * time.Millisecond)
		d.start()
		c.checkOwners(300 * time.Millisecond)
	}
	c.agree("all dispatchers have joined after the last restart")
	c.allOwned("every number has an owner")

	old, d := c.dispatchers[1].cmd, c.dispatchers[1]
	oldConsole := d.console
	text, err := os.ReadFile(filepath.Join(d.dir, "config.json"))
	require.NoError(t, err)
	d.console = freeTCP(t)
	d.writeFile("config.json", strings.Replace(string(text), oldConsole, d.console, 1))
	d.start()
	c.eventually("the new process waits for the old one", func() bool { v, ok := d.fleetView(); return ok && v.Waiting != "" })
	c.checkOwners(time.Second)
	require.NoError(t, old.Process.Signal(syscall.SIGTERM))
	require.NoError(t, old.Wait())
	c.agree("the new process has joined")
	c.allOwned("every number has an owner after the upgrade in place")
}

// The fleet is partitioned in several ways, long enough for one side to declare the other dead. No number moves, and once
// the links are up again the views agree without any further action.
func TestPartitions(t *testing.T) {
	c := start(t, 5, true)
	for _, tt := range []struct {
		name string
		cut  func(from, to int) bool
		side []int // the side that the test waits for: it must see only its own dispatchers as living
	}{
		{"in two", func(a, b int) bool { return (a < 2) != (b < 2) }, []int{0, 1}},
		{"one alone", func(a, b int) bool { return a == 4 || b == 4 }, []int{0, 1, 2, 3}},
		{"one way", func(a, b int) bool { return a == 3 }, []int{0, 1, 2, 4}},
		{"in three", func(a, b int) bool { return a/2 != b/2 }, []int{2, 3}},
	} {
		c.relay.SetFaults(func(a, b int) Fault { return Fault{Down: tt.cut(a, b)} })
		c.eventually(tt.name+": one side sees only its own dispatchers as living", func() bool {
			for _, i := range tt.side {
				if v, ok := c.dispatchers[i].fleetView(); !ok || v.Living != len(tt.side) {
					return false
				}
			}
			return true
		})
		for n, d := range c.owners() {
			assert.Equal(t, n, d, "%s: a number moved", tt.name)
		}
		c.relay.SetFaults(nil)
		c.agree(tt.name + ": the views agree again")
		c.allOwned(tt.name + ": every number has an owner")
	}
}

// The network loses, duplicates, delays and reorders datagrams for 8 seconds. No number moves, and afterwards all views
// agree.
func TestBadNetwork(t *testing.T) {
	c := start(t, 5, true)
	c.relay.SetFaults(func(int, int) Fault { return Fault{Loss: 0.3, Double: 0.3, Late: 0.3, By: 2 * time.Second} })
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for n, d := range c.owners() {
			require.Equal(t, n, d)
		}
	}
	c.relay.SetFaults(nil)
	c.agree("the views agree after the faults")
}

// An invalid fleet script makes the program exit with 1 and report each fault with its position or the name of the
// parameter.
func TestInvalidScripts(t *testing.T) {
	d := &dispatcher{t: t, dir: t.TempDir(), console: freeTCP(t)}
	d.writeFile("config.json", `{"name":"d0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"classes":[{"name":"c","semantics":"safe","deadlineUs":1000000}]}}`)
	for text, want := range map[string][]string{
		"x = 1\nfleet(name = 7, interval = 500)": {"fleet.star:2:6: fleet: name: is int 7", "interval: is int 500", "key: is missing"},
		"fleet(":                                 {"fleet.star:1:7"},
		"":                                       {"fleet(...): is not called"},
		`fleet(name = "f", key = "sixteen bytes or more", listen = "127.0.0.1:9", roster = ["127.0.0.1:9", "127.0.0.1:10"], refusals = True)`: {
			"settings.balancers: is 0 with slotNo 0, but roster has 2 addresses"},
	} {
		d.writeFile("fleet.star", text)
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

// TestSoak kills, stops and restarts random dispatchers for the duration of -soak. At no time may a number have two owners.
func TestSoak(t *testing.T) {
	if *soak == 0 {
		t.Skip("-soak is not set")
	}
	c := start(t, 7, false)
	for end := time.Now().Add(*soak); time.Now().Before(end); {
		d := c.dispatchers[time.Now().UnixNano()%7]
		switch time.Now().UnixNano() / 7 % 3 {
		case 0:
			d.kill()
			c.checkOwners(time.Duration(time.Now().UnixNano()%5) * time.Second)
			d.start()
		case 1:
			d.signal(syscall.SIGSTOP)
			time.Sleep(3 * time.Second)
			d.signal(syscall.SIGCONT)
		case 2:
			d.stop()
			d.start()
		}
		c.checkOwners(2 * time.Second)
	}
	c.agree("the views agree after all faults")
	c.allOwned("every number has an owner")
}
