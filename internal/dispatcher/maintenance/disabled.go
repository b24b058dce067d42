// Package maintenance keeps which runners operators have disabled: a runner stays disabled whatever discovery lists,
// until it is enabled, and then it warms up. It does no I/O and has no clock; times are passed in.
package maintenance

import (
	"errors"
	"slices"
	"time"
)

// ErrUnknownRunner is returned for an id that is neither listed nor disabled.
var ErrUnknownRunner = errors.New("no runner has this id")

// Disabled are the disabled runners. One Enable undoes any number of Disable calls, as operators restart the runner
// in between. It is not safe for concurrent use.
type Disabled struct {
	disabled  map[string]int           // by id: the number of Disable calls
	enabledAt map[string]time.Duration // by id: it warms up from then on
}

// New returns the set of the given ids, which the process before this one passed on.
func New(ids []string) *Disabled {
	d := &Disabled{disabled: map[string]int{}, enabledAt: map[string]time.Duration{}}
	for _, id := range ids {
		d.disabled[id]++
	}
	return d
}

// Disable takes a runner out. known is whether the list names it; an id that is neither listed nor disabled is
// ErrUnknownRunner.
func (d *Disabled) Disable(id string, known bool) error {
	if !known && d.disabled[id] == 0 {
		return ErrUnknownRunner
	}
	d.disabled[id]++
	return nil
}

// Enable lets a runner serve again from now on. It reports whether the runner was disabled: the module then sees it
// as a new process that warms up.
func (d *Disabled) Enable(id string, known bool, now time.Duration) (enabled bool, err error) {
	if d.disabled[id] == 0 {
		if !known {
			return false, ErrUnknownRunner
		}
		return false, nil
	}
	delete(d.disabled, id)
	d.enabledAt[id] = now
	return true, nil
}

// Has reports whether a runner is disabled.
func (d *Disabled) Has(id string) bool { return d.disabled[id] > 0 }

// Started returns when a runner that discovery lists as started at born counts as started: no sooner than it was
// enabled, as operators restart a runner while it is disabled.
func (d *Disabled) Started(id string, born time.Duration) time.Duration {
	if at, ok := d.enabledAt[id]; ok && at > born {
		return at
	}
	return born
}

// Names returns the ids of disabled runners, sorted.
func (d *Disabled) Names() []string {
	ids := make([]string, 0, len(d.disabled))
	for id := range d.disabled {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
