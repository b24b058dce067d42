package frontend

import (
	"context"
	"sync"
	"sync/atomic"
)

// Views holds the newest configuration. It only moves up.
type Views struct {
	current atomic.Pointer[View]
	mutex   sync.Mutex
	changed chan struct{} // closed at the next change
}

// NewViews returns Views without a configuration.
func NewViews() *Views { return &Views{changed: make(chan struct{})} }

// Current returns the newest view, nil before the first.
func (v *Views) Current() *View { return v.current.Load() }

// Set puts view in force and reports whether it did: one that isn't newer than the current is passed over.
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

// next returns a channel that is closed when a view newer than the current one is in force.
func (v *Views) next() <-chan struct{} {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.changed
}

// newerThan waits for a view above version and reports whether it is there before ctx ends.
func (v *Views) newerThan(ctx context.Context, version uint64) bool {
	for {
		changed := v.next()
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
