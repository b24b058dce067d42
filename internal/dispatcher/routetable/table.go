// Package routetable follows discovery. Its Table holds, for each runner, where to dial it and whether it may get new
// requests; its Watcher keeps the table up to date and translates the list into the decision module's events.
//
// A change is in the table before the module is notified of it: egress, which checks Table.Open before the first byte
// of an attempt, follows a drain even while the module is busy.
package routetable

import (
	"fmt"
	"sync"
	"time"

	"ospreypond/internal/dispatcher/maintenance"
	"ospreypond/policy"
)

// Host is one runner in discovery's list. The tags are discovery's format.
type Host struct {
	Host   string `json:"host"` // its name, which all dispatchers share
	Dial   string `json:"dial"` // the address by which this dispatcher reaches it
	Site   string `json:"site"`
	Class  string `json:"class"` // its machine kind
	Block  int    `json:"block"`
	Health string `json:"health"`
	BornMs int64  `json:"born_ms"` // its last start as Unix time; 0: long ago
}

// List is discovery's response: the full list, or the changes since a version. The tags are discovery's format.
type List struct {
	Seq   int64  `json:"seq"`
	Full  bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Check returns an error that names the first invalid entry, or nil.
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

// Route is the table's entry of one runner.
type Route struct {
	Dial  string
	Site  string
	State policy.State
}

// Table is the route table. It is safe for concurrent use.
type Table struct {
	mu       sync.RWMutex
	seq      int64
	routes   map[string]Route
	members  map[string]policy.Member // as listed, whether disabled or not
	disabled *maintenance.Disabled
}

// New returns an empty table with the named runners disabled.
func New(disabled ...string) *Table {
	return &Table{routes: map[string]Route{}, members: map[string]policy.Member{}, disabled: maintenance.New(disabled)}
}

// Seq returns the version of the list in the table; 0: none yet.
func (t *Table) Seq() int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.seq
}

// Lookup returns the route to a runner; ok is false for one that is not listed.
func (t *Table) Lookup(host string) (r Route, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok = t.routes[host]
	return r, ok
}

// Open reports whether a runner may get new requests.
func (t *Table) Open(host string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.routes[host]
	return ok && r.State == policy.Ready && !t.disabled.Has(host)
}

// Disable takes a runner out until Enable, whatever the list says. It returns the members for the module's event: the
// runner as draining, or none for one that is not listed.
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

// Enable lets a runner serve again. It returns the members for the module's event: the runner as started now, so that
// it warms up, or none if it was not disabled or is not listed.
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

// Disabled returns the names of the disabled runners, which a process hands over to its successor.
func (t *Table) Disabled() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.disabled.Names()
}

// effective returns a member as the module is to see it: draining while it is disabled, and started no sooner than it
// was enabled. t.mu is held.
func (t *Table) effective(m policy.Member) policy.Member {
	if t.disabled.Has(m.Worker) && m.State == policy.Ready {
		m.State = policy.Draining
	}
	m.Started = t.disabled.Started(m.Worker, m.Started)
	return m
}

// Apply updates the table from a list and returns the members for the module's event. It skips invalid entries, which
// Check reports.
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
