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
	restartBackoff  = time.Second     // between a process's end and its next start
	stopTimeout     = 9 * time.Second // from SIGTERM to SIGKILL
	minUptime       = 3 * time.Second // a process that ends sooner has failed to start
	maxFailedStarts = 5               // in a row, after which run gives up
	maxLogTail      = int64(600)      // bytes of a log that an error shows
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

// run runs the process, and restarts it when it ends, until ctx ends; then it stops it and returns nil. It returns an error if
// the process fails to start maxFailedStarts times in a row.
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

// runOnce runs the process until it ends or ctx does; then it stops it by SIGTERM, and after stopTimeout by SIGKILL. It never
// returns nil.
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

// setCommand sets the running command; nil: none.
func (p *process) setCommand(command *exec.Cmd) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.running = command
}

// pid returns the process's id; 0 if it does not run.
func (p *process) pid() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.running == nil {
		return 0
	}
	return p.running.Process.Pid
}

// tail returns the end of the process's log, or why it cannot be read.
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
