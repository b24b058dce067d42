// Package maintenance decides which runners operators have disabled: one stays disabled whatever discovery lists,
// until it is enabled, and a runner that comes back is cold. It does no I/O and knows no clock; times are given.
package maintenance

import (
	"errors"
	"slices"
	"time"
)

// ErrUnknown is for an id that no list names and that is not disabled.
var ErrUnknown = errors.New("no runner has this id")

// Disabled are the runners taken out, each with the number of calls that took it out. One call brings a runner
// back however many took it out: operators restart it in between, and one call back is owed one yes.
type Disabled struct {
	out      map[string]int
	returned map[string]time.Duration // when a runner was let back in: it starts cold from then
}

// New returns the set of the given ids, as handed over by a process before this one.
func New(held []string) *Disabled {
	d := &Disabled{out: map[string]int{}, returned: map[string]time.Duration{}}
	for _, id := range held {
		d.out[id]++
	}
	return d
}

// Disable takes a runner out. known tells whether the list names it; an id that is neither listed
// nor disabled is refused.
func (d *Disabled) Disable(id string, known bool) error {
	if !known && d.out[id] == 0 {
		return ErrUnknown
	}
	d.out[id]++
	return nil
}

// Enable lets a runner serve again from now on. It reports whether the runner was disabled, so that it is
// told to the module as a new, cold process.
func (d *Disabled) Enable(id string, known bool, now time.Duration) (enabled bool, err error) {
	if d.out[id] == 0 {
		if !known {
			return false, ErrUnknown
		}
		return false, nil
	}
	delete(d.out, id)
	d.returned[id] = now
	return true, nil
}

// Has tells whether a runner is out.
func (d *Disabled) Has(id string) bool { return d.out[id] > 0 }

// Started is when a runner that discovery says started at born is to be taken to have started: no sooner than
// it was let back in, since operators restart a runner while it is out.
func (d *Disabled) Started(id string, born time.Duration) time.Duration {
	if at, ok := d.returned[id]; ok && at > born {
		return at
	}
	return born
}

// Names returns the ids that are out, in order, to hand on to the next process.
func (d *Disabled) Names() []string {
	ids := make([]string, 0, len(d.out))
	for id := range d.out {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
