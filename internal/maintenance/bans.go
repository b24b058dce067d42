// Package maintenance decides which runners operators have taken out: a ban holds whatever discovery lists,
// until it is lifted, and a runner that comes back is cold. It does no I/O and knows no clock; times are given.
package maintenance

import (
	"errors"
	"slices"
	"time"
)

// ErrUnknown is for an id that no list names and no ban holds.
var ErrUnknown = errors.New("no runner has this id")

// Bans are the runners taken out, each with the number of calls that took it out. One call brings a runner
// back however many took it out: operators restart it in between, and one call back is owed one yes.
type Bans struct {
	out      map[string]int
	returned map[string]time.Duration // when a runner was let back in: it starts cold from then
}

// New returns Bans that hold the given ids, as handed over by a process before this one.
func New(held []string) *Bans {
	b := &Bans{out: map[string]int{}, returned: map[string]time.Duration{}}
	for _, id := range held {
		b.out[id]++
	}
	return b
}

// Disable takes a runner out. known tells whether the list names it; an id that neither the list nor a ban
// holds is refused.
func (b *Bans) Disable(id string, known bool) error {
	if !known && b.out[id] == 0 {
		return ErrUnknown
	}
	b.out[id]++
	return nil
}

// Enable lets a runner serve again from now on. It reports whether a ban was lifted, so that the runner is
// told to the module as a new, cold process.
func (b *Bans) Enable(id string, known bool, now time.Duration) (lifted bool, err error) {
	if b.out[id] == 0 {
		if !known {
			return false, ErrUnknown
		}
		return false, nil
	}
	delete(b.out, id)
	b.returned[id] = now
	return true, nil
}

// Banned tells whether a runner is out.
func (b *Bans) Banned(id string) bool { return b.out[id] > 0 }

// Started is when a runner that discovery says started at born is to be taken to have started: no sooner than
// it was let back in, since operators restart a runner while it is out.
func (b *Bans) Started(id string, born time.Duration) time.Duration {
	if at, ok := b.returned[id]; ok && at > born {
		return at
	}
	return born
}

// Held returns the ids that are out, in order, to hand on to the next process.
func (b *Bans) Held() []string {
	ids := make([]string, 0, len(b.out))
	for id := range b.out {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
