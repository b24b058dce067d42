// Package simulator runs decision modules for the users' simulator, which connects by a line protocol. The simulator sends
// batches of events for several schedulers, each batch with its virtual time, and the response to a batch has the
// schedulers' actions. The package makes no decisions. The protocol's words are the simulator's; only this package
// translates them.
package simulator

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"ospreypond/internal/dispatcher/config"
	"ospreypond/policy"
)

// instance is one scheduler: its decision module and its events of the current batch.
type instance struct {
	name    string
	d       *policy.Dispatcher // nil: the scheduler has not started, or was killed
	set     config.Settings
	events  []policy.Event
	actions []policy.Action // reused by each step
	inBatch bool            // the instance is in server.batch
}

// server is the state of one connection to the simulator.
type server struct {
	in      *bufio.Reader
	out     []byte // the response to the current batch
	lineNo  int    // the number of lines read, for errors
	buf     []byte // a line that is longer than in's buffer
	byName  map[string]*instance
	batch   []*instance       // the instances that the current batch names, in order
	intern  map[string]string // see name
	members int               // ENTRY lines still to be read for the last list event
}

// Serve reads batches from r and writes the response to each to w, until r ends. A malformed line or an incomplete batch is
// an error. The caller must not use r or w until Serve returns.
func Serve(r io.Reader, w io.Writer) error {
	s := &server{in: bufio.NewReaderSize(r, 1<<18), byName: map[string]*instance{}, intern: map[string]string{}}
	for {
		now, err := s.readBatch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", s.lineNo, err)
		}
		s.out = s.out[:0]
		for _, i := range s.batch {
			s.step(i, now)
		}
		s.out = append(s.out, "OK\n"...)
		if _, err := w.Write(s.out); err != nil {
			return fmt.Errorf("writing the response to a batch: %w", err)
		}
	}
}

// step passes an instance its events and adds its actions to the response, or a line CRASH if the module panics. An instance
// without actions adds no line.
func (s *server) step(i *instance, now time.Duration) {
	i.inBatch = false
	if i.d == nil || len(i.events) == 0 {
		i.events = i.events[:0]
		return
	}
	start := len(s.out)
	s.out = append(append(append(s.out, "FROM\tschedulerId="...), i.name...), '\n')
	begin := len(s.out)
	defer func() {
		if p := recover(); p != nil {
			what := bytes.ReplaceAll(fmt.Appendf(nil, "%v", p), []byte("\n"), []byte(" "))
			s.out = append(append(append(s.out[:begin], "CRASH\twhat="...), what...), '\n')
		}
		i.events = i.events[:0]
	}()
	i.actions = i.d.Step(now, i.events, i.actions[:0])
	for k := range i.actions {
		s.out = appendAction(s.out, &i.actions[k])
	}
	if len(s.out) == begin {
		s.out = s.out[:start]
	}
}

// readLine returns the next line without its line end. The slice is valid until the next call.
func (s *server) readLine() ([]byte, error) {
	s.lineNo++
	b, err := s.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		s.buf = append(s.buf[:0], b...)
		for errors.Is(err, bufio.ErrBufferFull) {
			b, err = s.in.ReadSlice('\n')
			s.buf = append(s.buf, b...)
		}
		b = s.buf
	}
	if err != nil {
		if errors.Is(err, io.EOF) && len(b) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return bytes.TrimSuffix(b[:len(b)-1], []byte("\r")), nil
}

// readBatch reads one batch, adds its events to the instances and returns its time. It returns io.EOF if the input ended
// between two batches.
func (s *server) readBatch() (time.Duration, error) {
	s.batch = s.batch[:0]
	b, err := s.readLine()
	for err == nil && len(b) == 0 {
		b, err = s.readLine()
	}
	if err != nil {
		return 0, err
	}
	now, err := batchTime(b)
	if err != nil {
		return 0, err
	}
	var current *instance
	s.members = 0
	for {
		b, err := s.readLine()
		if errors.Is(err, io.EOF) {
			return 0, io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, err
		}
		name, rest := splitTab(b)
		if s.members > 0 && string(name) != "ENTRY" {
			return 0, fmt.Errorf("%s: %d ENTRY lines that field membersList announced are missing before it", name, s.members)
		}
		switch {
		case string(name) == "COMMIT":
			return now, nil
		case string(name) == "SWITCH_TO":
			if current, err = s.switchTo(rest); err != nil {
				return 0, err
			}
		case !known(name): // newer simulators may send lines that this package doesn't know
		case current == nil:
			return 0, fmt.Errorf("%s: the batch has no SWITCH_TO line before it", name)
		default:
			if err := s.event(current, string(name), rest); err != nil {
				return 0, fmt.Errorf("%s: %w", name, err)
			}
		}
	}
}

// batchTime returns the time in the first line of a batch.
func batchTime(line []byte) (now time.Duration, err error) {
	name, rest := splitTab(line)
	if string(name) != "BATCH" {
		return 0, fmt.Errorf("the first line of a batch must be BATCH, but is %q", name)
	}
	found := false
	for f := (fields{rest: rest}); f.next(); {
		if string(f.key) == "momentUs" {
			if now, err = micros(f.val); err != nil {
				return 0, fmt.Errorf("BATCH: field momentUs: %w", err)
			}
			found = true
		}
	}
	if !found {
		return 0, errors.New("BATCH: field momentUs is missing")
	}
	return now, nil
}

// switchTo returns the instance that a SWITCH_TO line names, to which the next events belong, and adds it to the batch.
func (s *server) switchTo(rest []byte) (*instance, error) {
	for f := (fields{rest: rest}); f.next(); {
		if string(f.key) != "schedulerId" {
			continue
		}
		i := s.byName[string(f.val)]
		if i == nil {
			i = &instance{name: string(f.val)}
			s.byName[i.name] = i
		}
		if !i.inBatch {
			i.inBatch = true
			s.batch = append(s.batch, i)
		}
		return i, nil
	}
	return nil, errors.New("SWITCH_TO: field schedulerId is missing")
}
