package fleet

import (
	"maps"
	"math"
	"slices"
	"time"
)

// probe is the probe of this round. It ends when the next round begins.
type probe struct {
	member          *member
	epoch           uint64
	id              uint64
	at              time.Duration
	nextAt          time.Duration // of its next step: a repetition, or the indirect probes
	step            int
	indirect, nacks int // members that were asked to probe, and their Nacks
	answered        bool
}

// relay is an indirect probe that this member sends for another.
type relay struct {
	to     string        // who asked for it
	probe  uint64        // the probe of the PingReq, which the answer repeats
	nackAt time.Duration // 0: the Nack is sent
	endAt  time.Duration
}

// Wait returns after how long Tick is to be called, counted from the last call with a time.
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

// Tick takes the time and does what is due by it. A Tick that comes more than an interval late counts as this process having slept.
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
	c.expireRelays()
	c.expireSuspicions()
	if c.now >= c.probeAt {
		c.startRound()
	}
	c.updateConverged()
}

// expireRelays sends the Nacks that are due and drops the relays that are over.
func (c *Core) expireRelays() {
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
}

// resume is for a process that was stopped, or got no CPU, for as long as late: time limits that ran out meanwhile say nothing of
// the others, so all of them are extended.
func (c *Core) resume(late time.Duration) {
	c.health, c.probe = maxHealthScore, nil
	clear(c.relays)
	for _, m := range c.suspects {
		m.suspicion.expiresAt += late + c.cfg.Interval
	}
	c.probeAt = c.now
	c.setConverged(false)
	for _, m := range c.randomMembers(indirectProbes, nil) { // others may have it as dead: their answers say so at once
		c.ping(m.Addr, m.Epoch, 0)
	}
}

// ping sends a probe with these records before other updates and returns its id. An id other than 0 repeats that probe. epoch is
// the receiver's; 0: not known.
func (c *Core) ping(to string, epoch uint64, id uint64, first ...Record) uint64 {
	p := &Packet{Kind: Ping, ToEpoch: epoch, Probe: id, Records: first}
	if id == 0 {
		p.Probe = c.lastID + 1
	}
	c.send(to, p)
	if _, isRepeated := c.probes[p.Probe]; !isRepeated {
		c.probes[p.Probe] = sent{to: to, epoch: epoch, at: c.now}
	}
	if p.Seq != p.Probe {
		c.probes[p.Seq] = sent{to: to, epoch: epoch, at: c.now}
	}
	return p.Probe
}

// endProbe ends the probe of the last round: a member that did not answer is suspected.
func (c *Core) endProbe() {
	p := c.probe
	c.probe = nil
	if p == nil || p.answered {
		return
	}
	if p.nacks == 0 { // a Nack shows that this member and its network work
		c.adjustHealth(1)
	}
	if p.member.State.Living() && p.member.Epoch == p.epoch && c.members[p.member.Name] == p.member {
		c.suspect(p.member, p.member.Incarnation, hashOf(c.self.Name))
	}
}

// startRound ends the last round and starts the next one, with a probe of the next member in a random order of all.
func (c *Core) startRound() {
	c.endProbe()
	retention := max(c.scaled(c.cfg.Interval)*2, c.cfg.Quota.Lease)
	for id, s := range c.probes {
		if c.now > s.at+retention {
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

// escalate repeats the probe, and after some repetitions asks others to probe the member too.
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

// probeNotLiving probes members that are dead or left, and seeds at whose address no member is known, so that members behind a
// healed partition and restarted ones are found. Where refusals are trusted, the refusals of these probes renew the proofs of
// death, and the roster's addresses take the place of the seeds.
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
	for attempts := 0; n > 0 && attempts < 4*n && attempts < len(addrs); attempts++ {
		if c.nextSeed++; c.nextSeed%len(addrs) == 0 || c.nextSeed < 0 {
			c.nextSeed = c.rng.IntN(len(addrs))
		}
		if a := addrs[c.nextSeed%len(addrs)]; a != c.self.Addr && a != "" && c.byAddr[a] == nil {
			c.ping(a, 0, 0)
			n--
		}
	}
}

// reap forgets a member that has been dead for longer than Config.Forget. Each round one of them is checked.
func (c *Core) reap() {
	if len(c.notLiving) == 0 {
		return
	}
	m := c.notLiving[c.rng.IntN(len(c.notLiving))]
	if c.now-m.Since > c.cfg.Forget {
		c.forget(m)
		c.addChange(Forgotten, m)
	}
}

// Refused takes in that the datagram numbered seq was refused by the machine of its address: no process has that socket. It has no
// effect unless Config.TrustRefusals is set.
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
		c.endMember(m, Dead, m.Incarnation, 0)
		if c.probe != nil && c.probe.member == m { // the round is over; where one member is dead many may be, so the next comes soon
			c.probe, c.probeAt = nil, min(c.probeAt, c.now+c.cfg.Interval/refusedProbeRate)
		}
	}
}
