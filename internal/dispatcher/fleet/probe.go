package fleet

import (
	"maps"
	"math"
	"slices"
	"time"
)

// probe is the state of this round's probe. It ends when the next round begins.
type probe struct {
	member          *member
	epoch           uint64
	id              uint64
	startedAt       time.Duration
	nextStepAt      time.Duration // when it is next repeated, or the indirect probes are requested
	step            int           // number of steps done, see probeSteps
	indirect, nacks int           // number of members that were asked for an indirect probe, and of their Nacks
	answered        bool
}

// relay is an indirect probe that this member sends on behalf of another.
type relay struct {
	to     string        // address of the member that asked for it
	probe  uint64        // Packet.Probe of the PingReq, which the answer repeats
	nackAt time.Duration // when a Nack is due; 0: it was sent
	endAt  time.Duration // when an Ack of the target is no longer passed on
}

// Wait returns how long after the last call with a time Tick must be called. It is called after each such call.
func (c *Core) Wait() time.Duration {
	if c.hasEnded {
		return math.MaxInt64
	}
	c.tickDue = c.probeAt
	if p := c.probe; p != nil && !p.answered {
		c.tickDue = min(c.tickDue, p.nextStepAt)
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

// Tick advances the time and performs the due work: it continues the probe, sends Nacks, expires suspicions and starts the
// next round. A Tick that comes more than stallIntervals late shows that this process was stopped or got no CPU.
func (c *Core) Tick(now time.Duration) {
	c.advance(now)
	if c.hasEnded {
		return
	}
	if late := c.now - c.tickDue; late > stallIntervals*c.cfg.Interval {
		c.resume(late)
	}
	if p := c.probe; p != nil && !p.answered && c.now >= p.nextStepAt {
		c.escalate(p)
	}
	c.expireRelays()
	c.expireSuspicions()
	if c.now >= c.probeAt {
		c.startRound()
	}
	c.updateConverged()
}

// expireRelays sends the Nacks that are due and drops the relays that have ended.
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

// resume continues after this process was stopped, or got no CPU, for the time late. Timeouts that ended in that time give
// no evidence about other members. Therefore resume drops the current probe and the relays, and extends all suspicions.
func (c *Core) resume(late time.Duration) {
	c.health, c.probe = maxHealthScore, nil
	clear(c.relays)
	for _, m := range c.suspects {
		m.suspicion.expiresAt += late + c.cfg.Interval
	}
	c.probeAt = c.now
	c.setConverged(false)
	for _, m := range c.randomMembers(indirectProbes, nil) { // if others have declared this member dead, their answers tell it at once
		c.ping(m.Addr, m.Epoch, 0)
	}
}

// ping sends a probe and returns its id. The records in first are sent before other updates. An id other than 0 repeats the
// probe with that id. epoch is the receiver's, or 0 if it is not known.
func (c *Core) ping(to string, epoch uint64, id uint64, first ...Record) uint64 {
	p := &Packet{Kind: Ping, ToEpoch: epoch, Probe: id, Records: first}
	if id == 0 {
		p.Probe = c.lastID + 1
	}
	c.send(to, p)
	if _, isRepeated := c.sentProbes[p.Probe]; !isRepeated {
		c.sentProbes[p.Probe] = sentProbe{to: to, epoch: epoch, at: c.now}
	}
	if p.Seq != p.Probe {
		c.sentProbes[p.Seq] = sentProbe{to: to, epoch: epoch, at: c.now}
	}
	return p.Probe
}

// endProbe ends the probe of the last round and suspects its member if there was no answer. Without any Nack either, the
// cause may be this member itself or its network, which raises its local health score.
func (c *Core) endProbe() {
	p := c.probe
	c.probe = nil
	if p == nil || p.answered {
		return
	}
	if p.nacks == 0 { // a Nack would show that this member and its network work
		c.adjustHealth(1)
	}
	if p.member.State.Living() && p.member.Epoch == p.epoch && c.members[p.member.Name] == p.member {
		c.suspect(p.member, p.member.Incarnation, hashOf(c.self.Name))
	}
}

// startRound ends the last round and starts the next one by probing the next member in the random order, which is shuffled
// after each pass. Sent probes are kept for at least the lease, because a refusal that arrives within the lease is still a
// valid proof of death.
func (c *Core) startRound() {
	c.endProbe()
	retention := max(c.scaled(c.cfg.Interval)*2, c.cfg.Quota.Lease)
	for id, s := range c.sentProbes {
		if c.now > s.at+retention {
			delete(c.sentProbes, id)
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
	c.probe = &probe{member: m, epoch: m.Epoch, startedAt: c.now, nextStepAt: c.now + limit/probeSteps}
	c.probe.id = c.ping(m.Addr, m.Epoch, 0)
}

// escalate repeats the probe, or after probeRepeats repetitions requests the indirect probes.
func (c *Core) escalate(p *probe) {
	limit := c.scaled(c.cfg.Interval)
	if p.step++; p.step <= probeRepeats {
		c.ping(p.member.Addr, p.epoch, p.id)
		p.nextStepAt = p.startedAt + limit*time.Duration(p.step+1)/probeSteps
	} else {
		for _, m := range c.randomMembers(indirectProbes, p.member) {
			p.indirect++
			c.send(m.Addr, &Packet{Kind: PingReq, ToEpoch: m.Epoch, Probe: p.id, Target: p.member.Name, TargetAddr: p.member.Addr})
		}
		p.nextStepAt = math.MaxInt64
	}
}

// probeNotLiving probes members that are dead or left, and seeds at which no member is known. So it finds members that were
// behind a partition and members that have restarted. Where refusals are trusted, the refusals of these probes renew the
// proofs of death, and the roster's addresses are probed in place of the seeds.
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

// reap checks one random member that is not living, and forgets it if it has been dead or left for longer than Config.Forget.
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

// Refused reports that the machine at the address to refused the datagram with this Seq: no process had a socket bound to the
// address. This proves the death of the process that the datagram was for, and is a proof of death for the address's numbers
// in the roster, valid from the time at which the datagram was sent. It has no effect unless Config.TrustRefusals is set and
// the datagram is a known probe.
func (c *Core) Refused(now time.Duration, to string, seq uint64) {
	c.advance(now)
	s, ok := c.sentProbes[seq]
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
		m.SuspectedBy = hashOf(c.self.Name)
		c.endMember(m, Dead, m.Incarnation, 0)
		if c.probe != nil && c.probe.member == m { // the round is decided; others may have died with it, so the next comes early
			c.probe, c.probeAt = nil, min(c.probeAt, c.now+c.cfg.Interval/refusedProbeRate)
		}
	}
}
