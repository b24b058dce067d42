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
	member          *member
	epoch           uint64
	id              uint64
	at              time.Duration
	nextAt          time.Duration // of its next step
	step            int
	indirect, nacks int
	answered        bool
}

// relay is a probe for somebody else.
type relay struct {
	to     string
	probe  uint64
	nackAt time.Duration // 0: sent already
	endAt  time.Duration
}

// suspicion is a suspicion that runs.
type suspicion struct {
	startedAt   time.Duration
	confirmedBy map[uint32]bool
	expiresAt   time.Duration
}

// Wait returns how long after the last call that told the time Tick is to be called.
func (c *Core) Wait() time.Duration {
	if c.hasEnded {
		return math.MaxInt64
	}
	c.tickDue = c.probeAt
	if p := c.probe; p != nil && !p.answered {
		c.tickDue = min(c.tickDue, p.nextAt)
	}
	for _, r := range c.relays {
		if r.nackAt > 0 {
			c.tickDue = min(c.tickDue, r.nackAt)
		}
	}
	for _, m := range c.suspects {
		c.tickDue = min(c.tickDue, m.suspicion.expiresAt)
	}
	c.tickDue = max(c.tickDue, c.now)
	return c.tickDue - c.now
}

// Tick does what is due.
func (c *Core) Tick(now time.Duration) {
	c.advance(now)
	if c.hasEnded {
		return
	}
	if late := c.now - c.tickDue; late > stallIntervals*c.cfg.Interval {
		c.resume(late)
	}
	if p := c.probe; p != nil && !p.answered && c.now >= p.nextAt {
		c.escalate(p)
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
	for _, m := range c.suspects {
		if c.now >= m.suspicion.expiresAt {
			over = append(over, m)
		}
	}
	slices.SortFunc(over, func(a, b *member) int { return cmp.Compare(a.Name, b.Name) })
	for _, m := range over {
		m.By = hashOf(c.self.Name)
		c.markNotLiving(m, Dead, m.Incarnation, 0)
	}
	if c.now >= c.probeAt {
		c.startRound()
	}
	c.updateConverged()
}

// resume is for a process that was stopped, or starved, for so long: what ran out meanwhile says nothing of others.
func (c *Core) resume(late time.Duration) {
	c.health, c.probe = maxHealthScore, nil
	clear(c.relays)
	for _, m := range c.suspects {
		m.suspicion.expiresAt += late + c.cfg.Interval
	}
	c.probeAt = c.now
	c.setConverged(false)
	for _, m := range c.randomMembers(indirectProbes, nil) { // others may hold it dead: it hears so at once
		c.ping(m.Addr, m.Epoch, 0)
	}
}

// ping sends a probe, repeating that of the number id if that is not 0, with these records before other news.
func (c *Core) ping(to string, life uint64, id uint64, first ...Record) uint64 {
	p := &Packet{Kind: Ping, ToEpoch: life, Probe: id, Records: first}
	if id == 0 {
		p.Probe = c.lastID + 1
	}
	c.send(to, p)
	if _, again := c.probes[p.Probe]; !again {
		c.probes[p.Probe] = sent{to: to, epoch: life, at: c.now}
	}
	if p.Seq != p.Probe {
		c.probes[p.Seq] = sent{to: to, epoch: life, at: c.now}
	}
	return p.Probe
}

// startRound ends the probe under way and starts the next one.
func (c *Core) startRound() {
	if p := c.probe; p != nil {
		if !p.answered {
			if p.nacks == 0 { // one that answers that it gets none either shows that this side works
				c.adjustHealth(1)
			}
			if p.member.State.Living() && p.member.Epoch == p.epoch && c.members[p.member.Name] == p.member {
				c.suspect(p.member, p.member.Incarnation, hashOf(c.self.Name))
			}
		}
		c.probe = nil
	}
	keep := max(c.scaled(c.cfg.Interval)*2, c.cfg.Quota.Lease)
	for id, s := range c.probes {
		if c.now > s.at+keep {
			delete(c.probes, id)
		}
	}
	c.pagesSent = 0
	c.probeNotLiving()
	c.reap()
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
	c.probe = &probe{member: m, epoch: m.Epoch, at: c.now, nextAt: c.now + limit/probeSteps}
	c.probe.id = c.ping(m.Addr, m.Epoch, 0)
}

// escalate repeats the probe under way, and then asks others to probe.
func (c *Core) escalate(p *probe) {
	limit := c.scaled(c.cfg.Interval)
	if p.step++; p.step <= probeRepeats {
		c.ping(p.member.Addr, p.epoch, p.id)
		p.nextAt = p.at + limit*time.Duration(p.step+1)/probeSteps
	} else {
		for _, m := range c.randomMembers(indirectProbes, p.member) {
			p.indirect++
			c.send(m.Addr, &Packet{Kind: PingReq, ToEpoch: m.Epoch, Probe: p.id, Target: p.member.Name, TargetAddr: p.member.Addr})
		}
		p.nextAt = math.MaxInt64
	}
}

// probeNotLiving probes members held dead, and addresses to begin at where nobody is known to be: whoever was cut off, or comes
// back, is found by it. Where refusals count, knocks renew the proofs.
func (c *Core) probeNotLiving() {
	n := 1
	if c.tracker != nil {
		n = maxDeadProbes
	}
	for range min(n, len(c.notLiving)) {
		c.nextDeadProbe = (c.nextDeadProbe + 1) % len(c.notLiving)
		m := c.notLiving[c.nextDeadProbe]
		c.ping(m.Addr, 0, 0)
	}
	addrs := c.cfg.Seeds
	if c.tracker != nil {
		addrs = c.cfg.Roster
	}
	for tries := 0; n > 0 && tries < 4*n && tries < len(addrs); tries++ {
		if c.nextSeed++; c.nextSeed%len(addrs) == 0 || c.nextSeed < 0 {
			c.nextSeed = c.rng.IntN(len(addrs))
		}
		if a := addrs[c.nextSeed%len(addrs)]; a != c.self.Addr && a != "" && c.byAddr[a] == nil {
			c.ping(a, 0, 0)
			n--
		}
	}
}

// reap forgets those dead for long. One of them is looked at a round.
func (c *Core) reap() {
	if len(c.notLiving) == 0 {
		return
	}
	m := c.notLiving[c.rng.IntN(len(c.notLiving))]
	if c.now-m.Since > c.cfg.Forget {
		c.forget(m)
		c.noteChange(Forgotten, m)
	}
}

// suspect notes that by suspects m.
func (c *Core) suspect(m *member, incarnation uint32, by uint32) {
	if m.State == Alive || incarnation > m.Incarnation {
		c.updateSum(m, -1)
		if m.State == Alive {
			m.State, m.Since = Suspect, c.now
			c.noteChange(Suspected, m)
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
	least := time.Duration(suspicionMult * max(1, math.Log10(n)) * float64(c.cfg.Interval))
	most := maxSuspicionMult * least
	others := float64(min(maxConfirmations, len(c.living)-1)) // who could suspect it too
	if m.suspicion.expiresAt = m.suspicion.startedAt + least; others > 0 {
		sure := min(1, math.Log(float64(len(m.suspicion.confirmedBy)))/math.Log(others+1))
		m.suspicion.expiresAt += time.Duration((1 - sure) * float64(most-least))
	}
	r := m.Record // told on with who says so, so that others count different ones
	r.By = by
	c.broadcast(r)
}

// Refused takes in that the datagram with the number seq to an address was refused there: no process has it.
func (c *Core) Refused(now time.Duration, to string, seq uint64) {
	c.advance(now)
	s, ok := c.probes[seq]
	if !ok || s.to != to || !c.cfg.TrustRefusals || c.hasEnded {
		return
	}
	if c.tracker != nil {
		for n, addr := range c.cfg.Roster {
			if addr == to {
				c.tracker.Refused(c.now, n, s.at)
			}
		}
	}
	if m := c.byAddr[to]; m != nil && s.epoch != 0 && m.Epoch == s.epoch && m.State.Living() {
		m.By = hashOf(c.self.Name)
		c.markNotLiving(m, Dead, m.Incarnation, 0)
		if c.probe != nil && c.probe.member == m { // it is over; where one is dead, many may be
			c.probe, c.probeAt = nil, min(c.probeAt, c.now+c.cfg.Interval/refusedProbeRate)
		}
	}
}
