package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// suspicion is the state of a suspect. Its timeout, within which the suspect may refute, becomes shorter with each further
// member that suspects it too (Lifeguard's dynamic suspicion timeout):
//
//	shortest = suspicionMult * max(1, log10(N)) * Interval
//	longest  = maxSuspicionMult * shortest
//	timeout  = shortest + (longest - shortest) * (1 - ln(C) / ln(K+1)), shortest if C > K or K is 0
//
// N is the number of living members, C the number of members that suspect it, the first one included, and K the number of
// confirmations that give the shortest timeout: maxConfirmations, or fewer if there are not as many other members.
type suspicion struct {
	startedAt   time.Duration
	confirmedBy map[uint32]bool // hashes of the names of the members that suspect it, the first one included
	expiresAt   time.Duration   // when the suspect is declared dead
}

// suspect records that the member with the name hash by suspects m in an incarnation. m becomes suspect or, if it is already,
// its timeout becomes shorter.
func (c *Core) suspect(m *member, incarnation uint32, by uint32) {
	if m.State == Alive || incarnation > m.Incarnation {
		c.updateSum(m, -1)
		if m.State == Alive {
			m.State, m.Since = Suspect, c.now
			c.addChange(Suspected, m)
		}
		m.Incarnation, m.SuspectedBy = incarnation, by
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
	others := float64(min(maxConfirmations, len(c.living)-1)) // K in the formula of suspicion
	if m.suspicion.expiresAt = m.suspicion.startedAt + minTimeout; others > 0 {
		confidence := min(1, math.Log(float64(len(m.suspicion.confirmedBy)))/math.Log(others+1))
		m.suspicion.expiresAt += time.Duration((1 - confidence) * float64(maxTimeout-minTimeout))
	}
	r := m.Record // gossiped with the hash of the suspecting member, so that receivers count each suspecting member once
	r.SuspectedBy = by
	c.broadcast(r)
}

// clearSuspicion removes the suspicion of m, if there is one.
func (c *Core) clearSuspicion(m *member) {
	m.suspicion = nil
	delete(c.suspects, m.Name)
}

// expireSuspicions declares those suspects dead that did not refute in time.
func (c *Core) expireSuspicions() {
	var expired []*member
	for _, m := range c.suspects {
		if c.now >= m.suspicion.expiresAt {
			expired = append(expired, m)
		}
	}
	slices.SortFunc(expired, func(a, b *member) int { return cmp.Compare(a.Name, b.Name) })
	for _, m := range expired {
		m.SuspectedBy = hashOf(c.self.Name)
		c.endMember(m, Dead, m.Incarnation, 0)
	}
}
