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

var soak = flag.Duration("soak", 0, "inject random faults for so long")

// waitTimeout is how long a condition is waited for. It is long so that a busy machine changes no result.
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

// Two of five are killed: the others see it, own their numbers, and give them back after the restart.
func TestKilled(t *testing.T) {
	c := start(t, 5, false)
	c.dispatchers[1].kill()
	c.dispatchers[4].kill()
	c.agree("the others have seen it")
	c.allOwned("the numbers of the dead have passed")
	c.dispatchers[1].start()
	c.dispatchers[4].start()
	c.checkOwners(3 * time.Second)
	c.agree("all have rejoined")
	c.allOwned("each owns its number again")
	for n, d := range c.owners() {
		assert.Equal(t, n, d)
	}
}

// A process that is stopped and continued keeps its number, declares nobody dead, and is alive in all views soon.
func TestStoppedAndContinued(t *testing.T) {
	c := start(t, 4, false)
	c.dispatchers[2].signal(syscall.SIGSTOP)
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, i := range []int{0, 1, 3} {
			if v, ok := c.dispatchers[i].fleetView(); ok {
				require.NotContains(t, v.Numbers, 2, "a timeout is no proof")
			}
		}
	}
	c.dispatchers[2].signal(syscall.SIGCONT)
	c.agree("it is alive in all views")
	c.allOwned("and owns its number")
	for _, d := range c.dispatchers {
		v, _ := d.fleetView()
		assert.Len(t, v.Members, 3)
	}
}

// All are restarted in order, one after another, as in an upgrade; then one is upgraded in place, with both processes at once, of
// which only one owns the number.
func TestUpgrades(t *testing.T) {
	c := start(t, 4, false)
	for _, d := range c.dispatchers {
		d.stop()
		c.checkOwners(300 * time.Millisecond)
		d.start()
		c.checkOwners(300 * time.Millisecond)
	}
	c.agree("after the last")
	c.allOwned("all numbers are owned")

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
	c.agree("the new process takes part")
	c.allOwned("and owns the number")
}

// The fleet is partitioned in several ways, long enough for each side to declare the other dead. No number moves, and once the links
// are up again the views converge by themselves.
func TestPartitions(t *testing.T) {
	c := start(t, 5, true)
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
		c.relay.SetFaults(func(a, b int) Fault { return Fault{Down: tt.cut(a, b)} })
		c.eventually(tt.name+": one side has only itself as living", func() bool {
			for _, i := range tt.part {
				if v, ok := c.dispatchers[i].fleetView(); !ok || v.Living != len(tt.part) {
					return false
				}
			}
			return true
		})
		for n, d := range c.owners() {
			assert.Equal(t, n, d, "%s: a number moved", tt.name)
		}
		c.relay.SetFaults(nil)
		c.agree(tt.name + ": healed")
		c.allOwned(tt.name + ": each owns its number")
	}
}

// A bad network loses, doubles, delays and reorders datagrams. No number moves, and afterwards all views agree.
func TestBadNetwork(t *testing.T) {
	c := start(t, 5, true)
	c.relay.SetFaults(func(int, int) Fault { return Fault{Loss: 0.3, Double: 0.3, Late: 0.3, By: 2 * time.Second} })
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for n, d := range c.owners() {
			require.Equal(t, n, d)
		}
	}
	c.relay.SetFaults(nil)
	c.agree("afterwards")
}

// An invalid script stops the program at once, with each fault by file, line and name.
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

// TestSoak injects random faults for as long as -soak says.
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
	c.agree("in the end")
	c.allOwned("all numbers are owned")
}
