package store

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"ospreypond/internal/store/plan"
)

// namesSpace is the space that has a record for each other space, by its name.
const namesSpace = 0

// Retention bounds the records that a space retains. A zero field sets no bound. Records expire oldest first, about a
// segment of the log at a time, so some are retained that much longer than the bounds say.
type Retention struct {
	Age   time.Duration // since the commit
	Bytes int64         // of keys and values
}

// Space is a keyspace of a store: the same key in two spaces is two keys. It is safe for use by several goroutines.
type Space struct {
	s         *Store
	id        uint16
	name      string
	retention plan.Retention // guarded by Store.mu
}

// spaceRecord is the record of a space in namesSpace. Its JSON is on disk.
type spaceRecord struct {
	ID        uint16         `json:"id"`
	Retention plan.Retention `json:"retention"`
}

// Name returns the space's name.
func (sp *Space) Name() string { return sp.name }

// Space returns the keyspace of that name, with that retention from now on. It creates the space if there is none, which is
// a commit.
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

// Lookup returns the keyspace of that name, its retention unchanged, or ErrNotFound.
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

// Retention returns the bounds on the records that the space retains.
func (sp *Space) Retention() Retention {
	sp.s.mu.RLock()
	defer sp.s.mu.RUnlock()
	return Retention{Age: time.Duration(sp.retention.AgeMs) * time.Millisecond, Bytes: sp.retention.Bytes}
}

// retentions returns the retention of the spaces that have one, by number; nil if none has.
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

// floors returns, by space, the sequence number up to which records have expired.
func (s *Store) floors() map[uint16]uint64 {
	s.manMu.Lock()
	defer s.manMu.Unlock()
	return s.man.Clone().Floors
}

// loadSpaces reads the records of all spaces when the store is opened.
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

// spaceOf returns the number of the space that a key of the index belongs to.
func spaceOf(key []byte) uint16 { return uint16(key[0])<<8 | uint16(key[1]) }

// spaceSpan is the range of all keys of a space.
func spaceSpan(id uint16) span {
	hi := "\xff\xff\xff"
	if id < 0xffff {
		hi = spaceKey(id+1, nil)
	}
	return span{spaceKey(id, nil), hi}
}

// spaceKey returns the key of the index for a space's key.
func spaceKey(id uint16, key []byte) string {
	var b strings.Builder
	b.Grow(2 + len(key))
	b.WriteByte(byte(id >> 8))
	b.WriteByte(byte(id))
	b.Write(key)
	return b.String()
}
