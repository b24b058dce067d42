package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// probe is the one that is under way. It is over when the next one is due.
type probe struct {
	m             *member
	life          uint64
	id            uint64
	at            time.Duration
	nextAt        time.Duration // of its next step
	step          int
	asked, nacked int
	answered      bool
}

// relay is a probe for somebody else.
type relay struct {
	to     string
	probe  uint64
	nackAt time.Duration // 0: sent already
	endAt  time.Duration
}

// doubt is a suspicion that runs.
type doubt struct {
	at  time.Duration
	by  map[uint32]bool
	end time.Duration
}

// Wait returns how long after the last call that told the time Tick is to be called.
func (c *Core) Wait() time.Duration {
	if c.ended {
		return math.MaxInt64
	}
	c.due = c.probeAt
	if p := c.probe; p != nil && !p.answered {
		c.due = min(c.due, p.nextAt)
	}
	for _, r := range c.relays {
		if r.nackAt > 0 {
			c.due = min(c.due, r.nackAt)
		}
	}
	for _, m := range c.doubted {
		c.due = min(c.due, m.doubt.end)
	}
	c.due = max(c.due, c.now)
	return c.due - c.now
}

// Tick does what is due.
func (c *Core) Tick(now time.Duration) {
	c.advance(now)
	if c.ended {
		return
	}
	if late := c.now - c.due; late > stallAfter*c.cfg.Interval {
		c.woke(late)
	}
	if p := c.probe; p != nil && !p.answered && c.now >= p.nextAt {
		c.pursue(p)
	}
	for _, id := range slices.Sorted(maps.Keys(c.relays)) {
		r := c.relays[id]
		if r.nackAt > 0 && c.now >= r.nackAt {
			c.send(r.to, &Packet{Kind: Nack, Probe: r.probe})
			r.nackAt = 0
			c.relays[id] = r
		}
		if c.now >= r.endAt {
			delete(c.relays, id)
		}
	}
	var over []*member
	for _, m := range c.doubted {
		if c.now >= m.doubt.end {
			over = append(over, m)
		}
	}
	slices.SortFunc(over, func(a, b *member) int { return cmp.Compare(a.Name, b.Name) })
	for _, m := range over {
		m.By = hashOf(c.self.Name)
		c.markGone(m, Dead, m.Incarnation, 0)
	}
	if c.now >= c.probeAt {
		c.round()
	}
	c.look()
}

// woke is for a process that was stopped, or starved, for so long: what ran out meanwhile says nothing of others.
func (c *Core) woke(late time.Duration) {
	c.health, c.probe = slowest, nil
	clear(c.relays)
	for _, m := range c.doubted {
		m.doubt.end += late + c.cfg.Interval
	}
	c.probeAt = c.now
	c.settle(false)
	for _, m := range c.some(helpers, nil) { // others may hold it dead: it hears so at once
		c.ping(m.Addr, m.Life, 0)
	}
}

// ping sends a probe, repeating that of the number id if that is not 0, with these records before other news.
func (c *Core) ping(to string, life uint64, id uint64, first ...Record) uint64 {
	p := &Packet{Kind: Ping, ToLife: life, Probe: id, Records: first}
	if id == 0 {
		p.Probe = c.lastID + 1
	}
	c.send(to, p)
	if _, again := c.probes[p.Probe]; !again {
		c.probes[p.Probe] = sent{to: to, life: life, at: c.now}
	}
	if p.Seq != p.Probe {
		c.probes[p.Seq] = sent{to: to, life: life, at: c.now}
	}
	return p.Probe
}

// round ends the probe under way and starts the next one.
func (c *Core) round() {
	if p := c.probe; p != nil {
		if !p.answered {
			if p.nacked == 0 { // one that answers that it gets none either shows that this side works
				c.blame(1)
			}
			if p.m.State.Living() && p.m.Life == p.life && c.members[p.m.Name] == p.m {
				c.suspect(p.m, p.m.Incarnation, hashOf(c.self.Name))
			}
		}
		c.probe = nil
	}
	keep := max(c.scaled(c.cfg.Interval)*2, c.cfg.Share.Lease)
	for id, s := range c.probes {
		if c.now > s.at+keep {
			delete(c.probes, id)
		}
	}
	c.pages = 0
	c.knock()
	c.sweep()
	limit := c.scaled(c.cfg.Interval)
	c.probeAt = c.now + limit
	if len(c.living) == 0 {
		return
	}
	if c.next >= len(c.living) {
		c.next = 0
		c.rng.Shuffle(len(c.living), func(i, j int) {
			c.living[i], c.living[j] = c.living[j], c.living[i]
			c.living[i].index, c.living[j].index = i, j
		})
	}
	m := c.living[c.next]
	c.next++
	c.probe = &probe{m: m, life: m.Life, at: c.now, nextAt: c.now + limit/steps}
	c.probe.id = c.ping(m.Addr, m.Life, 0)
}

// pursue repeats the probe under way, and then asks others to probe.
func (c *Core) pursue(p *probe) {
	limit := c.scaled(c.cfg.Interval)
	if p.step++; p.step <= repeats {
		c.ping(p.m.Addr, p.life, p.id)
		p.nextAt = p.at + limit*time.Duration(p.step+1)/steps
	} else {
		for _, m := range c.some(helpers, p.m) {
			p.asked++
			c.send(m.Addr, &Packet{Kind: PingReq, ToLife: m.Life, Probe: p.id, Target: p.m.Name, TargetAddr: p.m.Addr})
		}
		p.nextAt = math.MaxInt64
	}
}

// knock probes members held dead, and addresses to begin at where nobody is known to be: whoever was cut off, or comes
// back, is found by it. Where refusals count, knocks renew the proofs.
func (c *Core) knock() {
	n := 1
	if c.shares != nil {
		n = knocks
	}
	for range min(n, len(c.gone)) {
		c.knocked = (c.knocked + 1) % len(c.gone)
		m := c.gone[c.knocked]
		c.ping(m.Addr, 0, 0)
	}
	addrs := c.cfg.Seeds
	if c.shares != nil {
		addrs = c.cfg.Roster
	}
	for tries := 0; n > 0 && tries < 4*n && tries < len(addrs); tries++ {
		if c.seeded++; c.seeded%len(addrs) == 0 || c.seeded < 0 {
			c.seeded = c.rng.IntN(len(addrs))
		}
		if a := addrs[c.seeded%len(addrs)]; a != c.self.Addr && a != "" && c.byAddr[a] == nil {
			c.ping(a, 0, 0)
			n--
		}
	}
}

// sweep forgets those dead for long. One of them is looked at a round.
func (c *Core) sweep() {
	if len(c.gone) == 0 {
		return
	}
	m := c.gone[c.rng.IntN(len(c.gone))]
	if c.now-m.Since > c.cfg.Forget {
		c.forget(m)
		c.changed(Forgotten, m)
	}
}

// suspect notes that by suspects m.
func (c *Core) suspect(m *member, incarnation uint32, by uint32) {
	if m.State == Alive || incarnation > m.Incarnation {
		c.sum(m, -1)
		if m.State == Alive {
			m.State, m.Since = Suspect, c.now
			c.changed(Suspected, m)
		}
		m.Incarnation, m.By = incarnation, by
		c.sum(m, 1)
		m.doubt = &doubt{at: c.now, by: map[uint32]bool{}}
		c.doubted[m.Name] = m
	}
	if m.doubt.by[by] || len(m.doubt.by) > confirmers {
		return
	}
	m.doubt.by[by] = true
	n := float64(len(c.living) + 1)
	least := time.Duration(suspectTimes * max(1, math.Log10(n)) * float64(c.cfg.Interval))
	most := suspectMost * least
	others := float64(min(confirmers, len(c.living)-1)) // who could suspect it too
	if m.doubt.end = m.doubt.at + least; others > 0 {
		sure := min(1, math.Log(float64(len(m.doubt.by)))/math.Log(others+1))
		m.doubt.end += time.Duration((1 - sure) * float64(most-least))
	}
	r := m.Record // told on with who says so, so that others count different ones
	r.By = by
	c.tell(r)
}

// Refused takes in that the datagram with the number seq to an address was refused there: no process has it.
func (c *Core) Refused(now time.Duration, to string, seq uint64) {
	c.advance(now)
	s, ok := c.probes[seq]
	if !ok || s.to != to || !c.cfg.Refusals || c.ended {
		return
	}
	if c.shares != nil {
		for n, addr := range c.cfg.Roster {
			if addr == to {
				c.shares.Refused(c.now, n, s.at)
			}
		}
	}
	if m := c.byAddr[to]; m != nil && s.life != 0 && m.Life == s.life && m.State.Living() {
		m.By = hashOf(c.self.Name)
		c.markGone(m, Dead, m.Incarnation, 0)
		if c.probe != nil && c.probe.m == m { // it is over; where one is dead, many may be
			c.probe, c.probeAt = nil, min(c.probeAt, c.now+c.cfg.Interval/hurried)
		}
	}
}
