package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// news is a record that is being told.
type news struct {
	r    Record
	told int
}

// tell has a record ride on the next packets. Where there is too much to tell, what was told most is dropped.
func (c *Core) tell(r Record) {
	if c.news[r.Name] == nil && len(c.news) >= newsMost {
		var most *news
		for _, n := range c.news {
			if n.r.Name != c.self.Name && (most == nil || n.told > most.told || n.told == most.told && n.r.Name < most.r.Name) {
				most = n
			}
		}
		delete(c.news, most.r.Name)
	}
	c.news[r.Name] = &news{r: r}
}

// addNews puts news into p, those told least first, and first of all what the receiver has to refute.
func (c *Core) addNews(p *Packet, to string) {
	room := c.cfg.Room - len(p.Proofs)*10 - len(p.Sums)*9
	for i := range p.Records {
		room -= p.Records[i].room()
	}
	if m := c.at(to); m != nil && (m.State == Suspect || m.State == Dead) {
		p.Records, room = append(p.Records, c.aged(m)), room-m.room()
	}
	if len(c.news) == 0 {
		return
	}
	queue := make([]*news, 0, len(c.news))
	for _, n := range c.news {
		queue = append(queue, n)
	}
	slices.SortFunc(queue, func(a, b *news) int { return cmp.Or(a.told-b.told, cmp.Compare(a.r.Name, b.r.Name)) })
	most := newsTimes * int(math.Ceil(math.Log2(float64(len(c.living)+2))))
	for _, n := range queue {
		if room -= n.r.room(); room < 0 {
			break
		}
		if m := c.members[n.r.Name]; m != nil {
			n.r.Age = c.aged(m).Age
		}
		p.Records = append(p.Records, n.r)
		if n.told++; n.told >= most {
			delete(c.news, n.r.Name)
		}
	}
}

// at returns who is held to be at an address.
func (c *Core) at(addr string) *member {
	if p := c.probe; p != nil && p.m.Addr == addr { // nearly always
		return p.m
	}
	return c.byAddr[addr]
}

// aged returns m's record as it is told now.
func (c *Core) aged(m *member) Record {
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
		c.aboutSelf(r)
		return
	}
	m := c.members[r.Name]
	switch {
	case m == nil:
		c.meet(r)
	case r.Life < m.Life:
	case r.Life > m.Life:
		c.succeed(m, r)
	case m.State == Left: // a life that ended by its own word does not come back
	case r.State == Alive && r.Incarnation > m.Incarnation:
		was := m.State
		c.set(m, r)
		if was != Alive {
			c.changed(Refuted, m)
		}
		c.tell(m.Record)
	case r.State == Suspect && r.Incarnation >= m.Incarnation && m.State.Living():
		c.suspect(m, r.Incarnation, r.By)
	case r.State == Dead && r.Incarnation >= m.Incarnation && m.State.Living():
		if whole {
			c.warn(m, r)
			return
		}
		c.markGone(m, Dead, r.Incarnation, r.Age)
	case r.State == Left:
		c.markGone(m, Left, r.Incarnation, r.Age)
	}
}

// warn tells a living member who is held dead elsewhere, so that it says otherwise.
func (c *Core) warn(m *member, r Record) {
	if c.pages < 2*pagesBudget {
		c.pages++
		c.ping(m.Addr, m.Life, 0, r) // whose refusal would prove it
	}
}

// meet takes up a name that was not known.
func (c *Core) meet(r Record) {
	if len(c.members) >= c.cfg.MostMembers || r.Age > c.cfg.Forget {
		return
	}
	m := &member{Member: Member{Record: r, Since: c.now}, index: -1}
	b := bucketOf(r.Name)
	m.part, c.parts[b] = len(c.parts[b]), append(c.parts[b], m)
	if !r.State.Living() { // so that an earlier life of it does not come back
		m.Since = c.now - r.Age
		m.Age = 0
		c.members[r.Name] = m
		c.place(m, r.Addr)
		c.lay(m)
		return
	}
	by := m.By
	m.State, m.By = Alive, 0
	c.members[r.Name] = m
	c.place(m, r.Addr)
	c.raise(m)
	c.changed(Joined, m)
	if c.tell(m.Record); r.State == Suspect {
		c.suspect(m, r.Incarnation, by)
	}
}

// succeed replaces a life by a later one.
func (c *Core) succeed(m *member, r Record) {
	living := m.State.Living()
	if !r.State.Living() {
		c.forget(m)
		c.meet(r)
		return
	}
	c.sum(m, -1)
	c.trust(m)
	state, by := r.State, r.By
	r.State, r.By, r.Age = Alive, 0, 0
	c.place(m, r.Addr)
	m.Record, m.Since = r, c.now
	if c.sum(m, 1); living {
		c.changed(Replaced, m)
	} else {
		c.gone = drop(c.gone, m)
		c.insert(m)
		c.changed(Joined, m)
	}
	if c.tell(m.Record); state == Suspect {
		c.suspect(m, r.Incarnation, by)
	}
}

// set has m be alive as r says, which is of the same life and a higher incarnation.
func (c *Core) set(m *member, r Record) {
	living := m.State.Living()
	c.sum(m, -1)
	c.place(m, r.Addr)
	if m.State != Alive {
		m.Since = c.now
	}
	c.trust(m)
	m.Incarnation, m.State, m.By, m.Zone = r.Incarnation, Alive, 0, r.Zone
	if !living {
		c.gone = drop(c.gone, m)
		c.raise(m)
		return
	}
	c.sum(m, 1)
}

// markGone has m be dead or gone for age already.
func (c *Core) markGone(m *member, s State, incarnation uint32, age time.Duration) {
	living := m.State.Living()
	c.sum(m, -1)
	c.trust(m)
	m.State, m.Incarnation, m.Since = s, max(incarnation, m.Incarnation), c.now-age
	if living {
		c.living = drop(c.living, m)
		c.lay(m)
		c.changed(map[State]ChangeKind{Dead: Died, Left: Departed}[s], m)
		c.tell(c.aged(m))
	}
}

// aboutSelf takes in what others say of this member, and refutes what is not so.
func (c *Core) aboutSelf(r Record) {
	switch {
	case r.Life < c.self.Life || c.ended:
	case r.Life > c.self.Life && c.proven:
		c.ended = true // a later process has this name: an upgrade, or one name given twice
		c.settle(false)
	case r.Life > c.self.Life: // this machine's clock stands behind that of its last life
		c.renew(func() { c.self.Life, c.self.Incarnation = r.Life+1, 0 })
	case r.State == Left || r.State == Alive && r.Incarnation <= c.self.Incarnation:
	case r.Incarnation >= c.self.Incarnation:
		if r.State != Alive {
			c.blame(1)
		}
		c.renew(func() { c.self.Incarnation = r.Incarnation + 1 })
	}
}

// renew changes what this member says of itself.
func (c *Core) renew(change func()) {
	b := bucketOf(c.self.Name)
	c.sums[b] -= sumOf(&c.self)
	change()
	c.sums[b] += sumOf(&c.self)
	c.tell(c.self)
}

// sum adds a living member to its part's sum, or takes it off.
func (c *Core) sum(m *member, sign int) {
	if m.State.Living() {
		c.sums[bucketOf(m.Name)] += uint64(sign) * sumOf(&m.Record)
	}
}

// place notes who is at an address.
func (c *Core) place(m *member, addr string) {
	if c.byAddr[m.Addr] == m {
		delete(c.byAddr, m.Addr)
	}
	m.Addr = addr
	c.byAddr[addr] = m
}

// raise makes m, whose state says so, one of the living.
func (c *Core) raise(m *member) {
	c.insert(m)
	c.sum(m, 1)
}

// insert puts m at a random place of the rounds of probes.
func (c *Core) insert(m *member) {
	c.living = append(c.living, m)
	i, last := c.rng.IntN(len(c.living)), len(c.living)-1
	c.living[i], c.living[last] = c.living[last], c.living[i]
	c.living[i].index, c.living[last].index = i, last
}

// drop takes m off the list that its index is in.
func drop(list []*member, m *member) []*member {
	last := len(list) - 1
	list[m.index] = list[last]
	list[m.index].index = m.index
	return list[:last]
}

func (c *Core) lay(m *member) {
	m.index = len(c.gone)
	c.gone = append(c.gone, m)
}

// trust ends a suspicion.
func (c *Core) trust(m *member) {
	m.doubt = nil
	delete(c.doubted, m.Name)
}

// forget drops m from the view.
func (c *Core) forget(m *member) {
	c.trust(m)
	c.sum(m, -1)
	if m.State.Living() {
		c.living = drop(c.living, m)
	} else {
		c.gone = drop(c.gone, m)
	}
	b := bucketOf(m.Name)
	last := len(c.parts[b]) - 1
	c.parts[b][m.part] = c.parts[b][last]
	c.parts[b][m.part].part = m.part
	c.parts[b] = c.parts[b][:last]
	delete(c.members, m.Name)
	if c.byAddr[m.Addr] == m {
		delete(c.byAddr, m.Addr)
	}
}
