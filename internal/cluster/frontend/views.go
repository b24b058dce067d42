package frontend

import (
	"context"
	"sync"
	"sync/atomic"
)

// Views has the newest version of the configuration, which never goes back to an older one. It is safe for use by several
// goroutines.
type Views struct {
	current atomic.Pointer[View]
	mutex   sync.Mutex
	changed chan struct{} // closed, and replaced, when current changes
}

// NewViews returns Views without a configuration.
func NewViews() *Views { return &Views{changed: make(chan struct{})} }

// Current returns the newest view, nil before the first. A view must not be changed.
func (v *Views) Current() *View { return v.current.Load() }

// Set puts view in force and reports whether it did: one that isn't newer than the current one is ignored.
func (v *Views) Set(view *View) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if current := v.current.Load(); current != nil && view.Version <= current.Version {
		return false
	}
	v.current.Store(view)
	close(v.changed)
	v.changed = make(chan struct{})
	return true
}

// nextChange returns a channel that is closed once a view newer than the current one is in force.
func (v *Views) nextChange() <-chan struct{} {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.changed
}

// awaitNewerThan waits for a view above version and reports whether there is one before ctx ends.
func (v *Views) awaitNewerThan(ctx context.Context, version uint64) bool {
	for {
		changed := v.nextChange()
		if current := v.Current(); current != nil && current.Version > version {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
