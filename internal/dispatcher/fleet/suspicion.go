package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// suspicion is the time that a suspect has to refute. Each further member that suspects it too makes it shorter (Lifeguard's
// dynamic suspicion timeout).
type suspicion struct {
	startedAt   time.Duration
	confirmedBy map[uint32]bool // hashes of the members that suspect it
	expiresAt   time.Duration   // then it is dead
}

// suspect takes in that by, a hash of a member's name, suspects m in an incarnation: m becomes suspect, or its timeout shorter.
func (c *Core) suspect(m *member, incarnation uint32, by uint32) {
	if m.State == Alive || incarnation > m.Incarnation {
		c.updateSum(m, -1)
		if m.State == Alive {
			m.State, m.Since = Suspect, c.now
			c.addChange(Suspected, m)
		}
		m.Incarnation, m.By = incarnation, by
		c.updateSum(m, 1)
		m.suspicion = &suspicion{startedAt: c.now, confirmedBy: map[uint32]bool{}}
		c.suspects[m.Name] = m
	}
	if m.suspicion.confirmedBy[by] || len(m.suspicion.confirmedBy) > maxConfirmations {
		return
	}
	m.suspicion.confirmedBy[by] = true
	n := float64(len(c.living) + 1)
	minTimeout := time.Duration(suspicionMult * max(1, math.Log10(n)) * float64(c.cfg.Interval))
	maxTimeout := maxSuspicionMult * minTimeout
	others := float64(min(maxConfirmations, len(c.living)-1)) // that could confirm it
	if m.suspicion.expiresAt = m.suspicion.startedAt + minTimeout; others > 0 {
		confidence := min(1, math.Log(float64(len(m.suspicion.confirmedBy)))/math.Log(others+1))
		m.suspicion.expiresAt += time.Duration((1 - confidence) * float64(maxTimeout-minTimeout))
	}
	r := m.Record // gossiped with the name of who suspects, so that receivers count each of them once
	r.By = by
	c.broadcast(r)
}

// clearSuspicion ends the suspicion of m, if there is one.
func (c *Core) clearSuspicion(m *member) {
	m.suspicion = nil
	delete(c.suspects, m.Name)
}

// expireSuspicions declares the suspects dead that did not refute in time.
func (c *Core) expireSuspicions() {
	var expired []*member
	for _, m := range c.suspects {
		if c.now >= m.suspicion.expiresAt {
			expired = append(expired, m)
		}
	}
	slices.SortFunc(expired, func(a, b *member) int { return cmp.Compare(a.Name, b.Name) })
	for _, m := range expired {
		m.By = hashOf(c.self.Name)
		c.endMember(m, Dead, m.Incarnation, 0)
	}
}
