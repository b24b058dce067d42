package frontend

import (
	"context"
	"sync"
	"sync/atomic"
)

// Views stores the current view, which is made from the newest configuration that this process has. An older view never
// replaces a newer one. Several goroutines may use it at once.
type Views struct {
	current atomic.Pointer[View]
	mutex   sync.Mutex
	changed chan struct{} // closed and replaced when current changes
}

// NewViews returns Views without a configuration.
func NewViews() *Views { return &Views{changed: make(chan struct{})} }

// Current returns the current view, or nil before the first one. The caller must not change it.
func (v *Views) Current() *View { return v.current.Load() }

// Set makes view the current one and reports whether it did. It ignores a view with a version that isn't higher than the
// current one's.
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

// nextChange returns a channel that is closed when the current view is replaced.
func (v *Views) nextChange() <-chan struct{} {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.changed
}

// awaitNewerThan waits until the current view's version is above version. It returns false if ctx ends before that.
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
