// Package wire speaks the simulator's line protocol and hosts one dispatcher for each instance.
// It makes no decisions.
package simulator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"ospreypond/internal/dispatcher/config"
	"ospreypond/policy"
)

// instance is one hosted dispatcher with the events of the current batch.
type instance struct {
	name    string
	d       *policy.Dispatcher
	set     config.Settings
	events  []policy.Event
	actions []policy.Action
	touched bool
}

// server holds the state of one connection to the simulator.
type server struct {
	in      *bufio.Reader
	out     []byte
	line    int
	buf     []byte
	byName  map[string]*instance
	batch   []*instance
	intern  map[string]string
	members int // list entries still to come for the last list event
}

// Serve answers batches from r on w until r ends. A malformed line or a batch that breaks off is an error.
func Serve(r io.Reader, w io.Writer) error {
	s := &server{in: bufio.NewReaderSize(r, 1<<18), byName: map[string]*instance{}, intern: map[string]string{}}
	for {
		now, err := s.readBatch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", s.line, err)
		}
		s.out = s.out[:0]
		for _, i := range s.batch {
			s.step(i, now)
		}
		s.out = append(s.out, "OK\n"...)
		if _, err := w.Write(s.out); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
	}
}

// step runs one instance on its events and writes what it does.
func (s *server) step(i *instance, now time.Duration) {
	i.touched = false
	if i.d == nil || len(i.events) == 0 {
		i.events = i.events[:0]
		return
	}
	start := len(s.out)
	s.out = append(append(append(s.out, "FROM\tschedulerId="...), i.name...), '\n')
	mark := len(s.out)
	defer func() {
		if p := recover(); p != nil {
			what := bytes.ReplaceAll(fmt.Appendf(nil, "%v", p), []byte("\n"), []byte(" "))
			s.out = append(append(append(s.out[:mark], "CRASH\twhat="...), what...), '\n')
		}
		i.events = i.events[:0]
	}()
	i.actions = i.d.Step(now, i.events, i.actions[:0])
	for k := range i.actions {
		s.out = appendAction(s.out, &i.actions[k])
	}
	if len(s.out) == mark {
		s.out = s.out[:start]
	}
}

// readLine returns the next line without its end; the slice is valid until the next call.
func (s *server) readLine() ([]byte, error) {
	s.line++
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

// readBatch reads one batch into the instances. io.EOF means that the input ended between batches.
func (s *server) readBatch() (time.Duration, error) {
	s.batch = s.batch[:0]
	b, err := s.readLine()
	for err == nil && len(b) == 0 {
		b, err = s.readLine()
	}
	if err != nil {
		return 0, err
	}
	name, rest := cut(b)
	if string(name) != "BATCH" {
		return 0, fmt.Errorf("got %q where a BATCH was due", name)
	}
	var now time.Duration
	var haveNow bool
	for f := (fields{rest: rest}); f.next(); {
		if string(f.key) == "momentUs" {
			if now, err = micros(f.val); err != nil {
				return 0, fmt.Errorf("BATCH: field momentUs: %w", err)
			}
			haveNow = true
		}
	}
	if !haveNow {
		return 0, errors.New("BATCH: field momentUs is missing")
	}
	var cur *instance
	s.members = 0
	for {
		b, err := s.readLine()
		if errors.Is(err, io.EOF) {
			return 0, io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, err
		}
		name, rest := cut(b)
		if s.members > 0 && string(name) != "ENTRY" {
			return 0, fmt.Errorf("%s: field membersList: %d entries are missing", name, s.members)
		}
		switch string(name) {
		case "":
			continue
		case "COMMIT":
			return now, nil
		case "SWITCH_TO":
			if cur, err = s.switchTo(rest); err != nil {
				return 0, err
			}
			continue
		}
		if !known(name) {
			continue
		}
		if cur == nil {
			return 0, fmt.Errorf("%s: no SWITCH_TO before it", name)
		}
		if err := s.event(cur, string(name), rest); err != nil {
			return 0, fmt.Errorf("%s: %w", name, err)
		}
	}
}

func known(name []byte) bool {
	switch string(name) {
	case "START", "KILLED", "REGISTRY", "ENTRY", "QUERY", "ACK_FIRST", "STATUS_NOTE", "VERDICT", "GONE",
		"DEADLINE_HIT", "PONG", "NEIGHBOUR_SAYS":
		return true
	}
	return false
}

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
		if !i.touched {
			i.touched = true
			s.batch = append(s.batch, i)
		}
		return i, nil
	}
	return nil, errors.New("SWITCH_TO: field schedulerId is missing")
}

// event decodes one event line for an instance.
func (s *server) event(i *instance, name string, rest []byte) error {
	switch name {
	case "START":
		return s.start(i, rest)
	case "KILLED":
		i.d, i.events = nil, i.events[:0]
		return nil
	}
	if i.d == nil {
		return errors.New("the instance has not started")
	}
	if name == "ENTRY" {
		return s.entry(i, rest)
	}
	e := policy.Event{Report: policy.NoReport, Slots: 1}
	must, second := "ticket", ""
	switch name {
	case "REGISTRY":
		e.Kind, must, second = policy.ListChanged, "how", ""
	case "QUERY":
		e.Kind, second = policy.Request, "kind"
	case "ACK_FIRST":
		e.Kind = policy.ResponseStarted
	case "STATUS_NOTE":
		e.Kind, second = policy.JobProgress, "topic"
	case "VERDICT":
		e.Kind, second = policy.AttemptEnded, "code"
	case "GONE":
		e.Kind = policy.ClientDisconnected
	case "DEADLINE_HIT":
		e.Kind, must = policy.TimerFired, "tag"
	case "PONG":
		e.Kind, must, second = policy.ProbeEnded, "worker", "code"
	case "NEIGHBOUR_SAYS":
		return nil // nobody is told anything, so that a word can only come from a stranger
	}
	for f := (fields{rest: rest}); f.next(); {
		if err := s.field(i, &e, &f); err != nil {
			return fmt.Errorf("field %s: %w", f.key, err)
		}
		if string(f.key) == must {
			must = ""
		} else if string(f.key) == second {
			second = ""
		}
	}
	if must == "" {
		must = second
	}
	if must != "" {
		return fmt.Errorf("field %s is missing", must)
	}
	i.events = append(i.events, e)
	return nil
}

// field decodes one field of an event.
func (s *server) field(i *instance, e *policy.Event, f *fields) error {
	var n int64
	var err error
	switch string(f.key) {
	case "ticket":
		var v uint64
		v, err = strconv.ParseUint(string(f.val), 10, 32)
		e.ID = uint32(v)
	case "kind":
		e.Class = s.name(f.val)
	case "org":
		if e.Tenant = s.name(f.val); e.Tenant == "0" {
			e.Tenant = ""
		}
	case "subject":
		e.Key = string(f.val)
	case "worker":
		e.Worker = s.name(f.val)
	case "leftUs":
		e.Left, err = micros(f.val)
	case "workUs":
		e.Work, err = micros(f.val)
	case "needs":
		e.Slots, err = number(f.val)
	case "memNeeded":
		e.Memory, err = number(f.val)
	case "isRetry":
		e.Retry, err = truth(f.val)
	case "go":
		n, err = strconv.ParseInt(string(f.val), 10, 32)
		e.Attempt = int(n)
	case "topic":
		n, err = strconv.ParseInt(string(f.val), 10, 64)
		if n == 1 {
			e.Kind = policy.JobStarted
		}
	case "delaySeenUs":
		e.Elapsed, err = micros(f.val)
	case "code":
		e.Outcome, err = outcome(f.val)
	case "complete":
		e.Complete, err = truth(f.val)
	case "gauge":
		e.Report, err = report(&i.set, f.val)
	case "tag":
		e.Token, err = strconv.ParseUint(string(f.val), 10, 64)
	case "how":
		switch string(f.val) {
		case "update":
			e.Kind = policy.ListChanged
		case "replace":
			e.Kind = policy.ListReplaced
		case "restored":
			e.Kind = policy.ListRestored
		case "unavailable":
			e.Kind = policy.ListUnavailable
		default:
			err = fmt.Errorf("unknown value %q", f.val)
		}
	case "membersList":
		n, err = strconv.ParseInt(string(f.val), 10, 32)
		if n < 0 {
			err = errors.New("negative")
		}
		s.members = int(n)
	}
	return err
}

// entry decodes one list entry into the list event before it.
func (s *server) entry(i *instance, rest []byte) error {
	if s.members <= 0 || len(i.events) == 0 {
		return errors.New("not expected here")
	}
	s.members--
	var m policy.Member
	for f := (fields{rest: rest}); f.next(); {
		var err error
		switch string(f.key) {
		case "cell":
			m.Cell, err = strconv.Atoi(string(f.val))
		case "worker":
			m.Worker = s.name(f.val)
		case "az":
			m.Zone = s.name(f.val)
		case "machine":
			m.Kind = s.name(f.val)
		case "startTimeUs":
			m.Started, err = micros(f.val)
		case "mode":
			switch string(f.val) {
			case "Ready":
			case "Terminating":
				m.State = policy.Draining
			case "Gone":
				m.State = policy.Removed
			default:
				err = fmt.Errorf("unknown value %q", f.val)
			}
		}
		if err != nil {
			return fmt.Errorf("field %s: %w", f.key, err)
		}
	}
	if m.Worker == "" {
		return errors.New("field worker is missing")
	}
	e := &i.events[len(i.events)-1]
	e.Members = append(e.Members, m)
	return nil
}

// name returns a shared string for b, so that names are allocated once.
func (s *server) name(b []byte) string {
	if v, ok := s.intern[string(b)]; ok {
		return v
	}
	v := string(b)
	s.intern[v] = v
	return v
}

func (s *server) start(i *instance, rest []byte) error {
	var seed uint64
	var err error
	i.events, i.d = i.events[:0], nil
	for f := (fields{rest: rest}); f.next(); {
		switch string(f.key) {
		case "initSeed":
			if seed, err = strconv.ParseUint(string(f.val), 10, 64); err != nil {
				var n int64
				if n, err = strconv.ParseInt(string(f.val), 10, 64); err != nil {
					return fmt.Errorf("field initSeed: %w", err)
				}
				seed = uint64(n)
			}
		case "bootInfo":
			f.toEnd()
			i.set = config.Settings{}
			if err := json.Unmarshal(f.val, &i.set); err != nil {
				return fmt.Errorf("field bootInfo: %w", err)
			}
			set, err := i.set.Policy()
			if err != nil {
				return fmt.Errorf("field bootInfo: %w", err)
			}
			if i.d, err = policy.New(set, seed); err != nil {
				return fmt.Errorf("field bootInfo: %w", err)
			}
		}
	}
	if i.d == nil {
		return errors.New("field bootInfo is missing")
	}
	return nil
}
