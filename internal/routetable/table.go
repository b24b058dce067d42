// Package routetable follows discovery: it keeps the route table, which tells for each runner where to dial
// it and whether it may get anything new, and translates the list into the decision module's events.
package routetable

import (
	"fmt"
	"sync"
	"time"

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
	Whole bool   `json:"whole"`
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
		if h.Dial == "" && state != policy.Gone {
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
		return policy.Gone, nil
	}
	return policy.Gone, fmt.Errorf("unknown value %q", h.Health)
}

// Route is what the table holds of one runner.
type Route struct {
	Dial  string
	Site  string
	State policy.State
}

// Table is the route table. It is safe for use by several goroutines.
type Table struct {
	mu     sync.RWMutex
	seq    int64
	routes map[string]Route
}

// New returns an empty table.
func New() *Table { return &Table{routes: map[string]Route{}} }

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
	r, ok := t.Lookup(host)
	return ok && r.State == policy.Ready
}

// Apply takes in a list and returns the members for the module's event. Entries that make no sense are left
// out: Check tells of them.
func (t *Table) Apply(l *List) []policy.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq = l.Seq
	if l.Whole {
		clear(t.routes)
	}
	members := make([]policy.Member, 0, len(l.Hosts))
	for _, h := range l.Hosts {
		state, err := h.state()
		if err != nil || h.Host == "" {
			continue
		}
		if state == policy.Gone {
			delete(t.routes, h.Host)
		} else {
			t.routes[h.Host] = Route{Dial: h.Dial, Site: h.Site, State: state}
		}
		members = append(members, policy.Member{Worker: h.Host, Zone: h.Site, Cell: h.Block, Kind: h.Class,
			State: state, Started: time.Duration(h.BornMs) * time.Millisecond})
	}
	return members
}
