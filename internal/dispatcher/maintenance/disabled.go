// Package maintenance keeps the set of runners that operators have disabled. A runner stays disabled until an operator
// enables it, whatever discovery lists, and then it warms up. The package does no I/O and reads no clock; callers pass
// the times.
package maintenance

import (
	"errors"
	"slices"
	"time"
)

// ErrUnknownRunner is the error for an id that is neither in discovery's list nor disabled.
var ErrUnknownRunner = errors.New("no runner has this id")

// Disabled is the set of disabled runners. One Enable undoes any number of Disable calls, as operators restart the runner
// between Disable and Enable. It is not safe for concurrent use.
type Disabled struct {
	disabled  map[string]int           // by id: the number of Disable calls; 0: not disabled
	enabledAt map[string]time.Duration // by id: the Unix time of its last Enable, from which on it warms up
}

// New returns the set of the given ids: the runners that the previous process of this dispatcher had disabled.
func New(ids []string) *Disabled {
	d := &Disabled{disabled: map[string]int{}, enabledAt: map[string]time.Duration{}}
	for _, id := range ids {
		d.disabled[id]++
	}
	return d
}

// Disable adds a runner to the set. known is whether discovery's list names the runner. If it doesn't and the runner isn't
// disabled, Disable returns ErrUnknownRunner.
func (d *Disabled) Disable(id string, known bool) error {
	if !known && d.disabled[id] == 0 {
		return ErrUnknownRunner
	}
	d.disabled[id]++
	return nil
}

// Enable removes a runner from the set and records now as its start. It reports whether the runner was disabled. known is
// whether discovery's list names the runner. If it doesn't and the runner isn't disabled, Enable returns ErrUnknownRunner.
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

// Started returns a runner's start time for its warm-up: born, its start in discovery's list, or its last Enable if that is
// later. Operators restart a runner while it is disabled, so it must warm up after Enable.
func (d *Disabled) Started(id string, born time.Duration) time.Duration {
	if at, ok := d.enabledAt[id]; ok && at > born {
		return at
	}
	return born
}

// Names returns the ids of the disabled runners, sorted.
func (d *Disabled) Names() []string {
	ids := make([]string, 0, len(d.disabled))
	for id := range d.disabled {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
