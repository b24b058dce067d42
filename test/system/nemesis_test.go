package system

import (
	"bytes"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// minNemesisUptime is the time between two kills of one process. `localcluster` gives up a process that ends soon after its
// start several times.
const minNemesisUptime = 5 * time.Second

// nemesis disturbs the processes of a localSystem by signals. The disturbances come in series and overlap.
type nemesis struct {
	system *localSystem
	random *rand.Rand
	killed map[string]time.Time // newest kill by the name of the process
	frozen sync.WaitGroup       // processes that will be thawed
}

func newNemesis(system *localSystem, seed uint64) *nemesis {
	return &nemesis{system: system, random: rand.New(rand.NewPCG(seed, seed)), killed: map[string]time.Time{}}
}

// run disturbs drawn processes until the duration has passed, and returns when none is frozen any more.
func (n *nemesis) run(duration time.Duration) {
	frontends, controls := []string{"frontend-1", "frontend-2"}, []string{"control-1", "control-2", "control-3"}
	for end := time.Now().Add(duration); time.Now().Before(end); {
		frontend, control := frontends[n.random.IntN(2)], controls[n.random.IntN(3)]
		switch n.random.IntN(10) {
		case 0, 1, 2, 3, 4:
			n.freeze(frontend, 1500*time.Millisecond)
		case 5, 6:
			n.freeze(control, 2500*time.Millisecond)
		case 7:
			n.end(frontend, syscall.SIGTERM)
		case 8:
			n.end(control, syscall.SIGKILL)
		case 9:
			for _, name := range controls {
				n.end(name, syscall.SIGKILL)
			}
		}
		time.Sleep(n.between(50*time.Millisecond, 900*time.Millisecond))
	}
	n.frozen.Wait()
}

// between draws a time.
func (n *nemesis) between(from, to time.Duration) time.Duration {
	return from + time.Duration(n.random.Int64N(int64(to-from)))
}

// freeze stops a process and resumes it after a drawn time.
func (n *nemesis) freeze(name string, longest time.Duration) {
	pid := n.system.currentPid(name)
	if pid == 0 || syscall.Kill(pid, syscall.SIGSTOP) != nil {
		return
	}
	span := n.between(100*time.Millisecond, longest)
	n.frozen.Go(func() {
		time.Sleep(span)
		_ = syscall.Kill(pid, syscall.SIGCONT) // an error means that the process was killed while it was frozen
	})
}

// end sends a signal that ends a process, unless it was killed a short time ago.
func (n *nemesis) end(name string, signal syscall.Signal) {
	if time.Since(n.killed[name]) < minNemesisUptime {
		return
	}
	if pid := n.system.currentPid(name); pid != 0 {
		n.killed[name] = time.Now()
		_ = syscall.Kill(pid, signal) // an error means that the process has ended by itself
	}
}

// currentPid returns the id of the process that runs on a machine now, or 0 if there is none.
func (s *localSystem) currentPid(name string) int {
	settings := []byte("=" + filepath.Join(s.dir, name, "settings.json") + "\x00")
	paths, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, path := range paths {
		environment, err := os.ReadFile(path)
		if err != nil || !bytes.Contains(append(environment, 0), settings) {
			continue
		}
		pid, err := strconv.Atoi(filepath.Base(filepath.Dir(path)))
		if err == nil {
			return pid
		}
	}
	return 0
}
