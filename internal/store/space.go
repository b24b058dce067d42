package store

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"ospreypond/internal/store/plan"
)

// namesSpace is the number of the space that describes all other spaces. Its records have a space's name as the key and
// the space's spaceRecord as the value.
const namesSpace = 0

// Retention limits which records a space retains. A zero field sets no limit. Records expire oldest first, about a segment
// of the log at a time, so some are retained longer than the limits say.
type Retention struct {
	Age   time.Duration // maximum time since a record's commit
	Bytes int64         // maximum size of the space's live records, as plan.PutBytes counts them
}

// Space is a keyspace of a store: the same key in two spaces is two keys. It is safe for use by several goroutines.
type Space struct {
	s         *Store
	id        uint16 // first two bytes of the space's keys in the index, big-endian
	name      string
	retention plan.Retention // guarded by Store.mu
}

// spaceRecord is the value of a space's record in namesSpace. Its JSON is on disk.
type spaceRecord struct {
	ID        uint16         `json:"id"`
	Retention plan.Retention `json:"retention"`
}

// Name returns the space's name.
func (sp *Space) Name() string { return sp.name }

// Space returns the keyspace of that name and sets its retention. It creates the space if it does not exist. To create a
// space or to change its retention, Space makes a commit.
func (s *Store) Space(name string, keep Retention) (*Space, error) {
	if name == "" || len(name) > 128 {
		return nil, fmt.Errorf("store: space name %q has %d bytes, must have 1 to 128", name, len(name))
	}
	if keep.Age < 0 || keep.Bytes < 0 {
		return nil, fmt.Errorf("store: space %q: retention of %v and %d bytes: must not be negative", name, keep.Age, keep.Bytes)
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
		return nil, fmt.Errorf("store: space %q: the store already has the maximum of %d spaces", name, id-1)
	}
	value, err := json.Marshal(spaceRecord{id, want})
	if err != nil {
		return nil, err
	}
	var b Batch
	b.Put(&Space{id: namesSpace}, []byte(name), value)
	if _, err := s.Commit(&b); err != nil {
		return nil, fmt.Errorf("store: writing the record of space %q: %w", name, err)
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

// Lookup returns the keyspace of that name, or ErrNotFound. It does not change the retention.
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

// Retention returns the limits on the records that the space retains.
func (sp *Space) Retention() Retention {
	sp.s.mu.RLock()
	defer sp.s.mu.RUnlock()
	return Retention{Age: time.Duration(sp.retention.AgeMs) * time.Millisecond, Bytes: sp.retention.Bytes}
}

// retentions returns the retention of each space that has one, by the space's number; nil if none has.
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

// floors returns for each space's number the sequence number up to which its records have expired.
func (s *Store) floors() map[uint16]uint64 {
	s.manMu.Lock()
	defer s.manMu.Unlock()
	return s.man.Clone().Floors
}

// loadSpaces reads the records of all spaces into s.spaces when the store is opened.
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

// spaceOf returns the number of the space to which a key of the index belongs: its first two bytes, big-endian.
func spaceOf(key []byte) uint16 { return uint16(key[0])<<8 | uint16(key[1]) }

// spaceSpan returns the range of all keys of a space in the index.
func spaceSpan(id uint16) span {
	hi := "\xff\xff\xff"
	if id < 0xffff {
		hi = spaceKey(id+1, nil)
	}
	return span{spaceKey(id, nil), hi}
}

// spaceKey returns the index's key for a space's key: the space's number in two bytes, big-endian, then the key.
func spaceKey(id uint16, key []byte) string {
	var b strings.Builder
	b.Grow(2 + len(key))
	b.WriteByte(byte(id >> 8))
	b.WriteByte(byte(id))
	b.Write(key)
	return b.String()
}
