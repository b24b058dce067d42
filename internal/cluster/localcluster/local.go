package localcluster

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/administration"
	"ospreypond/internal/cluster/administration/archive"
	"ospreypond/internal/cluster/boot"
	"ospreypond/internal/cluster/localcluster/runner"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/store/vfs"
)

// StandardNetwork is where the machines are, by default.
const StandardNetwork = "127.77.0"

// lockName is the file that is locked while a local system runs in its folder.
const lockName = "lock"

const (
	readyPatience = time.Minute
	readyPoll     = 100 * time.Millisecond
	askTime       = time.Second
)

// Options say what to run.
type Options struct {
	Dir     string    // holds settings, logs and data; made if it is missing
	Network string    // first three numbers of the machines' addresses
	Program string    // of the processes
	Restore string    // a backup to start from; empty: none
	Out     io.Writer // what happens, in text
}

// System is a local system.
type System struct {
	options   Options
	backup    *archive.Archive // to start from, or nil
	machines  []*machine
	processes []*process
	starter   *starter
	mutex     sync.Mutex // of Out
}

// Run starts the system, tells what stands where, and keeps it going until ctx ends; then all is ended in order.
func Run(ctx context.Context, options Options) error {
	s := &System{options: options}
	if err := s.checkOptions(); err != nil {
		return err
	}
	if err := os.MkdirAll(s.options.Dir, 0o700); err != nil {
		return err
	}
	lock, err := s.lock()
	if err != nil {
		return err
	}
	defer lock.Close()
	if err := s.prepare(); err != nil {
		return err
	}
	s.starter = newStarter()
	defer s.starter.close()
	failed := make(chan error, len(s.machines))
	stopControl := s.startRole("control", failed)
	stopFrontends := s.startRole("frontend", failed)
	stopAgents := s.startRole("agent", failed)
	stopRunners := s.startRunners()
	err = s.serve(ctx, failed)
	s.say("stopping")
	stopRunners()
	together(stopAgents, stopFrontends)
	stopControl()
	s.say("all processes have ended")
	return err
}

// together calls all at once and waits for them.
func together(calls ...func()) {
	var waiting sync.WaitGroup
	for _, call := range calls {
		waiting.Go(call)
	}
	waiting.Wait()
}

// serve waits until the system is ready, and then until its end.
func (s *System) serve(ctx context.Context, failed <-chan error) error {
	starting, cancel := context.WithTimeout(ctx, readyPatience)
	defer cancel()
	ready := make(chan error, 1)
	go func() { ready <- s.becomeReady(starting) }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case err := <-ready:
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
				return errors.Wrapf(err, "the system is not ready; look at the logs under %s", s.options.Dir)
			}
			s.introduce()
			ready = nil
		}
	}
}

// checkOptions checks the options and takes what they say. It makes and changes nothing.
func (s *System) checkOptions() error {
	dir, err := filepath.Abs(s.options.Dir)
	if err != nil {
		return err
	}
	s.options.Dir = dir
	if info, err := os.Stat(dir); err == nil && !info.IsDir() {
		return errors.Errorf("%s is not a folder", dir)
	}
	if s.machines, err = machinesOf(dir, s.options.Network); err != nil {
		return err
	}
	if _, err := exec.LookPath(s.options.Program); err != nil {
		return errors.Wrap(err, "the program of the processes")
	}
	if s.options.Restore != "" {
		s.backup, err = archive.Read(s.options.Restore)
	}
	return err
}

// prepare writes what the processes start from.
func (s *System) prepare() error {
	first := s.isFirst()
	if !first {
		if err := s.checkNetwork(); err != nil {
			return err
		}
	}
	if err := checkFree(s.machines); err != nil {
		return err
	}
	if s.backup != nil {
		if !first {
			return errors.Errorf("folder %s holds a system already; a backup is restored into a new one", s.options.Dir)
		}
		first = false
	}
	for _, m := range s.machines {
		if err := m.writeSettings(s.machines, first); err != nil {
			return err
		}
	}
	if s.backup != nil {
		return s.restore()
	}
	return nil
}

// lock makes sure that no other local system runs in the folder.
func (s *System) lock() (io.Closer, error) {
	lock, err := vfs.OS{}.Lock(filepath.Join(s.options.Dir, lockName))
	if errors.Is(err, vfs.ErrLocked) {
		return nil, errors.Errorf("a local system runs in %s already", s.options.Dir)
	}
	return lock, err
}

// checkNetwork tells if the system in the folder has other addresses: its members know each other by them.
func (s *System) checkNetwork() error {
	m := ofRole(s.machines, "control")[0]
	settings, err := boot.Load(m.settingsPath())
	if err == nil && settings.IP != m.ip {
		return errors.Errorf("folder %s holds a system with %s at %s; use its --network", s.options.Dir, m.name, settings.IP)
	}
	return nil
}

// isFirst tells whether no control process has run here yet.
func (s *System) isFirst() bool {
	for _, m := range ofRole(s.machines, "control") {
		if entries, err := os.ReadDir(m.dataDir()); err == nil && len(entries) > 0 {
			return false
		}
	}
	return true
}

// restore puts a backup into the first control process's folder; the others join it.
func (s *System) restore() error {
	m := ofRole(s.machines, "control")[0]
	return s.backup.Restore(m.dataDir(), archive.Process{Node: m.name, Zone: m.zone, Address: m.address(internalPort)})
}

// startRole keeps the processes of a role running; the result stops them.
func (s *System) startRole(role string, failed chan<- error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var waiting sync.WaitGroup
	for _, m := range ofRole(s.machines, role) {
		p := &process{machine: m, program: s.options.Program, say: s.say, start: s.starter.start}
		s.processes = append(s.processes, p)
		waiting.Go(func() {
			if err := p.keep(ctx); err != nil {
				failed <- err
			}
		})
	}
	return func() {
		cancel()
		waiting.Wait()
	}
}

// startRunners runs a stand-in runner beside each agent; the result ends them.
func (s *System) startRunners() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var waiting sync.WaitGroup
	for i, m := range ofRole(s.machines, "agent") {
		options := runner.Options{
			Instance: "i-" + m.name + "-" + drawSuffix(),
			Service:  Service,
			Address:  m.address(runnerPort),
			Zone:     m.zone,
			Capacity: protocol.Resources{CPU: 8000, MemoryMB: 16384, GPU: 1},
			Labels:   []string{"stand-in", "rack-" + strconv.Itoa(i+1)},
			Interval: 1500 * time.Millisecond,
			MaxLease: boot.DefaultBounds().MaxLease,
		}
		started := runner.Start(options, m.address(controlPort), nil)
		waiting.Go(func() { started.Run(ctx) })
	}
	return func() {
		cancel()
		waiting.Wait()
	}
}

// drawSuffix makes the name of a runner's incarnation its own.
func drawSuffix() string {
	var random [4]byte
	_, _ = rand.Read(random[:]) // it never fails
	return hex.EncodeToString(random[:])
}

func (s *System) controlAddresses() []string {
	var addresses []string
	for _, m := range ofRole(s.machines, "control") {
		addresses = append(addresses, m.address(internalPort))
	}
	return addresses
}

// becomeReady waits for an owner, sees that there is a configuration, and waits for the frontends.
func (s *System) becomeReady(ctx context.Context) error {
	if err := s.configure(ctx); err != nil {
		return err
	}
	for _, m := range ofRole(s.machines, "frontend") {
		url := "http://" + m.address(readinessPort) + "/v1/readiness"
		err := poll(ctx, func() error { return askReady(ctx, url) })
		if err != nil {
			return errors.Wrap(err, m.name)
		}
	}
	return nil
}

// configure puts the first configuration in force, if there is none.
func (s *System) configure(ctx context.Context) error {
	client, err := administration.Dial(s.controlAddresses())
	if err != nil {
		return err
	}
	defer client.Close()
	return poll(ctx, func() error {
		attempt, cancel := context.WithTimeout(ctx, askTime)
		defer cancel()
		version, _, err := client.ReadConfiguration(attempt)
		if err != nil || version > 0 {
			return err
		}
		_, err = client.Configure(attempt, protocol.ConfigurationReplace, 0, []byte(demonstration))
		return err
	})
}

// poll tries until it works or ctx ends; the error is the last one.
func poll(ctx context.Context, try func() error) error {
	for {
		err := try()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(readyPoll):
		}
	}
}

func askReady(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s answers %s", url, response.Status)
	}
	return nil
}

func (s *System) say(format string, arguments ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fmt.Fprintf(s.options.Out, format+"\n", arguments...)
}

// introduce tells what stands where, and what to try.
func (s *System) introduce() {
	for _, p := range s.processes {
		m := p.machine
		s.say("%-11s %s  pid %d  %s", m.name, m.describe(), p.pid(), m.zone)
	}
	frontend := ofRole(s.machines, "frontend")[0].address(frontendPort)
	s.say(`ready; settings, logs and data are under %s
try, in another terminal:
  export OSPREYPOND_CONTROL=%s
  %s members
  curl -i -H 'Host: %s' -d '{"spec":"sleep 2s","steps":[{"count":3,"cpu":500,"memoryLimitMb":64}]}' http://%s%s0123456789abcdef
  curl -H 'Host: %s' http://%s%s0123456789abcdef
  %s jobs list
Ctrl-C ends all`,
		s.options.Dir, strings.Join(s.controlAddresses(), ","), s.options.Program, Host, frontend, Prefix, Host, frontend, Prefix,
		s.options.Program)
}

func (m *machine) describe() string {
	switch m.role {
	case "frontend":
		return "clients " + m.address(frontendPort) + "  readiness " + m.address(readinessPort)
	case "agent":
		return "runner's heartbeats " + m.address(controlPort)
	default:
		return "operator " + m.address(controlPort) + "  commands " + m.address(internalPort)
	}
}
