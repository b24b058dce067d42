// Package vfstest has a file system in memory for tests. Crash loses unsynced changes, as a power failure does, and OnCall
// can make any call fail that changes something or makes changes durable.
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

// ErrCrashed is returned by calls of a file system after its power failed (Fault.PowerOff) or after Crash.
var ErrCrashed = errors.New("power is off")

// Call describes a call of the file system that changes something or makes changes durable.
type Call struct {
	N    int    // number of the call, from 1
	Op   string // create, write, truncate, sync, rename, remove or syncdir
	Name string // of the file without its folder, or for syncdir the last element of the folder
}

// Fault says how a call fails. With the zero Fault it succeeds.
type Fault struct {
	Err   error // returned by the call
	Short int   // how many bytes a write that fails with Err writes nevertheless
	// PowerOff turns the power off with the call. The call returns ErrCrashed. Its change, if it makes one, is pending, so
	// Crash may keep it. A sync or syncdir has no effect.
	PowerOff bool
}

// Mem is a file system in memory. The zero value is empty and ready. It is safe for use by several goroutines.
type Mem struct {
	// OnCall, if set, is called before each Call and returns how the call fails. It runs with the file system locked and
	// must not use the file system.
	OnCall func(Call) Fault

	mu      sync.Mutex
	calls   int               // number of Calls so far
	off     bool              // the power is off
	visible map[string]*inode // directory entries as processes see them, by path
	durable map[string]*inode // directory entries on disk, by path
	pending []entryChange     // changes of entries since the last SyncDir
	dirs    map[string]bool   // paths of folders
	locks   map[string]bool   // paths of locked files
}

// entryChange applies a change to a map of directory entries.
type entryChange func(map[string]*inode)

// init makes the maps of a zero Mem.
func (m *Mem) init() {
	if m.visible == nil {
		m.visible, m.durable = map[string]*inode{}, map[string]*inode{}
		m.dirs, m.locks = map[string]bool{}, map[string]bool{}
	}
}

// call counts a call and returns how it fails.
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
	if f.PowerOff {
		m.off = true
		f.Err = ErrCrashed
	}
	return f
}

// SetOnCall sets OnCall. It may be called while other goroutines use the file system.
func (m *Mem) SetOnCall(f func(Call) Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.OnCall = f
}

// Calls returns the number of Calls so far.
func (m *Mem) Calls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Crash returns the file system that a power failure leaves. It has all synced changes. Of the unsynced changes rnd
// chooses none, all or some. If it chooses some, it keeps any contiguous part of each chosen write. From then on m itself
// returns ErrCrashed.
func (m *Mem) Crash(rnd *rand.Rand) *Mem {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	m.off = true
	left := &Mem{}
	left.init()
	maps.Copy(left.dirs, m.dirs)
	entries := maps.Clone(m.durable)
	keep := rnd.IntN(3) // of the unsynced changes: 0 none, 1 any, 2 all
	survives := func() bool { return keep == 2 || keep == 1 && rnd.IntN(2) == 0 }
	for _, c := range m.pending {
		if survives() {
			c(entries)
		}
	}
	survivors := map[*inode]*inode{} // by old inode, so that a file with two names stays one file
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		n := entries[name]
		if survivors[n] == nil {
			b := slices.Clone(n.durable)
			for _, c := range n.pending {
				if !survives() {
					continue
				}
				if len(c.data) > 1 && keep == 1 {
					from := rnd.IntN(len(c.data))
					c = change{c.off + int64(from), c.data[from : from+rnd.IntN(len(c.data)-from)+1]}
				}
				b = c.apply(b)
			}
			survivors[n] = &inode{visible: b, durable: slices.Clone(b)}
		}
		left.visible[name], left.durable[name] = survivors[n], survivors[n]
	}
	return left
}

// EndProcess releases all locks, as when the process that uses the file system is killed. All its changes remain visible,
// synced or not.
func (m *Mem) EndProcess() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.locks)
}

// Files returns a copy of the visible content of all files, by path.
func (m *Mem) Files() map[string][]byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	files := map[string][]byte{}
	for name, n := range m.visible {
		files[name] = slices.Clone(n.visible)
	}
	return files
}

// FromFiles returns a file system that has these files, by path, on disk.
func FromFiles(files map[string][]byte) *Mem {
	m := &Mem{}
	m.init()
	for name, b := range files {
		n := &inode{visible: slices.Clone(b), durable: slices.Clone(b)}
		m.visible[name], m.durable[name] = n, n
		m.dirs[filepath.Dir(name)] = true
	}
	return m
}

// notExist returns the error for a missing name, which matches fs.ErrNotExist.
func notExist(op, name string) error { return &fs.PathError{Op: op, Path: name, Err: fs.ErrNotExist} }

// change makes a change of directory entries visible and pending.
func (m *Mem) change(c entryChange) {
	c(m.visible)
	m.pending = append(m.pending, c)
}

// Create creates an empty file. If it exists, Create truncates it.
func (m *Mem) Create(name string) (vfs.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.call("create", name)
	if f.Err != nil && !f.PowerOff {
		return nil, f.Err
	}
	n := m.visible[name]
	if n == nil {
		n = &inode{}
		m.change(func(e map[string]*inode) { e[name] = n })
	} else {
		n.visible = nil
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
	n := m.visible[name]
	if n == nil {
		return nil, notExist("open", name)
	}
	return &file{m, n, name}, nil
}

// OpenRW opens a file; a Mem does not distinguish it from Open.
func (m *Mem) OpenRW(name string) (vfs.File, error) { return m.Open(name) }

// Rename renames a file. It replaces the file to if that exists.
func (m *Mem) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.call("rename", from)
	if f.Err != nil && !f.PowerOff {
		return f.Err
	}
	n := m.visible[from]
	if n == nil {
		return notExist("rename", from)
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
	if f.Err != nil && !f.PowerOff {
		return f.Err
	}
	if m.visible[name] == nil {
		return notExist("remove", name)
	}
	m.change(func(e map[string]*inode) { delete(e, name) })
	return f.Err
}

// List returns the names of the files in a folder, sorted.
func (m *Mem) List(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	if m.off {
		return nil, ErrCrashed
	}
	if !m.dirs[filepath.Clean(dir)] {
		return nil, notExist("list", dir)
	}
	var names []string
	for name := range m.visible {
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

// SyncDir makes all directory entries durable, including the entries of other folders.
func (m *Mem) SyncDir(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.call("syncdir", dir)
	if f.Err != nil {
		return f.Err
	}
	m.durable, m.pending = maps.Clone(m.visible), nil
	return nil
}

// Lock takes a lock, which lasts until it is closed or EndProcess is called. The file system that Crash returns has no
// locks.
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
