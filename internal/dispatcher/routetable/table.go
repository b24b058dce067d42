// Package routetable keeps the list of runners that the discovery service provides. Table holds the address of each runner
// and whether it may get new requests. Watcher keeps the table up to date and translates the lists into events of the
// decision module.
//
// The table has a change before the module is notified of the change. Egress checks Table.Open before the first byte of an
// attempt, so a drain takes effect even while the module is busy.
package routetable

import (
	"fmt"
	"sync"
	"time"

	"ospreypond/internal/dispatcher/maintenance"
	"ospreypond/policy"
)

// Host is one runner in discovery's list. The JSON keys are discovery's format.
type Host struct {
	Host   string `json:"host"`    // the runner's name, the same at all dispatchers
	Dial   string `json:"dial"`    // the runner's address as seen from this dispatcher, host:port
	Site   string `json:"site"`    // its zone
	Class  string `json:"class"`   // the kind of its machine
	Block  int    `json:"block"`   // its cell
	Health string `json:"health"`  // SERVING, DRAINING or DELETED
	BornMs int64  `json:"born_ms"` // its last start, Unix time in milliseconds; 0: long ago
}

// List is discovery's response: the full list, or the changes since a version. The JSON keys are discovery's format.
type List struct {
	Seq   int64  `json:"seq"`   // the version of the list
	Full  bool   `json:"whole"` // Hosts is the full list; otherwise it has the changed runners only
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

// state returns the runner's state for its health.
func (h *Host) state() (policy.State, error) {
	switch h.Health {
	case "SERVING":
		return policy.Ready, nil
	case "DRAINING":
		return policy.Draining, nil
	case "DELETED":
		return policy.Removed, nil
	}
	return policy.Removed, fmt.Errorf("unknown value %q; SERVING, DRAINING or DELETED is allowed", h.Health)
}

// Route is the table's entry for one runner.
type Route struct {
	Dial  string // the address, host:port
	Site  string // the zone
	State policy.State
}

// Table is the route table. It is safe for concurrent use.
type Table struct {
	mu       sync.RWMutex
	seq      int64                    // the version of the last list
	routes   map[string]Route         // by the runner's name
	members  map[string]policy.Member // by the runner's name, as discovery lists it even if it is disabled
	disabled *maintenance.Disabled
}

// New returns an empty table with the named runners disabled.
func New(disabled ...string) *Table {
	return &Table{routes: map[string]Route{}, members: map[string]policy.Member{}, disabled: maintenance.New(disabled)}
}

// Seq returns the version of the list in the table; 0: no list was applied yet.
func (t *Table) Seq() int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.seq
}

// Lookup returns the route to a runner. ok is false if the runner is not listed.
func (t *Table) Lookup(host string) (r Route, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok = t.routes[host]
	return r, ok
}

// Open reports whether a runner may get new requests: discovery lists it as serving, and it is not disabled.
func (t *Table) Open(host string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.routes[host]
	return ok && r.State == policy.Ready && !t.disabled.Has(host)
}

// Disable keeps a runner from getting new requests until Enable, whatever discovery lists. It returns the members for an
// event of the decision module: the runner as draining, or none if it is not listed.
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

// Enable lets a runner get new requests again. It returns the members for an event of the decision module: the runner as
// started now, so that it warms up, or none if it was not disabled or is not listed.
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

// Disabled returns the names of the disabled runners. The next process of this dispatcher is started with them.
func (t *Table) Disabled() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.disabled.Names()
}

// effective returns a member as the decision module is to see it: as draining while it is disabled, and as started when it
// was enabled if that is later than its start. The caller holds t.mu.
func (t *Table) effective(m policy.Member) policy.Member {
	if t.disabled.Has(m.Worker) && m.State == policy.Ready {
		m.State = policy.Draining
	}
	m.Started = t.disabled.Started(m.Worker, m.Started)
	return m
}

// Apply updates the table from a list and returns the members for an event of the decision module. It skips entries with an
// empty name or an unknown health, which Check reports.
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
