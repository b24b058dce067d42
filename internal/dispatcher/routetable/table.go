// Package routetable follows discovery: it keeps the route table, which tells for each runner where to dial
// it and whether it may get anything new, and translates the list into the decision module's events.
package routetable

import (
	"fmt"
	"sync"
	"time"

	"ospreypond/internal/dispatcher/maintenance"
	"ospreypond/policy"
)

// Host is one runner in discovery's list.
type Host struct {
	Host   string `json:"host"` // its name, the same at every dispatcher
	Dial   string `json:"dial"` // where this dispatcher reaches it
	Site   string `json:"site"`
	Class  string `json:"class"` // its machine kind
	Block  int    `json:"block"`
	Health string `json:"health"`
	BornMs int64  `json:"born_ms"` // its last start as Unix time; 0: long ago
}

// List is what discovery answers, whole or as changes.
type List struct {
	Seq   int64  `json:"seq"`
	Full  bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Check returns an error that names the first faulty entry.
func (l *List) Check() error {
	for i, h := range l.Hosts {
		if h.Host == "" {
			return fmt.Errorf("hosts[%d].host: is empty", i)
		}
		state, err := h.state()
		if err != nil {
			return fmt.Errorf("hosts[%d].health: %w", i, err)
		}
		if h.Dial == "" && state != policy.Removed {
			return fmt.Errorf("hosts[%d].dial: is empty", i)
		}
	}
	return nil
}

func (h *Host) state() (policy.State, error) {
	switch h.Health {
	case "SERVING":
		return policy.Ready, nil
	case "DRAINING":
		return policy.Draining, nil
	case "DELETED":
		return policy.Removed, nil
	}
	return policy.Removed, fmt.Errorf("unknown value %q", h.Health)
}

// Route is what the table holds of one runner.
type Route struct {
	Dial  string
	Site  string
	State policy.State
}

// Table is the route table. It is safe for use by several goroutines.
type Table struct {
	mu       sync.RWMutex
	seq      int64
	routes   map[string]Route
	members  map[string]policy.Member // as the list tells them, before any is disabled
	disabled *maintenance.Disabled
}

// New returns an empty table in which the named runners are disabled.
func New(disabled ...string) *Table {
	return &Table{routes: map[string]Route{}, members: map[string]policy.Member{}, disabled: maintenance.New(disabled)}
}

// Seq returns the version of the list that the table holds.
func (t *Table) Seq() int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.seq
}

// Lookup returns the route to a runner; ok is false for one that is gone.
func (t *Table) Lookup(host string) (r Route, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok = t.routes[host]
	return r, ok
}

// Open tells whether a runner may be sent anything new.
func (t *Table) Open(host string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.routes[host]
	return ok && r.State == policy.Ready && !t.disabled.Has(host)
}

// Disable takes a runner out until Enable, whatever the list says, and returns what the module is to be told
// of it: an entry that drains.
func (t *Table) Disable(host string) ([]policy.Member, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, known := t.members[host]
	if err := t.disabled.Disable(host, known); err != nil {
		return nil, err
	}
	if !known {
		return nil, nil
	}
	return []policy.Member{t.effective(m)}, nil
}

// Enable lets a runner serve again; it is told to the module as a process that starts now, cold.
func (t *Table) Enable(host string, now time.Time) ([]policy.Member, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, known := t.members[host]
	enabled, err := t.disabled.Enable(host, known, time.Duration(now.UnixNano()))
	if err != nil || !enabled || !known {
		return nil, err
	}
	return []policy.Member{t.effective(m)}, nil
}

// Disabled returns the runners that are out, to hand on to a process that takes over.
func (t *Table) Disabled() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.disabled.Names()
}

// effective is a member as the module is to see it: draining while it is out, and started no sooner than it came
// back. t.mu is held.
func (t *Table) effective(m policy.Member) policy.Member {
	if t.disabled.Has(m.Worker) && m.State == policy.Ready {
		m.State = policy.Draining
	}
	m.Started = t.disabled.Started(m.Worker, m.Started)
	return m
}

// Apply takes in a list and returns the members for the module's event. Entries that make no sense are left
// out: Check tells of them.
func (t *Table) Apply(l *List) []policy.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq = l.Seq
	if l.Full {
		clear(t.routes)
		clear(t.members)
	}
	members := make([]policy.Member, 0, len(l.Hosts))
	for _, h := range l.Hosts {
		state, err := h.state()
		if err != nil || h.Host == "" {
			continue
		}
		m := policy.Member{Worker: h.Host, Zone: h.Site, Cell: h.Block, Kind: h.Class, State: state,
			Started: time.Duration(h.BornMs) * time.Millisecond}
		if state == policy.Removed {
			delete(t.routes, h.Host)
			delete(t.members, h.Host)
		} else {
			t.routes[h.Host] = Route{Dial: h.Dial, Site: h.Site, State: state}
			t.members[h.Host] = m
		}
		members = append(members, t.effective(m))
	}
	return members
}
