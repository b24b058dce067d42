// Package localcluster runs a small system on one machine, for trying it out: three control processes, two frontends and two
// agents with stand-in runners. Each process has its own loopback address, as if it ran on its own machine. The processes
// run the program of a real system, and their settings files, logs and data are in one folder. Only the runners are
// simulated, by package runner within this process.
//
// Run starts a system. At most one system runs in a folder at a time.
package localcluster

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/administration/archive"
	"ospreypond/internal/cluster/boot"
	"ospreypond/internal/cluster/localcluster/runner"
	"ospreypond/internal/cluster/protocol"
)

// DefaultNetwork is the default of Options.Network.
const DefaultNetwork = "127.77.0"

// Options configure a local system. All but Restore are required.
type Options struct {
	Dir     string    // folder for settings, logs and data; created if it is missing
	Network string    // first three numbers of the machines' addresses, 127.N.N
	Program string    // path of the program ospreypond, which all processes run
	Restore string    // path of the backup from which a new system starts; empty: it starts without data
	Out     io.Writer // receives messages for the user
}

// system is one local system.
type system struct {
	options   Options
	backup    *archive.Archive // the content of options.Restore; nil: none
	machines  []*machine
	processes []*process
	starter   *starter
	mutex     sync.Mutex // guards options.Out
}

// Run starts the system, prints an introduction when it is ready, and restarts processes that end. When ctx ends, it stops
// first the runners, then agents and frontends, and last the control processes, and returns nil. It returns an error if the
// system cannot be started, is not ready within readyTimeout, or a process fails to start maxFailedStarts times in a row.
func Run(ctx context.Context, options Options) error {
	s := &system{options: options}
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
	defer func() { _ = lock.Close() }()
	if err := s.prepare(ctx); err != nil {
		return err
	}
	s.starter = newStarter()
	defer s.starter.close()
	failed := make(chan error, len(s.machines))
	// The end of ctx must not stop all processes at once: they are stopped below, one role after the other.
	running := context.WithoutCancel(ctx)
	stopControl := s.startRole(running, boot.RoleControl, failed)
	stopFrontends := s.startRole(running, boot.RoleFrontend, failed)
	stopAgents := s.startRole(running, boot.RoleAgent, failed)
	stopRunners := s.startRunners(running)
	err = s.serve(ctx, failed)
	s.printf("stopping")
	stopRunners()
	runAll(stopAgents, stopFrontends)
	stopControl()
	s.printf("all processes have ended")
	return err
}

// runAll makes the calls concurrently and waits until all have returned.
func runAll(calls ...func()) {
	var running sync.WaitGroup
	for _, call := range calls {
		running.Go(call)
	}
	running.Wait()
}

// serve waits until the system is ready, prints the introduction, and waits until ctx ends or a process fails. It returns
// nil if ctx has ended.
func (s *system) serve(ctx context.Context, failed <-chan error) error {
	starting, cancel := context.WithTimeout(ctx, readyTimeout)
	ready := make(chan error, 1)
	var goroutine sync.WaitGroup
	defer goroutine.Wait()
	defer cancel()
	goroutine.Go(func() { ready <- s.becomeReady(starting) })
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
				return errors.Wrapf(err, "the system is not ready; see the logs under %s", s.options.Dir)
			}
			s.printIntroduction()
			ready = nil
		}
	}
}

// startRole keeps the processes of a role running until stop is called, which waits for their end. The error of a process
// that cannot be kept running is sent to failed.
func (s *system) startRole(ctx context.Context, role string, failed chan<- error) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for _, m := range withRole(s.machines, role) {
		p := &process{machine: m, program: s.options.Program, printf: s.printf, start: s.starter.start}
		s.processes = append(s.processes, p)
		running.Go(func() {
			if err := p.run(ctx); err != nil {
				failed <- err
			}
		})
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// startRunners runs a stand-in runner for each agent until stop is called, which waits for their end.
func (s *system) startRunners(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for i, m := range withRole(s.machines, boot.RoleAgent) {
		options := runner.Options{
			Instance: "i-" + m.name + "-" + randomSuffix(),
			Service:  demoService,
			Address:  m.address(runnerPort),
			Zone:     m.zone,
			Capacity: protocol.Resources{CPU: 8000, MemoryMB: 16384, GPU: 1}, // 8 cores
			Labels:   []string{"stand-in", "rack-" + strconv.Itoa(i+1)},
			Interval: 1500 * time.Millisecond,
			MaxLease: boot.DefaultBounds().MaxLease,
		}
		started := runner.New(options, m.address(controlPort), nil)
		running.Go(func() { started.Run(ctx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// randomSuffix returns 8 random hex digits, which make the instance name of each incarnation of a runner unique.
func randomSuffix() string {
	var random [4]byte
	_, _ = rand.Read(random[:]) // never returns an error
	return hex.EncodeToString(random[:])
}

// printf prints one message for the user. It is safe for concurrent use.
func (s *system) printf(format string, arguments ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, _ = fmt.Fprintf(s.options.Out, format+"\n", arguments...)
}
