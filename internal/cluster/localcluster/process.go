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
	restartPause = time.Second     // between a process's end and its next start
	stopPatience = 9 * time.Second // from SIGTERM to SIGKILL
	quickEnd     = 3 * time.Second // a process that lives no longer has failed to start
	mostQuick    = 5               // of these in a row, and the system is given up
	logTail      = int64(600)      // bytes of a log that are shown
)

// process keeps one process running.
type process struct {
	machine *machine
	program string
	say     func(format string, arguments ...any)
	start   func(*exec.Cmd) error

	mutex   sync.Mutex
	command *exec.Cmd // nil: it does not run
}

// keep runs the process, and starts it again when it ends, until ctx ends; then it is stopped. The error is for one that
// ends at once again and again.
func (p *process) keep(ctx context.Context) error {
	quick := 0
	for {
		began := time.Now()
		err := p.once(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if time.Since(began) >= quickEnd {
			quick = 0
		}
		if quick++; quick >= mostQuick {
			return errors.Errorf("%s ends as soon as it starts (%v); the end of its log, %s:\n%s", p.machine.name, err,
				p.machine.logPath(), p.tail())
		}
		p.say("%s ended: %v; it is started again", p.machine.name, err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(restartPause):
		}
	}
}

// once runs the process until it ends or ctx does.
func (p *process) once(ctx context.Context) error {
	log, err := os.OpenFile(p.machine.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(p.program, p.machine.role)
	command.Env = append(os.Environ(), boot.Variable+"="+p.machine.settingsPath())
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = attributes()
	if err := p.start(command); err != nil {
		return err
	}
	p.set(command)
	defer p.set(nil)
	ended := make(chan error, 1)
	go func() { ended <- command.Wait() }()
	select {
	case err := <-ended:
		if err == nil {
			err = errors.New("without an error")
		}
		return err
	case <-ctx.Done():
	}
	_ = command.Process.Signal(syscall.SIGTERM)
	select {
	case err = <-ended:
	case <-time.After(stopPatience):
		_ = command.Process.Kill()
		err = <-ended
	}
	return err
}

func (p *process) set(command *exec.Cmd) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.command = command
}

// pid returns the process's id, or 0.
func (p *process) pid() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// tail returns the end of the process's log.
func (p *process) tail() string {
	log, err := os.Open(p.machine.logPath())
	if err != nil {
		return err.Error()
	}
	defer log.Close()
	if info, err := log.Stat(); err == nil && info.Size() > logTail {
		_, _ = log.Seek(-logTail, io.SeekEnd)
	}
	text, _ := io.ReadAll(log)
	return strings.TrimSpace(string(text))
}
