package localcluster

import (
	"context"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/boot"
)

const (
	restartBackoff  = time.Second     // from the end of a process to its next start
	stopTimeout     = 9 * time.Second // from SIGTERM to SIGKILL
	minUptime       = 3 * time.Second // uptime after which an end begins the count of failed starts again
	maxFailedStarts = 5               // number of failed starts at which run gives up
	maxLogTail      = int64(600)      // bytes from the end of a log that an error shows
)

// process keeps the process of one machine running.
type process struct {
	machine *machine
	program string
	printf  func(format string, arguments ...any)
	start   func(*exec.Cmd) error

	mutex   sync.Mutex // guards running
	running *exec.Cmd  // nil: none
}

// run starts the process, and restarts it restartBackoff after each end. When ctx ends, it stops the process and returns
// nil. It returns an error when the number of failed starts reaches maxFailedStarts. Each end adds one failed start. If the
// process ran for minUptime or longer, the count begins at 1 again.
func (p *process) run(ctx context.Context) error {
	failedStarts := 0
	for {
		startedAt := time.Now()
		err := p.runOnce(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if time.Since(startedAt) >= minUptime {
			failedStarts = 0
		}
		if failedStarts++; failedStarts >= maxFailedStarts {
			return errors.Errorf("%s ends as soon as it starts (%v); the end of its log, %s:\n%s", p.machine.name, err,
				p.machine.logPath(), p.tail())
		}
		p.printf("%s ended: %v; it is started again", p.machine.name, err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(restartBackoff):
		}
	}
}

// runOnce runs the process until it ends, and returns why. When ctx ends, it sends SIGTERM, and SIGKILL after
// stopTimeout. The error is never nil.
func (p *process) runOnce(ctx context.Context) error {
	log, err := os.OpenFile(p.machine.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.CommandContext(ctx, p.program, p.machine.role)
	command.Cancel = func() error { return command.Process.Signal(syscall.SIGTERM) }
	command.WaitDelay = stopTimeout
	command.Env = append(os.Environ(), boot.PathVariable+"="+p.machine.settingsPath())
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = processAttributes()
	if err := p.start(command); err != nil {
		return err
	}
	p.setCommand(command)
	defer p.setCommand(nil)
	err = command.Wait()
	if err == nil {
		err = errors.New("without an error")
	}
	return err
}

// setCommand records the running command; nil: none runs.
func (p *process) setCommand(command *exec.Cmd) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.running = command
}

// pid returns the id of the process, or 0 if it does not run.
func (p *process) pid() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.running == nil {
		return 0
	}
	return p.running.Process.Pid
}

// tail returns the last maxLogTail bytes of the process's log, or the error of opening it.
func (p *process) tail() string {
	log, err := os.Open(p.machine.logPath())
	if err != nil {
		return err.Error()
	}
	defer func() { _ = log.Close() }()
	if info, err := log.Stat(); err == nil && info.Size() > maxLogTail {
		_, _ = log.Seek(-maxLogTail, io.SeekEnd)
	}
	text, _ := io.ReadAll(log)
	return strings.TrimSpace(string(text))
}
