package fleet

import "time"

// memberAt returns the member at an address, or nil if none is known there.
func (c *Core) memberAt(addr string) *member {
	if p := c.probe; p != nil && p.member.Addr == addr { // most packets go to the probed member; this saves the lookup
		return p.member
	}
	return c.byAddr[addr]
}

// recordOf returns m's record to be sent now, with its current Age.
func (c *Core) recordOf(m *member) Record {
	r := m.Record
	if !r.State.Living() {
		r.Age = c.now - m.Since
	}
	return r
}

// origin is the source of a received record.
type origin uint8

const (
	gossiped     origin = iota // as an update, sent soon after the change
	synchronized               // in a Gossip packet, which replies to a Sync or a stale epoch: the change may be any time ago
)

// merge applies a received record to the view. The record with the higher epoch wins. Within an epoch, by the rules of SWIM,
// the record with the higher incarnation wins, and of equal incarnations the record with the later state. A death that is
// learned by synchronization may date from before a partition healed. It is therefore not applied: the member is sent the
// record and may refute it.
func (c *Core) merge(r Record, from origin) {
	if r.Name == "" || r.Addr == "" || r.State > Left {
		return
	}
	if r.Name == c.self.Name {
		c.mergeSelf(r)
		return
	}
	m := c.members[r.Name]
	switch {
	case m == nil:
		c.addMember(r)
	case r.Epoch < m.Epoch: // the record is about an earlier process
	case r.Epoch > m.Epoch:
		c.replaceEpoch(m, r)
	case m.State == Left: // an epoch that left doesn't come back
	case r.State == Alive && r.Incarnation > m.Incarnation:
		wasAlive := m.State == Alive
		c.refute(m, r)
		if !wasAlive {
			c.addChange(Refuted, m)
		}
		c.broadcast(m.Record)
	case r.State == Suspect && r.Incarnation >= m.Incarnation && m.State.Living():
		c.suspect(m, r.Incarnation, r.SuspectedBy)
	case r.State == Dead && r.Incarnation >= m.Incarnation && m.State.Living():
		if from == synchronized {
			c.sendForRefutation(m, r)
			return
		}
		c.endMember(m, Dead, r.Incarnation, r.Age)
	case r.State == Left:
		c.endMember(m, Left, r.Incarnation, r.Age)
	}
}

// sendForRefutation sends a living member the record of its death that another view has, so that the member refutes it by a
// higher incarnation.
func (c *Core) sendForRefutation(m *member, r Record) {
	if c.pagesSent < 2*maxPagesPerInterval {
		c.pagesSent++
		c.ping(m.Addr, m.Epoch, 0, r) // a probe, as its refusal would prove the death
	}
}

// addMember adds a member that was not known, unless the view is full or the member has been dead for longer than
// Config.Forget.
func (c *Core) addMember(r Record) {
	if len(c.members) >= c.cfg.MaxMembers || r.Age > c.cfg.Forget {
		return
	}
	m := &member{Member: Member{Record: r, Since: c.now}, index: -1}
	b := bucketOf(r.Name)
	m.bucketIndex, c.byBucket[b] = len(c.byBucket[b]), append(c.byBucket[b], m)
	if !r.State.Living() { // it is added all the same, so that records of earlier epochs are not taken for new members
		m.Since = c.now - r.Age
		m.Age = 0
		c.members[r.Name] = m
		c.setAddr(m, r.Addr)
		c.addNotLiving(m)
		return
	}
	by := m.SuspectedBy
	m.State, m.SuspectedBy = Alive, 0
	c.members[r.Name] = m
	c.setAddr(m, r.Addr)
	c.addLiving(m)
	c.addChange(Joined, m)
	if c.broadcast(m.Record); r.State == Suspect {
		c.suspect(m, r.Incarnation, by)
	}
}

// replaceEpoch replaces m's record by one of a later epoch.
func (c *Core) replaceEpoch(m *member, r Record) {
	living := m.State.Living()
	if !r.State.Living() {
		c.forget(m)
		c.addMember(r)
		return
	}
	c.updateSum(m, -1)
	c.clearSuspicion(m)
	state, by := r.State, r.SuspectedBy
	r.State, r.SuspectedBy, r.Age = Alive, 0, 0
	c.setAddr(m, r.Addr)
	m.Record, m.Since = r, c.now
	if c.updateSum(m, 1); living {
		c.addChange(Replaced, m)
	} else {
		c.notLiving = removeFrom(c.notLiving, m)
		c.insertLiving(m)
		c.addChange(Joined, m)
	}
	if c.broadcast(m.Record); state == Suspect {
		c.suspect(m, r.Incarnation, by)
	}
}

// refute makes m alive by its refutation r, which has the same epoch and a higher incarnation.
func (c *Core) refute(m *member, r Record) {
	living := m.State.Living()
	c.updateSum(m, -1)
	c.setAddr(m, r.Addr)
	if m.State != Alive {
		m.Since = c.now
	}
	c.clearSuspicion(m)
	m.Incarnation, m.State, m.SuspectedBy, m.Zone = r.Incarnation, Alive, 0, r.Zone
	if !living {
		c.notLiving = removeFrom(c.notLiving, m)
		c.addLiving(m)
		return
	}
	c.updateSum(m, 1)
}

// endMember sets m's state to Dead or Left, entered age ago.
func (c *Core) endMember(m *member, s State, incarnation uint32, age time.Duration) {
	living := m.State.Living()
	c.updateSum(m, -1)
	c.clearSuspicion(m)
	m.State, m.Incarnation, m.Since = s, max(incarnation, m.Incarnation), c.now-age
	if living {
		c.living = removeFrom(c.living, m)
		c.addNotLiving(m)
		c.addChange(map[State]ChangeKind{Dead: Died, Left: Departed}[s], m)
		c.broadcast(c.recordOf(m))
	}
}

// mergeSelf handles a record about this member, and refutes it by a higher incarnation if it says that this member is suspect
// or dead, or if its incarnation is ahead. A record with a higher epoch means one of two things:
//   - If others have acknowledged this epoch, a later process has started under the same name, and this one is superseded.
//   - If not, this process has just started and the clock that chose its epoch is behind that of its predecessor. It takes
//     an epoch that is one higher than the record's, as otherwise all members would reject it as stale.
func (c *Core) mergeSelf(r Record) {
	switch {
	case r.Epoch < c.self.Epoch || c.hasEnded:
	case r.Epoch > c.self.Epoch && c.isAcknowledged:
		c.hasEnded = true // superseded: the process was upgraded, or two dispatchers were given the same name
		c.setConverged(false)
	case r.Epoch > c.self.Epoch: // this machine's clock is behind the predecessor's clock
		c.updateSelf(func() { c.self.Epoch, c.self.Incarnation = r.Epoch+1, 0 })
	case r.State == Left || r.State == Alive && r.Incarnation <= c.self.Incarnation:
	case r.Incarnation >= c.self.Incarnation:
		if r.State != Alive {
			c.adjustHealth(1)
		}
		c.updateSelf(func() { c.self.Incarnation = r.Incarnation + 1 })
	}
}

// updateSelf changes this member's own record, keeps its bucket's sum up to date and gossips the record.
func (c *Core) updateSelf(change func()) {
	b := bucketOf(c.self.Name)
	c.sums[b] -= sumOf(&c.self)
	change()
	c.sums[b] += sumOf(&c.self)
	c.broadcast(c.self)
}

// updateSum adds m to its bucket's sum, or with sign -1 subtracts it, if it is living. Before a change
// of m's epoch or between living and not living, m must be subtracted, and afterwards added, so that the sums always are the
// sums of the living members.
func (c *Core) updateSum(m *member, sign int) {
	if m.State.Living() {
		c.sums[bucketOf(m.Name)] += uint64(sign) * sumOf(&m.Record)
	}
}

// setAddr sets m's address and keeps byAddr up to date.
func (c *Core) setAddr(m *member, addr string) {
	if c.byAddr[m.Addr] == m {
		delete(c.byAddr, m.Addr)
	}
	m.Addr = addr
	c.byAddr[addr] = m
}

// addLiving adds m to the living members and to its bucket's sum.
func (c *Core) addLiving(m *member) {
	c.insertLiving(m)
	c.updateSum(m, 1)
}

// insertLiving inserts m at a random position of the probe order, as SWIM does.
func (c *Core) insertLiving(m *member) {
	c.living = append(c.living, m)
	i, last := c.rng.IntN(len(c.living)), len(c.living)-1
	c.living[i], c.living[last] = c.living[last], c.living[i]
	c.living[i].index, c.living[last].index = i, last
}

// removeFrom removes m from living or notLiving, whichever list its index is in, and returns the list.
func removeFrom(list []*member, m *member) []*member {
	last := len(list) - 1
	list[m.index] = list[last]
	list[m.index].index = m.index
	return list[:last]
}

// addNotLiving adds m, which is dead or left, to the members that probeNotLiving probes in turn.
func (c *Core) addNotLiving(m *member) {
	m.index = len(c.notLiving)
	c.notLiving = append(c.notLiving, m)
}

// forget removes m from the view.
func (c *Core) forget(m *member) {
	c.clearSuspicion(m)
	c.updateSum(m, -1)
	if m.State.Living() {
		c.living = removeFrom(c.living, m)
	} else {
		c.notLiving = removeFrom(c.notLiving, m)
	}
	b := bucketOf(m.Name)
	last := len(c.byBucket[b]) - 1
	c.byBucket[b][m.bucketIndex] = c.byBucket[b][last]
	c.byBucket[b][m.bucketIndex].bucketIndex = m.bucketIndex
	c.byBucket[b] = c.byBucket[b][:last]
	delete(c.members, m.Name)
	if c.byAddr[m.Addr] == m {
		delete(c.byAddr, m.Addr)
	}
}
