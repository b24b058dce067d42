package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// updates is a record that is being told.
type update struct {
	record    Record
	transmits int
}

// broadcast has a record ride on the next packets. Where there is too much to tell, what was told most is dropped.
func (c *Core) broadcast(r Record) {
	if c.updates[r.Name] == nil && len(c.updates) >= maxUpdates {
		var most *update
		for _, n := range c.updates {
			if n.record.Name != c.self.Name && (most == nil || n.transmits > most.transmits || n.transmits == most.transmits && n.record.Name < most.record.Name) {
				most = n
			}
		}
		delete(c.updates, most.record.Name)
	}
	c.updates[r.Name] = &update{record: r}
}

// piggyback puts news into p, those told least first, and first of all what the receiver has to refute.
func (c *Core) piggyback(p *Packet, to string) {
	room := c.cfg.MaxRecordBytes - len(p.Proofs)*10 - len(p.Sums)*9
	for i := range p.Records {
		room -= p.Records[i].maxSize()
	}
	if m := c.memberAt(to); m != nil && (m.State == Suspect || m.State == Dead) {
		p.Records, room = append(p.Records, c.recordOf(m)), room-m.maxSize()
	}
	if len(c.updates) == 0 {
		return
	}
	queue := make([]*update, 0, len(c.updates))
	for _, n := range c.updates {
		queue = append(queue, n)
	}
	slices.SortFunc(queue, func(a, b *update) int {
		return cmp.Or(a.transmits-b.transmits, cmp.Compare(a.record.Name, b.record.Name))
	})
	most := retransmitMult * int(math.Ceil(math.Log2(float64(len(c.living)+2))))
	for _, n := range queue {
		if room -= n.record.maxSize(); room < 0 {
			break
		}
		if m := c.members[n.record.Name]; m != nil {
			n.record.Age = c.recordOf(m).Age
		}
		p.Records = append(p.Records, n.record)
		if n.transmits++; n.transmits >= most {
			delete(c.updates, n.record.Name)
		}
	}
}

// memberAt returns who is held to be at an address.
func (c *Core) memberAt(addr string) *member {
	if p := c.probe; p != nil && p.member.Addr == addr { // nearly always
		return p.member
	}
	return c.byAddr[addr]
}

// recordOf returns m's record as it is told now.
func (c *Core) recordOf(m *member) Record {
	r := m.Record
	if !r.State.Living() {
		r.Age = c.now - m.Since
	}
	return r
}

// merge takes in a record. whole says that it came in a comparison of views: a death told there may be old, as where a
// partition heals, so its subject is told of it and can refute it.
func (c *Core) merge(r Record, whole bool) {
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
	case r.Epoch < m.Epoch:
	case r.Epoch > m.Epoch:
		c.replaceEpoch(m, r)
	case m.State == Left: // a life that ended by its own word does not come back
	case r.State == Alive && r.Incarnation > m.Incarnation:
		was := m.State
		c.refute(m, r)
		if was != Alive {
			c.noteChange(Refuted, m)
		}
		c.broadcast(m.Record)
	case r.State == Suspect && r.Incarnation >= m.Incarnation && m.State.Living():
		c.suspect(m, r.Incarnation, r.By)
	case r.State == Dead && r.Incarnation >= m.Incarnation && m.State.Living():
		if whole {
			c.askToRefute(m, r)
			return
		}
		c.markNotLiving(m, Dead, r.Incarnation, r.Age)
	case r.State == Left:
		c.markNotLiving(m, Left, r.Incarnation, r.Age)
	}
}

// askToRefute tells a living member who is held dead elsewhere, so that it says otherwise.
func (c *Core) askToRefute(m *member, r Record) {
	if c.pagesSent < 2*maxPagesPerInterval {
		c.pagesSent++
		c.ping(m.Addr, m.Epoch, 0, r) // whose refusal would prove it
	}
}

// addMember takes up a name that was not known.
func (c *Core) addMember(r Record) {
	if len(c.members) >= c.cfg.MaxMembers || r.Age > c.cfg.Forget {
		return
	}
	m := &member{Member: Member{Record: r, Since: c.now}, index: -1}
	b := bucketOf(r.Name)
	m.bucketIndex, c.byBucket[b] = len(c.byBucket[b]), append(c.byBucket[b], m)
	if !r.State.Living() { // so that an earlier life of it does not come back
		m.Since = c.now - r.Age
		m.Age = 0
		c.members[r.Name] = m
		c.setAddr(m, r.Addr)
		c.addNotLiving(m)
		return
	}
	by := m.By
	m.State, m.By = Alive, 0
	c.members[r.Name] = m
	c.setAddr(m, r.Addr)
	c.addLiving(m)
	c.noteChange(Joined, m)
	if c.broadcast(m.Record); r.State == Suspect {
		c.suspect(m, r.Incarnation, by)
	}
}

// replaceEpoch replaces a life by a later one.
func (c *Core) replaceEpoch(m *member, r Record) {
	living := m.State.Living()
	if !r.State.Living() {
		c.forget(m)
		c.addMember(r)
		return
	}
	c.updateSum(m, -1)
	c.clearSuspicion(m)
	state, by := r.State, r.By
	r.State, r.By, r.Age = Alive, 0, 0
	c.setAddr(m, r.Addr)
	m.Record, m.Since = r, c.now
	if c.updateSum(m, 1); living {
		c.noteChange(Replaced, m)
	} else {
		c.notLiving = removeFrom(c.notLiving, m)
		c.insertLiving(m)
		c.noteChange(Joined, m)
	}
	if c.broadcast(m.Record); state == Suspect {
		c.suspect(m, r.Incarnation, by)
	}
}

// refute has m be alive as r says, which is of the same life and a higher incarnation.
func (c *Core) refute(m *member, r Record) {
	living := m.State.Living()
	c.updateSum(m, -1)
	c.setAddr(m, r.Addr)
	if m.State != Alive {
		m.Since = c.now
	}
	c.clearSuspicion(m)
	m.Incarnation, m.State, m.By, m.Zone = r.Incarnation, Alive, 0, r.Zone
	if !living {
		c.notLiving = removeFrom(c.notLiving, m)
		c.addLiving(m)
		return
	}
	c.updateSum(m, 1)
}

// markNotLiving has m be dead or gone for age already.
func (c *Core) markNotLiving(m *member, s State, incarnation uint32, age time.Duration) {
	living := m.State.Living()
	c.updateSum(m, -1)
	c.clearSuspicion(m)
	m.State, m.Incarnation, m.Since = s, max(incarnation, m.Incarnation), c.now-age
	if living {
		c.living = removeFrom(c.living, m)
		c.addNotLiving(m)
		c.noteChange(map[State]ChangeKind{Dead: Died, Left: Departed}[s], m)
		c.broadcast(c.recordOf(m))
	}
}

// mergeSelf takes in what others say of this member, and refutes what is not so.
func (c *Core) mergeSelf(r Record) {
	switch {
	case r.Epoch < c.self.Epoch || c.hasEnded:
	case r.Epoch > c.self.Epoch && c.isAcknowledged:
		c.hasEnded = true // a later process has this name: an upgrade, or one name given twice
		c.setConverged(false)
	case r.Epoch > c.self.Epoch: // this machine's clock stands behind that of its last life
		c.updateSelf(func() { c.self.Epoch, c.self.Incarnation = r.Epoch+1, 0 })
	case r.State == Left || r.State == Alive && r.Incarnation <= c.self.Incarnation:
	case r.Incarnation >= c.self.Incarnation:
		if r.State != Alive {
			c.adjustHealth(1)
		}
		c.updateSelf(func() { c.self.Incarnation = r.Incarnation + 1 })
	}
}

// updateSelf changes what this member says of itself.
func (c *Core) updateSelf(change func()) {
	b := bucketOf(c.self.Name)
	c.sums[b] -= sumOf(&c.self)
	change()
	c.sums[b] += sumOf(&c.self)
	c.broadcast(c.self)
}

// updateSum adds a living member to its part's sum, or takes it off.
func (c *Core) updateSum(m *member, sign int) {
	if m.State.Living() {
		c.sums[bucketOf(m.Name)] += uint64(sign) * sumOf(&m.Record)
	}
}

// setAddr notes who is at an address.
func (c *Core) setAddr(m *member, addr string) {
	if c.byAddr[m.Addr] == m {
		delete(c.byAddr, m.Addr)
	}
	m.Addr = addr
	c.byAddr[addr] = m
}

// addLiving makes m, whose state says so, one of the living.
func (c *Core) addLiving(m *member) {
	c.insertLiving(m)
	c.updateSum(m, 1)
}

// insertLiving puts m at a random place of the rounds of probes.
func (c *Core) insertLiving(m *member) {
	c.living = append(c.living, m)
	i, last := c.rng.IntN(len(c.living)), len(c.living)-1
	c.living[i], c.living[last] = c.living[last], c.living[i]
	c.living[i].index, c.living[last].index = i, last
}

// removeFrom takes m off the list that its index is in.
func removeFrom(list []*member, m *member) []*member {
	last := len(list) - 1
	list[m.index] = list[last]
	list[m.index].index = m.index
	return list[:last]
}

func (c *Core) addNotLiving(m *member) {
	m.index = len(c.notLiving)
	c.notLiving = append(c.notLiving, m)
}

// clearSuspicion ends a suspicion.
func (c *Core) clearSuspicion(m *member) {
	m.suspicion = nil
	delete(c.suspects, m.Name)
}

// forget drops m from the view.
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
