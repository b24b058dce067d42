package store

import (
	"encoding/json"
	"fmt"
	"time"

	"ospreypond/internal/store/plan"
)

// namesSpace is the space in which the names of the others lie.
const namesSpace = 0

// Retention is how long a space's records are kept. Zero fields do not bound. Records go in stretches of about a
// segment of the log, oldest first, without being rewritten; some stay up to a stretch longer than asked.
type Retention struct {
	Age   time.Duration
	Bytes int64 // of keys and values
}

// Space is a keyspace of a store: keys in it are apart from all others.
type Space struct {
	s         *Store
	id        uint16
	name      string
	retention plan.Retention // guarded by the store's mu
}

// spaceRecord is what is stored of a space.
type spaceRecord struct {
	ID        uint16         `json:"id"`
	Retention plan.Retention `json:"retention"`
}

// Name returns the space's name.
func (sp *Space) Name() string { return sp.name }

// Space returns the keyspace of that name, which is made if there is none, with that retention from now on.
func (s *Store) Space(name string, keep Retention) (*Space, error) {
	if name == "" || len(name) > 128 {
		return nil, fmt.Errorf("store: %q is no name for a space", name)
	}
	if keep.Age < 0 || keep.Bytes < 0 {
		return nil, fmt.Errorf("store: space %q: negative retention", name)
	}
	want := plan.Retention{AgeMs: keep.Age.Milliseconds(), Bytes: keep.Bytes}
	s.spaceMu.Lock()
	defer s.spaceMu.Unlock()
	s.mu.RLock()
	sp := s.spaces[name]
	id := uint16(len(s.spaces) + 1)
	s.mu.RUnlock()
	if sp != nil && sp.retention == want {
		return sp, nil
	}
	if sp != nil {
		id = sp.id
	} else if id == 0xffff {
		return nil, fmt.Errorf("store: space %q: there are %d already", name, id)
	}
	value, err := json.Marshal(spaceRecord{id, want})
	if err != nil {
		return nil, err
	}
	var b Batch
	b.Put(&Space{id: namesSpace}, []byte(name), value)
	if _, err := s.Commit(&b); err != nil {
		return nil, fmt.Errorf("store: naming space %q: %w", name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if sp == nil {
		sp = &Space{s: s, id: id, name: name}
		s.spaces[name] = sp
	}
	sp.retention = want
	return sp, nil
}

// Lookup returns the keyspace of that name as it is, or ErrNotFound.
func (s *Store) Lookup(name string) (*Space, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if sp := s.spaces[name]; sp != nil {
		return sp, nil
	}
	return nil, fmt.Errorf("%w: no space %q", ErrNotFound, name)
}

// Spaces returns all keyspaces in no particular order.
func (s *Store) Spaces() []*Space {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make([]*Space, 0, len(s.spaces))
	for _, sp := range s.spaces {
		all = append(all, sp)
	}
	return all
}

// Retention returns how long the space's records are kept.
func (sp *Space) Retention() Retention {
	sp.s.mu.RLock()
	defer sp.s.mu.RUnlock()
	return Retention{Age: time.Duration(sp.retention.AgeMs) * time.Millisecond, Bytes: sp.retention.Bytes}
}

// retentions returns the spaces whose records grow old.
func (s *Store) retentions() map[uint16]plan.Retention {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var m map[uint16]plan.Retention
	for _, sp := range s.spaces {
		if sp.retention != (plan.Retention{}) {
			if m == nil {
				m = map[uint16]plan.Retention{}
			}
			m[sp.id] = sp.retention
		}
	}
	return m
}

// floors returns the sequence numbers up to which records are too old, by space.
func (s *Store) floors() map[uint16]uint64 {
	s.manMu.Lock()
	defer s.manMu.Unlock()
	return s.man.Clone().Floors
}

// loadSpaces reads the names of the spaces when the store is opened.
func (s *Store) loadSpaces() error {
	snap := s.Snapshot()
	defer snap.Close()
	it := snap.Range(&Space{id: namesSpace, name: "names of spaces"}, nil, nil)
	defer it.Close()
	for it.Next() {
		value, err := it.Value()
		if err != nil {
			return err
		}
		var r spaceRecord
		if err := json.Unmarshal(value, &r); err != nil {
			return fmt.Errorf("%w: record of space %q: %w", ErrCorrupt, it.Key(), err)
		}
		name := string(it.Key())
		s.spaces[name] = &Space{s: s, id: r.ID, name: name, retention: r.Retention}
	}
	return it.Err()
}

// Get returns a key's value and the sequence number of the commit that set it, or ErrNotFound.
func (sp *Space) Get(key []byte) (value []byte, seq uint64, err error) {
	s := sp.s
	k := spaceKey(sp.id, key)
	s.rLockApplied()
	if s.closed {
		s.mu.RUnlock()
		return nil, 0, ErrClosed
	}
	it, found := s.top.get(k)
	covered := !found && s.top.covers(k)
	v := s.version.ref()
	s.mu.RUnlock()
	defer v.unref()
	return v.get(k, it, found, covered)
}

// get goes on under the uppermost layer, which said it, found and covered, and reads the value.
func (v *version) get(key string, it item, found, covered bool) ([]byte, uint64, error) {
	loc := it.loc
	if !found && !covered {
		var err error
		if loc, found, err = v.find(key); err != nil {
			return nil, 0, err
		}
	}
	if !found || loc.Segment == 0 || loc.Seq <= v.floors[spaceOf([]byte(key))] {
		return nil, 0, ErrNotFound
	}
	value, err := v.read([]byte(key), loc, nil)
	return value, loc.Seq, err
}
