package simulator

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"ospreypond/internal/dispatcher/config"
	"ospreypond/policy"
)

// known reports whether name is the first word of an event line that this package translates.
func known(name []byte) bool {
	switch string(name) {
	case "START", "KILLED", "REGISTRY", "ENTRY", "QUERY", "ACK_FIRST", "STATUS_NOTE", "VERDICT", "GONE",
		"DEADLINE_HIT", "PONG", "NEIGHBOUR_SAYS":
		return true
	}
	return false
}

// event translates one event line and adds the event to an instance. rest are the line's fields. A line that lacks a
// required field is an error.
func (s *server) event(i *instance, name string, rest []byte) error {
	switch name {
	case "START":
		return s.start(i, rest)
	case "KILLED":
		i.d, i.events = nil, i.events[:0]
		return nil
	}
	if i.d == nil {
		return errors.New("the scheduler has no START line before it")
	}
	if name == "ENTRY" {
		return s.entry(i, rest)
	}
	e := policy.Event{Report: policy.NoReport, Slots: 1}
	required, alsoRequired := "ticket", "" // the fields that the line must still have; empty: none
	switch name {
	case "REGISTRY":
		e.Kind, required, alsoRequired = policy.ListChanged, "how", ""
	case "QUERY":
		e.Kind, alsoRequired = policy.Request, "kind"
	case "ACK_FIRST":
		e.Kind = policy.ResponseStarted
	case "STATUS_NOTE":
		e.Kind, alsoRequired = policy.JobProgress, "topic"
	case "VERDICT":
		e.Kind, alsoRequired = policy.AttemptEnded, "code"
	case "GONE":
		e.Kind = policy.ClientDisconnected
	case "DEADLINE_HIT":
		e.Kind, required = policy.TimerFired, "tag"
	case "PONG":
		e.Kind, required, alsoRequired = policy.ProbeEnded, "worker", "code"
	case "NEIGHBOUR_SAYS":
		return nil // the decision module sends no messages to other schedulers, so it needs none
	}
	for f := (fields{rest: rest}); f.next(); {
		if err := s.field(i, &e, &f); err != nil {
			return fmt.Errorf("field %s: %w", f.key, err)
		}
		if string(f.key) == required {
			required = ""
		} else if string(f.key) == alsoRequired {
			alsoRequired = ""
		}
	}
	if required == "" {
		required = alsoRequired
	}
	if required != "" {
		return fmt.Errorf("field %s is missing", required)
	}
	i.events = append(i.events, e)
	return nil
}

// field sets the event's field for one field of its line. Unknown fields are skipped.
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
		e.TimeLeft, err = micros(f.val)
	case "workUs":
		e.Work, err = micros(f.val)
	case "needs":
		e.Slots, err = number(f.val)
	case "memNeeded":
		e.Memory, err = number(f.val)
	case "isRetry":
		e.IsRetry, err = boolean(f.val)
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
		e.Responded, err = boolean(f.val)
	case "gauge":
		e.Report, err = report(&i.set, f.val)
	case "tag":
		e.Token, err = strconv.ParseUint(string(f.val), 10, 64)
	case "how":
		e.Kind, err = listEvent(f.val)
	case "membersList":
		n, err = strconv.ParseInt(string(f.val), 10, 32)
		if n < 0 {
			err = errors.New("negative")
		}
		s.members = int(n)
	}
	return err
}

// listEvent returns the kind of event for the field how of a REGISTRY line.
func listEvent(b []byte) (policy.EventKind, error) {
	switch string(b) {
	case "update":
		return policy.ListChanged, nil
	case "replace":
		return policy.ListReplaced, nil
	case "restored":
		return policy.ListRestored, nil
	case "unavailable":
		return policy.ListUnavailable, nil
	}
	return policy.ListChanged, fmt.Errorf("unknown value %q; it must be update, replace, restored or unavailable", b)
}

// entry translates an ENTRY line and appends the member to the list event before it.
func (s *server) entry(i *instance, rest []byte) error {
	if s.members <= 0 || len(i.events) == 0 {
		return errors.New("no REGISTRY line announces this entry in its field membersList")
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
				err = fmt.Errorf("unknown value %q; it must be Ready, Terminating or Gone", f.val)
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

// name returns b as a string. Equal names share one string, which is allocated once.
func (s *server) name(b []byte) string {
	if v, ok := s.intern[string(b)]; ok {
		return v
	}
	v := string(b)
	s.intern[v] = v
	return v
}

// start gives an instance a new decision module with the settings and the seed of a START line, and drops the events that
// came before it in the batch.
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
