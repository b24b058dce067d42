// Package vfstest has a file system in memory for tests. Crash loses what was not synced, as a disk does at a power failure,
// and OnCall can have each call fail.
package vfstest

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"

	"ospreypond/internal/store/vfs"
)

// ErrCrashed is returned by every call that uses files once the power is off.
var ErrCrashed = errors.New("power is off")

// Call is one call of the file system that changes something or makes changes durable.
type Call struct {
	N    int    // counts from 1
	Op   string // create, write, truncate, sync, rename, remove, syncdir
	Name string // without its folder
}

// Fault is how a call fails. With the zero Fault it succeeds.
type Fault struct {
	Err   error
	Short int  // of a write: how many bytes are written nevertheless
	Off   bool // the power goes off with the call, which may have had its effect
}

// Mem is a file system in memory. The zero value is empty and ready. It is safe for use by several goroutines.
type Mem struct {
	// OnCall, if set, decides before each call how it ends. It runs under the file system's lock and must not use the file
	// system.
	OnCall func(Call) Fault

	mu      sync.Mutex
	calls   int
	off     bool
	now     map[string]*inode // as processes see it
	disk    map[string]*inode // directory entries that are durable
	pending []entryChange     // entries changed since the last SyncDir
	dirs    map[string]bool
	locks   map[string]bool
}

type entryChange func(map[string]*inode)

func (m *Mem) init() {
	if m.now == nil {
		m.now, m.disk = map[string]*inode{}, map[string]*inode{}
		m.dirs, m.locks = map[string]bool{}, map[string]bool{}
	}
}

// call counts a call and returns how it ends.
func (m *Mem) call(op, name string) Fault {
	m.init()
	if m.off {
		return Fault{Err: ErrCrashed}
	}
	m.calls++
	if m.OnCall == nil {
		return Fault{}
	}
	f := m.OnCall(Call{m.calls, op, filepath.Base(name)})
	if f.Off {
		m.off = true
		f.Err = ErrCrashed
	}
	return f
}

// SetOnCall replaces OnCall while the file system is in use.
func (m *Mem) SetOnCall(f func(Call) Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.OnCall = f
}

// Calls returns how many calls there were.
func (m *Mem) Calls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Crash returns what a power failure leaves: all that was synced, and of the rest any part, also parts of single writes, as
// rnd decides. From then on the file system itself returns ErrCrashed.
func (m *Mem) Crash(rnd *rand.Rand) *Mem {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	m.off = true
	left := &Mem{}
	left.init()
	maps.Copy(left.dirs, m.dirs)
	entries := maps.Clone(m.disk)
	keep := rnd.IntN(3) // nothing, anything, all of what was not synced
	lucky := func() bool { return keep == 2 || keep == 1 && rnd.IntN(2) == 0 }
	for _, c := range m.pending {
		if lucky() {
			c(entries)
		}
	}
	survivors := map[*inode]*inode{} // a file with two names stays one
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		n := entries[name]
		if survivors[n] == nil {
			b := slices.Clone(n.disk)
			for _, c := range n.pending {
				if !lucky() {
					continue
				}
				if len(c.data) > 1 && keep == 1 {
					from := rnd.IntN(len(c.data))
					c = change{c.off + int64(from), c.data[from : from+rnd.IntN(len(c.data)-from)+1]}
				}
				b = c.apply(b)
			}
			survivors[n] = &inode{now: b, disk: slices.Clone(b)}
		}
		left.now[name], left.disk[name] = survivors[n], survivors[n]
	}
	return left
}

// EndProcess drops all locks, as when the process that uses the file system is killed. What it wrote remains, whether it was
// synced or not.
func (m *Mem) EndProcess() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.locks)
}

// Files returns a copy of all files.
func (m *Mem) Files() map[string][]byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	files := map[string][]byte{}
	for name, n := range m.now {
		files[name] = slices.Clone(n.now)
	}
	return files
}

// Of returns a file system with these files.
func Of(files map[string][]byte) *Mem {
	m := &Mem{}
	m.init()
	for name, b := range files {
		n := &inode{now: slices.Clone(b), disk: slices.Clone(b)}
		m.now[name], m.disk[name] = n, n
		m.dirs[filepath.Dir(name)] = true
	}
	return m
}

func notThere(op, name string) error { return &fs.PathError{Op: op, Path: name, Err: fs.ErrNotExist} }

func (m *Mem) change(c entryChange) {
	c(m.now)
	m.pending = append(m.pending, c)
}

// Create makes an empty file.
func (m *Mem) Create(name string) (vfs.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.call("create", name)
	if f.Err != nil && !f.Off {
		return nil, f.Err
	}
	n := m.now[name]
	if n == nil {
		n = &inode{}
		m.change(func(e map[string]*inode) { e[name] = n })
	} else {
		n.now = nil
		n.pending = append(n.pending, change{})
	}
	return &file{m, n, name}, f.Err
}

// Open opens a file.
func (m *Mem) Open(name string) (vfs.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	if m.off {
		return nil, ErrCrashed
	}
	n := m.now[name]
	if n == nil {
		return nil, notThere("open", name)
	}
	return &file{m, n, name}, nil
}

// OpenRW opens a file.
func (m *Mem) OpenRW(name string) (vfs.File, error) { return m.Open(name) }

// Rename renames a file over another.
func (m *Mem) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.call("rename", from)
	if f.Err != nil && !f.Off {
		return f.Err
	}
	n := m.now[from]
	if n == nil {
		return notThere("rename", from)
	}
	m.change(func(e map[string]*inode) {
		e[to] = n
		delete(e, from)
	})
	return f.Err
}

// Remove removes a file.
func (m *Mem) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.call("remove", name)
	if f.Err != nil && !f.Off {
		return f.Err
	}
	if m.now[name] == nil {
		return notThere("remove", name)
	}
	m.change(func(e map[string]*inode) { delete(e, name) })
	return f.Err
}

// List lists a folder.
func (m *Mem) List(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	if m.off {
		return nil, ErrCrashed
	}
	if !m.dirs[filepath.Clean(dir)] {
		return nil, notThere("list", dir)
	}
	var names []string
	for name := range m.now {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// MkdirAll creates a folder, which is durable at once.
func (m *Mem) MkdirAll(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	m.dirs[filepath.Clean(dir)] = true
	return nil
}

// SyncDir makes all entries durable, whatever their folder.
func (m *Mem) SyncDir(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.call("syncdir", dir)
	if f.Err != nil {
		return f.Err
	}
	m.disk, m.pending = maps.Clone(m.now), nil
	return nil
}

// Lock takes a lock, which lasts until it is closed or EndProcess is called. What Crash returns has no locks.
func (m *Mem) Lock(name string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	if m.locks[name] {
		return nil, vfs.ErrLocked
	}
	m.locks[name] = true
	return closer(func() error {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.locks, name)
		return nil
	}), nil
}

type closer func() error

func (c closer) Close() error { return c() }
